"""Deadlines of attempts, kept by one task for all of them."""

from collections import abc
import dataclasses
import heapq
import math

import curio

from agateshelf.daemon import clock

Expire = abc.Callable[[int], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Deadlines:
    """Times by which attempts must have ended.

    Attributes:
        heap: Entries of loop time and attempt; ended attempts stay in it.
        wakes_at: Loop time at which the task looks next.
        earlier: Set when it must look sooner.
    """

    heap: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    wakes_at: float = math.inf
    earlier: curio.Event = dataclasses.field(default_factory=curio.Event)

    async def add(self, at: float, attempt: int) -> None:
        """Have an attempt expire at a time."""
        heapq.heappush(self.heap, (at, attempt))
        if at < self.wakes_at:
            self.wakes_at = at
            await self.earlier.set()

    async def run(self, expire: Expire) -> None:
        """Expire attempts when they are due; never returns."""
        while True:
            now = clock.now()
            while self.heap and self.heap[0][0] <= now:
                await expire(heapq.heappop(self.heap)[1])
            self.earlier.clear()
            if not self.heap:
                self.wakes_at = math.inf
                await self.earlier.wait()
                continue
            self.wakes_at = self.heap[0][0]
            async with curio.ignore_after(self.wakes_at - now):
                await self.earlier.wait()
