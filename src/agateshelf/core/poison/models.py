"""What an entry remembers of requests that ended their targets."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request after whose sending targets were lost.

    Attributes:
        crashes: Targets lost, by name of the crash.
        until: Time it is forgotten, in seconds.
    """

    crashes: set[str]
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A connection lost after sending, not yet known to be a crash.

    Attributes:
        target: The target.
        fingerprint: The request's fingerprint.
        crash: Name of the crash, should it be one.
        at: Time of the loss, in seconds.
    """

    target: str
    fingerprint: bytes
    crash: str
    at: float


@dataclasses.dataclass(slots=True)
class PoisonState:
    """All suspects and cuts of this entry, each bounded.

    Attributes:
        suspects: Suspects by fingerprint, the least recent first.
        cuts: Recent cuts, the oldest first.
        tokens: Messages to other entries that may be sent at once.
        refilled: Time the tokens were counted, in seconds.
    """

    suspects: collections.OrderedDict[bytes, Suspect] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    cuts: collections.deque[Cut] = dataclasses.field(
        default_factory=collections.deque
    )
    tokens: float = 0.0
    refilled: float = 0.0
