"""Base class of the messages between entries.

Each part of the core defines its messages as subclasses of `PeerMessage` in
its `messages.py`, and the daemon's codec registers them. Delivery is not
guaranteed: a message may be lost, delayed, duplicated or reordered.
"""

from typing import ClassVar

import msgspec


class PeerMessage(msgspec.Struct, frozen=True):
    """Base class of all messages between entries.

    Attributes:
        wire_name: Type by which the message is sent, where that differs from
            the name of its class.
    """

    wire_name: ClassVar[str] = ""
