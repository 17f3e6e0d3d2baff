"""After how long a call is hedged: a quantile of the latest answers' times."""

import bisect
import collections
import dataclasses

from agateshelf.core.hedging import const


@dataclasses.dataclass(slots=True)
class Times:
    """The latest answers' times of one service, in seconds.

    Attributes:
        latest: The times in the order they came.
        ordered: The same times in order of size.
    """

    latest: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    ordered: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class HedgingState:
    """Times of answers, by service name."""

    times: dict[str, Times] = dataclasses.field(default_factory=dict)


def delay_of(hedging: HedgingState, service: str) -> float:
    """Return the seconds after which a service's calls are hedged."""
    times = hedging.times.get(service)
    if times is None or len(times.ordered) < const.LEAST_TIMES:
        return const.FIRST_DELAY_SECONDS
    return times.ordered[int(const.DELAY_QUANTILE * len(times.ordered))]


def learn(hedging: HedgingState, service: str, seconds: float) -> None:
    """Take in the time from a call's first attempt to its answer.

    So a first attempt that lost against its hedge counts with the age it had.
    """
    times = hedging.times.get(service)
    if times is None:
        times = hedging.times[service] = Times()
    times.latest.append(seconds)
    bisect.insort(times.ordered, seconds)
    if len(times.latest) > const.MOST_TIMES:
        oldest = times.latest.popleft()
        del times.ordered[bisect.bisect_left(times.ordered, oldest)]
