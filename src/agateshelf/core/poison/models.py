"""State of the detection of poisonous requests."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request suspected of crashing its targets.

    Attributes:
        crashes: Identifiers of the crashes.
        until: Time of expiry, in seconds.
    """

    crashes: set[str]
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class LostConnection:
    """A connection lost after sending, not yet confirmed as a crash.

    Attributes:
        target: Identifier of the target.
        fingerprint: Fingerprint of the request.
        crash: Identifier of the crash if it is confirmed as one.
        lost_at: Time of the loss, in seconds.
    """

    target: str
    fingerprint: bytes
    crash: str
    lost_at: float


@dataclasses.dataclass(slots=True)
class PoisonState:
    """Suspects and lost connections of this entry, both bounded.

    Attributes:
        suspects: Suspects by fingerprint, the least recent first.
        lost_connections: Recent lost connections, the oldest first.
        tokens: Messages that may be sent to other entries now.
        refilled: Time of the latest refill of `tokens`, in seconds.
    """

    suspects: collections.OrderedDict[bytes, Suspect] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    lost_connections: collections.deque[LostConnection] = dataclasses.field(
        default_factory=collections.deque
    )
    tokens: float = 0.0
    refilled: float = 0.0
