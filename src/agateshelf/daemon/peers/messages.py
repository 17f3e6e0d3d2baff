"""Message of the transport itself."""

from agateshelf.core.peers import models


class MessagePart(models.PeerMessage, frozen=True):
    """A part of an encoded message that is too large for one.

    Attributes:
        number: Number of the message; later ones of a process are higher.
        index: Index of this part.
        count: Number of its parts.
        data: The bytes of this part.
    """

    number: int
    index: int
    count: int
    data: bytes
