"""Hedging delay: a quantile of the latest latencies of each service."""

import bisect
import collections
import dataclasses

from agateshelf.core.hedging import const


@dataclasses.dataclass(slots=True)
class Times:
    """Latest latencies of one service, in seconds.

    Attributes:
        latest: Latencies in order of arrival.
        ordered: The same latencies in ascending order.
    """

    latest: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    ordered: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class HedgingState:
    """Latest latencies, by service name."""

    times: dict[str, Times] = dataclasses.field(default_factory=dict)


def delay_of(hedging: HedgingState, service: str) -> float:
    """Return the hedging delay of a service, in seconds."""
    times = hedging.times.get(service)
    if times is None or len(times.ordered) < const.LEAST_TIMES:
        return const.FIRST_DELAY_SECONDS
    return times.ordered[int(const.DELAY_QUANTILE * len(times.ordered))]


def learn(hedging: HedgingState, service: str, seconds: float) -> None:
    """Record the time from the start of a call's first attempt to its response.

    A first attempt that is overtaken by its hedge thus counts with its age.
    """
    times = hedging.times.get(service)
    if times is None:
        times = hedging.times[service] = Times()
    times.latest.append(seconds)
    bisect.insort(times.ordered, seconds)
    if len(times.latest) > const.MOST_TIMES:
        oldest = times.latest.popleft()
        del times.ordered[bisect.bisect_left(times.ordered, oldest)]
