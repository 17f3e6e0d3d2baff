"""Messages of failure detection and state sync between entries."""

from typing import ClassVar

from agateshelf.core.membership import models
from agateshelf.core.peers import models as peer_models


class Ping(peer_models.PeerMessage, frozen=True):
    """A heartbeat that asks for an `Ack`.

    Attributes:
        number: Number that the `Ack` echoes.
        version: Active configuration version of the sender.
        sender: The sender's own record.
        updates: Gossiped records of other entries.
        crashes: Digest of the crashes that the sender knows; 0 for none.
    """

    number: int
    version: int
    sender: models.Member
    updates: tuple[models.Member, ...] = ()
    crashes: int = 0


class Ack(peer_models.PeerMessage, frozen=True):
    """The answer to a `Ping`, with the same fields."""

    number: int
    version: int
    sender: models.Member
    updates: tuple[models.Member, ...] = ()
    crashes: int = 0


class IndirectPing(peer_models.PeerMessage, frozen=True):
    """Asks the receiver to ping an entry that did not answer the sender.

    Attributes:
        number: Number of the sender's unanswered ping.
        entry: The entry to ping.
    """

    wire_name: ClassVar[str] = "PingFor"

    number: int
    entry: str


class IndirectAck(peer_models.PeerMessage, frozen=True):
    """Tells the sender of an `IndirectPing` that the entry answered.

    Attributes:
        number: Number from the `IndirectPing`.
        entry: The entry that answered.
    """

    wire_name: ClassVar[str] = "AckFor"

    number: int
    entry: str


class SyncRequest(peer_models.PeerMessage, frozen=True):
    """Asks for a page of records in the order of their identifiers.

    Attributes:
        after: Identifier of the last record of the page before; empty for the
            first page.
        digest: Digest of all records of the sender, sent with the first page
            only and 0 otherwise. A receiver with the same digest answers with
            an empty page.
    """

    wire_name: ClassVar[str] = "RosterWanted"

    after: str
    digest: int = 0


class SyncPage(peer_models.PeerMessage, frozen=True):
    """A page of records in the order of their identifiers.

    Attributes:
        members: The records.
        more: Whether there are further records after these.
    """

    wire_name: ClassVar[str] = "RosterPage"

    members: tuple[models.Member, ...]
    more: bool = False
