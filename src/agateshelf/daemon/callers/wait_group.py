"""A counter of operations in flight that can be waited on until it is zero.

A graceful stop waits on it. An idle event loop would be no proof that all work
is done, since an answer may be decided but not yet written; so each connection
and exchange counts from its first byte to its last.
"""

import dataclasses

import curio


@dataclasses.dataclass(slots=True)
class WaitGroup:
    """A counter of operations in flight.

    Attributes:
        count: Operations in flight.
        zero: Set when the last operation in flight ends; clear while there
            are any.
    """

    count: int = 0
    zero: curio.Event = dataclasses.field(default_factory=curio.Event)

    def add(self) -> None:
        """Count the start of an operation."""
        self.count += 1
        self.zero.clear()

    async def done(self) -> None:
        """Count the end of an operation."""
        self.count -= 1
        if self.count == 0:
            await self.zero.set()

    async def wait(self) -> None:
        """Wait until no operation is in flight."""
        if self.count:
            await self.zero.wait()
