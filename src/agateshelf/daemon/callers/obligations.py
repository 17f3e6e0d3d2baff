"""A counter of operations in flight that can be waited on until it is zero.

A graceful stop waits on it. An idle event loop would be no proof that all work
is done, since an answer may be decided but not yet written; so each connection
and exchange counts from its first byte to its last.
"""

import dataclasses

import curio


@dataclasses.dataclass(slots=True)
class Obligations:
    """A counter of operations in flight.

    Attributes:
        owed: Operations in flight.
        zero: Set when the last operation in flight ends; clear while there
            are any.
    """

    owed: int = 0
    zero: curio.Event = dataclasses.field(default_factory=curio.Event)

    def open(self) -> None:
        """Count the start of an operation."""
        self.owed += 1
        self.zero.clear()

    async def discharge(self) -> None:
        """Count the end of an operation."""
        self.owed -= 1
        if self.owed == 0:
            await self.zero.set()

    async def wait(self) -> None:
        """Wait until no operation is in flight."""
        if self.owed:
            await self.zero.wait()
