"""Timers: events scheduled for a later time, in a heap."""

from collections import abc
import dataclasses
import heapq

from agateshelf.core import events


@dataclasses.dataclass(slots=True)
class Timers:
    """The heap of scheduled events.

    Attributes:
        heap: Tuples of due time in seconds, sequence number and event; the
            sequence number keeps events with the same due time in order.
        count: Number of events scheduled so far.
    """

    heap: list[tuple[float, int, events.Event]] = dataclasses.field(
        default_factory=list
    )
    count: int = 0


def schedule(timers: Timers, at: float, event: events.Event) -> None:
    """Schedule an event.

    Timers are not cancelled: the handler checks whether the event still
    applies.
    """
    timers.count += 1
    heapq.heappush(timers.heap, (at, timers.count, event))


def next_at(timers: Timers) -> float | None:
    """Return the due time of the earliest timer, or None if there is none."""
    if not timers.heap:
        return None
    return timers.heap[0][0]


def pop_due(timers: Timers, now: float) -> abc.Iterator[events.Event]:
    """Remove and yield the events that are due, in order.

    Each is removed just before it is handled, so that an error in a handler
    leaves the others scheduled. Events that handlers schedule meanwhile come
    with the next call.
    """
    last = timers.count
    while timers.heap:
        at, number, event = timers.heap[0]
        if at > now or number > last:
            return
        heapq.heappop(timers.heap)
        yield event
