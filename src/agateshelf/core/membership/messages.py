"""Messages by which entries keep track of each other."""

from agateshelf.core.membership import models
from agateshelf.core.peers import models as peer_models


class Ping(peer_models.PeerMessage, frozen=True):
    """A heartbeat that asks for an answer.

    Attributes:
        number: Number that the answer carries.
        version: Version that the sender has in force.
        sender: The sender's own record.
        updates: Records to pass on.
    """

    number: int
    version: int
    sender: models.Member
    updates: tuple[models.Member, ...] = ()


class Ack(peer_models.PeerMessage, frozen=True):
    """The answer to a heartbeat."""

    number: int
    version: int
    sender: models.Member
    updates: tuple[models.Member, ...] = ()


class PingFor(peer_models.PeerMessage, frozen=True):
    """Asks the receiver to send a heartbeat to an entry that kept silent."""

    number: int
    entry: str


class AckFor(peer_models.PeerMessage, frozen=True):
    """Says that an entry answered the heartbeat sent on request."""

    number: int
    entry: str


class RosterWanted(peer_models.PeerMessage, frozen=True):
    """Asks for records of entries, in order, after one.

    Attributes:
        after: Identifier after which to go on.
        digest: Digest of all records that the asker has, with the first
            page; who has the same ones sends none. 0 if it is not told.
    """

    after: str
    digest: int = 0


class RosterPage(peer_models.PeerMessage, frozen=True):
    """Records of entries in order.

    Attributes:
        members: The records.
        more: Whether there are further ones.
    """

    members: tuple[models.Member, ...]
    more: bool = False
