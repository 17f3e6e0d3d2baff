"""What the entry owes its callers, counted; zero means nothing is owed.

A silent loop is no proof that all is done: an answer may be decided and not
yet written. So each open connection and each exchange is counted from its
first byte to its last, and whoever brings the count to zero says so.
"""

import dataclasses

import curio


@dataclasses.dataclass(slots=True)
class Obligations:
    """A count of open obligations.

    Attributes:
        owed: Obligations open now.
        zero: Set while nothing is owed.
    """

    owed: int = 0
    zero: curio.Event = dataclasses.field(default_factory=curio.Event)

    def open(self) -> None:
        """Take on an obligation."""
        self.owed += 1
        self.zero.clear()

    async def discharge(self) -> None:
        """Settle an obligation."""
        self.owed -= 1
        if self.owed == 0:
            await self.zero.set()

    async def wait(self) -> None:
        """Wait until nothing is owed."""
        if self.owed:
            await self.zero.wait()
