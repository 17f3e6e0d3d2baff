"""Deadlines of attempts, enforced by a single task for all of them."""

from collections import abc
import dataclasses
import heapq
import math

import curio

from agateshelf.daemon import clock

Expire = abc.Callable[[int], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Deadlines:
    """Deadlines of attempts, in a heap.

    Attributes:
        heap: Pairs of loop time and attempt. Ended attempts are not removed;
            they expire without effect.
        wakes_at: Loop time at which the task wakes up next.
        rescheduled: Set when the task must wake up earlier than that.
    """

    heap: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    wakes_at: float = math.inf
    rescheduled: curio.Event = dataclasses.field(default_factory=curio.Event)

    async def add(self, at: float, attempt: int) -> None:
        """Add the deadline of an attempt, a loop time."""
        heapq.heappush(self.heap, (at, attempt))
        if at < self.wakes_at:
            self.wakes_at = at
            await self.rescheduled.set()

    async def run(self, expire: Expire) -> None:
        """Call `expire` for each attempt at its deadline; never returns."""
        while True:
            now = clock.now()
            while self.heap and self.heap[0][0] <= now:
                await expire(heapq.heappop(self.heap)[1])
            self.rescheduled.clear()
            if not self.heap:
                self.wakes_at = math.inf
                await self.rescheduled.wait()
                continue
            self.wakes_at = self.heap[0][0]
            async with curio.ignore_after(self.wakes_at - now):
                await self.rescheduled.wait()
