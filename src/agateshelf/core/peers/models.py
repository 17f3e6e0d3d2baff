"""Base class of the messages between entries.

Each part of the core defines its messages as subclasses of `PeerMessage` in
its `messages.py`, and the daemon's codec registers them. Delivery is not
guaranteed: a message may be lost, delayed, duplicated or reordered.
"""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True):
    """Base class of all messages between entries."""
