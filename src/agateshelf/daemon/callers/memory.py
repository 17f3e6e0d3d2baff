"""Memory budget for buffered requests and answers.

Requests over the budget are refused; answers over it are streamed.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Budget:
    """Budget for the bytes of requests and answers buffered by the process.

    Attributes:
        total: Maximum number of bytes.
        held: Bytes reserved at present.
    """

    total: int
    held: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if they would exceed the budget."""
        if self.held + size > self.total:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.held -= size
