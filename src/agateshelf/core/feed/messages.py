"""Messages by which entries relay routes and registrations."""

from typing import ClassVar

import msgspec

from agateshelf.core.directory import models as directory_models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import models as route_models


class FeedHeartbeat(peer_models.PeerMessage, frozen=True):
    """Heartbeat of a reader, with the versions it has read.

    Attributes:
        version: Version of its routes.
        revision: Revision of its registrations.
        leaving: Whether it stops being the reader, or can't reach the store.
    """

    wire_name: ClassVar[str] = "FeedBeat"

    version: int
    revision: int
    leaving: bool = False


class FeedRequest(peer_models.PeerMessage, frozen=True):
    """Requests the changes that the sender does not have yet.

    Attributes:
        version: Version of the routes that the sender has.
        revision: Revision of the registrations that the sender has.
    """

    wire_name: ClassVar[str] = "FeedWanted"

    version: int
    revision: int


class FeedUpdate(peer_models.PeerMessage, frozen=True):
    """Changes of routes and registrations.

    Attributes:
        revision: Revision of the registrations with these changes.
        age: Seconds since the sender was last known to be current.
        base_revision: Revision that the changes are based on.
        table: The routes, if they changed.
        targets: Registrations that changed.
        removals: Targets whose registration was removed.
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
