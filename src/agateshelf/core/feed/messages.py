"""Messages by which entries relay routes and registrations."""

from agateshelf.core.directory import models as directory_models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import models as route_models


class FeedBeat(peer_models.PeerMessage, frozen=True):
    """Heartbeat of a reader, with the versions it has read.

    Attributes:
        version: Version of its routes.
        revision: Revision of its registrations.
        leaving: Whether it stops being the reader, or can't reach the store.
    """

    version: int
    revision: int
    leaving: bool = False


class FeedWanted(peer_models.PeerMessage, frozen=True):
    """Requests the changes that the sender does not have yet.

    Attributes:
        version: Version of the routes that the sender has.
        revision: Revision of the registrations that the sender has.
    """

    version: int
    revision: int


class FeedNews(peer_models.PeerMessage, frozen=True):
    """Changes of routes and registrations.

    Attributes:
        revision: Revision of the registrations with these changes.
        age: Seconds since the sender was last known to be current.
        after: Revision that the changes are based on.
        table: The routes, if they changed.
        targets: Registrations that changed.
        gone: Targets whose registration was removed.
    """

    revision: int
    age: float
    after: int
    table: route_models.RouteTable | None = None
    targets: tuple[directory_models.Registration, ...] = ()
    gone: tuple[directory_models.Absence, ...] = ()
