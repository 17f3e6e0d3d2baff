"""Memory budget for buffered requests and answers.

Requests over the budget are refused; answers over it are streamed.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Budget:
    """Budget for the bytes of requests and answers buffered by the process.

    Attributes:
        total: Maximum number of bytes.
        reserved: Bytes reserved at present.
    """

    total: int
    reserved: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if they would exceed the budget."""
        if self.reserved + size > self.total:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.reserved -= size
