"""How fast targets can start requests, and when refused callers may return."""

from collections import abc
import dataclasses
import heapq
import random

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models
from agateshelf.core.target_notices import pacing


def reserve_return(
    dispatcher: models.Dispatcher,
    start: float,
    gap: float,
    now: float,
    rng: random.Random,
) -> float:
    """Return the time at which a refused request may come back.

    Args:
        dispatcher: The dispatcher of the service.
        start: Time from which there is room.
        gap: Seconds between two requests that the targets can start.
        now: Current time in seconds.
        rng: Random number generator.
    """
    at = max(
        start,
        dispatcher.next_return_at,
        now + const.MIN_ROOM_RETRY_AFTER_SECONDS,
    )
    first = max(start, now)
    if at > first + const.MAX_ROOM_RETRY_AFTER_SECONDS:
        spread = rng.uniform(0.5, 1.0)
        return first + const.MAX_ROOM_RETRY_AFTER_SECONDS * spread
    dispatcher.next_return_at = at + gap
    return at


@dataclasses.dataclass(frozen=True, slots=True)
class Turnover:
    """How fast a target can start requests.

    Attributes:
        first: Time of the next start.
        interval: Seconds between two starts.
    """

    first: float
    interval: float


def turnover_of(
    target: models.TargetState, work: float, now: float
) -> Turnover:
    """Return how fast a target can start requests.

    Args:
        target: The target.
        work: Expected run time of a request in seconds on an idle target of
            usual speed.
        now: Current time in seconds.
    """
    slots = target.slots
    interval = estimates.uncontended_seconds(target, work, now) / slots
    first = now if target.outstanding < slots else now + interval
    first = max(first, target.paused_until)
    if target.pace is not None:
        next_at = pacing.next_at(target.pace, now)
        if next_at > now:
            # Full decisions alone notice that time has left room.
            next_at += const.FULL_DECISION_SECONDS
        first = max(first, next_at)
        interval = max(interval, 1.0 / target.pace.rate)
    return Turnover(first, interval)


def expected_starts(
    turnovers: abc.Sequence[Turnover],
) -> abc.Iterator[float]:
    """Yield the times at which targets can start requests, in order."""
    upcoming = [(t.first, i, t.interval) for i, t in enumerate(turnovers)]
    heapq.heapify(upcoming)
    while True:
        at, number, interval = upcoming[0]
        yield at
        heapq.heapreplace(upcoming, (at + interval, number, interval))
