"""Messages by which entries relay routes and registrations."""

from typing import ClassVar

import msgspec

from agateshelf.core.directory import models as directory_models
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import changes as route_changes
from agateshelf.core.routes import models as route_models


class FeedHeartbeat(peer_models.PeerMessage, frozen=True):
    """Heartbeat of a reader, with the versions it has read.

    Attributes:
        version: Version of its routes.
        revision: Revision of its registrations.
        leaving: Whether it stops being the reader, or can't reach the store.
        evacuations_at: Position of its set of evacuated failure domains.
        routes_at: Position at which its routes were written; 0 if that is not
            known.
        digest: Digest of what its registrations say; 0 if that is not known, or
            if it has yet to decide on some.
    """

    wire_name: ClassVar[str] = "FeedBeat"

    version: int
    revision: int
    leaving: bool = False
    evacuations_at: int = 0
    routes_at: int = 0
    digest: int = 0


class FeedRequest(peer_models.PeerMessage, frozen=True):
    """Requests the changes that the sender does not have yet.

    Attributes:
        version: Version of the routes that the sender has.
        revision: Revision of the registrations that the sender has.
        evacuations_at: Position of the sender's set of evacuated failure
            domains.
        token: Number that the answer repeats; 0 if the sender wants no proof
            that its routes are the newest ones.
        routes_at: Position at which the sender's routes were written; 0 if that
            is not known.
        takes_changes: Whether the sender can make newer routes of its own ones
            and the changes since.
        whole_routes: Whether it needs them as a whole.
    """

    wire_name: ClassVar[str] = "FeedWanted"

    version: int
    revision: int
    evacuations_at: int = 0
    token: int = 0
    routes_at: int = 0
    takes_changes: bool = False
    whole_routes: bool = False


class FeedUpdate(peer_models.PeerMessage, frozen=True):
    """Changes of routes and registrations.

    Attributes:
        revision: Revision of the registrations with these changes.
        age: Seconds since the sender was last known to be current.
        base_revision: Revision that the changes are based on.
        table: The routes, if they are sent as a whole.
        table_changes: What has changed in the routes since those that the
            receiver is taken to have.
        targets: Registrations that changed.
        removals: Targets whose registration was removed.
        evacuations: The evacuated failure domains, if they changed.
        token: Token of the request that it answers; 0 if it had none.
        proof_age: Seconds since the time as of which the sender's routes were
            shown to be the newest ones; None if that is not known.
        current_age: Seconds since the time as of which the sender takes its
            routes for the newest ones; None if that is not known.
        proof_version: Version of the sender's routes.
        proof_at: Position at which these routes were written; 0 if that is not
            known, so that the answer proves nothing.
        change_age: Greatest age that the changes can have, in seconds; None if
            it is not known.
        registered: Identifiers of all targets that the sender knows; None if
            `removals` has each that was removed after `base_revision`.
        is_answer: Whether it answers a request of the receiver, so that it has
            all changes of the routes that the sender can tell.
    """

    wire_name: ClassVar[str] = "FeedNews"

    revision: int
    age: float
    base_revision: int = msgspec.field(name="after")
    table: route_models.RouteTable | None = None
    targets: tuple[directory_models.Registration, ...] = ()
    removals: tuple[directory_models.Removal, ...] = msgspec.field(
        name="gone", default=()
    )
    evacuations: evacuation_models.Evacuations | None = None
    token: int = 0
    proof_age: float | None = None
    proof_version: int = 0
    proof_at: int = 0
    change_age: float | None = None
    registered: tuple[str, ...] | None = None
    table_changes: route_changes.TableChanges | None = None
    current_age: float | None = None
    is_answer: bool = False
