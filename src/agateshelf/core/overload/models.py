"""State of measured round trips and of overload."""

import collections
import dataclasses
import math


@dataclasses.dataclass(slots=True)
class RoundTrips:
    """Round trips of pings to the entries of other failure domains.

    Attributes:
        sent_at: When pings were sent that have no ack yet, by number, the
            oldest first.
        measured: Time and seconds of the last round trips to each failure
            domain, this entry's own included.
        crossing: Seconds that a round trip to another failure domain takes
            longer than one within this entry's own, by failure domain.
        ways: The same from any failure domain to all others, as far as asked
            for since the last change.
    """

    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    measured: dict[str, collections.deque[tuple[float, float]]] = (
        dataclasses.field(default_factory=dict)
    )
    crossing: dict[str, float] = dataclasses.field(default_factory=dict)
    ways: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class OwnDelay:
    """How late this entry handles events.

    Attributes:
        last: The last delay measured, in seconds.
        seconds: The smaller one of the last two, 0 if these are apart.
        measured_at: When the last one was measured.
        since: Time since which the entry is in overload; None if it isn't.
        refused: Requests refused on arrival since the last overload.
    """

    last: float = 0.0
    seconds: float = 0.0
    measured_at: float = -math.inf
    since: float | None = None
    refused: int = 0


@dataclasses.dataclass(slots=True)
class Relief:
    """Time in which an owner that is late isn't asked.

    Attributes:
        until: Its end.
        seconds: Its length.
        late: Delay that the owner told, in seconds.
    """

    until: float
    seconds: float
    late: float


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadCheckDue:
    """An entry in overload is due for a check whether it still is (timer)."""


@dataclasses.dataclass(slots=True)
class OverloadState:
    """What an entry knows of its own load and of that of owners.

    Attributes:
        round_trips: Measured round trips between failure domains.
        own: This entry's own delay.
        reliefs: Owners that said that they are late, by entry.
    """

    round_trips: RoundTrips = dataclasses.field(default_factory=RoundTrips)
    own: OwnDelay = dataclasses.field(default_factory=OwnDelay)
    reliefs: dict[str, Relief] = dataclasses.field(default_factory=dict)
