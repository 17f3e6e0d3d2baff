"""Messages by which entries keep track of each other."""

import dataclasses

from agateshelf.core.membership import models
from agateshelf.core.peers import models as peer_models


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(peer_models.PeerMessage):
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


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(peer_models.PeerMessage):
    """The answer to a heartbeat."""

    number: int
    version: int
    sender: models.Member
    updates: tuple[models.Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PingFor(peer_models.PeerMessage):
    """Asks the receiver to send a heartbeat to an entry that kept silent."""

    number: int
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class AckFor(peer_models.PeerMessage):
    """Says that an entry answered the heartbeat sent on request."""

    number: int
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class RosterWanted(peer_models.PeerMessage):
    """Asks for records of entries, in order, after one.

    Attributes:
        after: Identifier after which to go on.
        whole: Whether the asker wants all the pages, not just one.
    """

    after: str
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RosterPage(peer_models.PeerMessage):
    """Records of entries in order.

    Attributes:
        members: The records.
        whole: Whether it is one of all the pages.
        more: Whether there are further ones.
    """

    members: tuple[models.Member, ...]
    whole: bool = False
    more: bool = False
