"""Timers: events scheduled for a later time, in one heap."""

import dataclasses
import heapq

from agateshelf.core import events


@dataclasses.dataclass(slots=True)
class Timers:
    """The heap of scheduled events.

    Attributes:
        heap: Entries of due time in seconds, a tie-breaker and the event.
        count: Number of events ever scheduled.
    """

    heap: list[tuple[float, int, events.Event]] = dataclasses.field(
        default_factory=list
    )
    count: int = 0


def schedule(timers: Timers, at: float, event: events.Event) -> None:
    """Have an event reduced at a time; whoever handles it checks it is due."""
    timers.count += 1
    heapq.heappush(timers.heap, (at, timers.count, event))


def next_at(timers: Timers) -> float | None:
    """Return the time of the earliest timer."""
    if not timers.heap:
        return None
    return timers.heap[0][0]


def pop_due(timers: Timers, now: float) -> list[events.Event]:
    """Remove and return the events that are due, in order."""
    due = []
    while timers.heap and timers.heap[0][0] <= now:
        due.append(heapq.heappop(timers.heap)[2])
    return due
