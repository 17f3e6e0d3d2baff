"""Hedging delay: a quantile of the latest latencies of each service."""

import bisect
import collections
import dataclasses

from agateshelf.core.hedging import const


@dataclasses.dataclass(slots=True)
class LatencySamples:
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

    samples: dict[str, LatencySamples] = dataclasses.field(default_factory=dict)


def delay_of(hedging: HedgingState, service: str) -> float:
    """Return the hedging delay of a service, in seconds."""
    samples = hedging.samples.get(service)
    if samples is None or len(samples.ordered) < const.MIN_SAMPLES:
        return const.INITIAL_DELAY_SECONDS
    return samples.ordered[int(const.DELAY_QUANTILE * len(samples.ordered))]


def record(hedging: HedgingState, service: str, seconds: float) -> None:
    """Record the time from the start of a call's oldest attempt to a response.

    If the hedge responds first, the sample is therefore the age of the first
    attempt, not the latency of the hedge.
    """
    samples = hedging.samples.get(service)
    if samples is None:
        samples = hedging.samples[service] = LatencySamples()
    samples.latest.append(seconds)
    bisect.insort(samples.ordered, seconds)
    if len(samples.latest) > const.MAX_SAMPLES:
        oldest = samples.latest.popleft()
        del samples.ordered[bisect.bisect_left(samples.ordered, oldest)]
