"""Base of the messages that entries send each other.

Each part defines its own messages as data classes derived from `PeerMessage`
in its `messages.py`; the codec of the daemon lists them. A message is never
relied on: it may be lost, late, repeated or out of order.
"""

from typing import ClassVar

import msgspec


class PeerMessage(msgspec.Struct, frozen=True):
    """Base of all messages between entries.

    Attributes:
        wire_name: Type by which the message is sent, where that differs from
            the name of its class.
    """

    wire_name: ClassVar[str] = ""
