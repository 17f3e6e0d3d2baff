"""The entry's budget of bytes held for callers and from targets."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Budget:
    """Bytes of requests and answers held in memory.

    Attributes:
        total: Bytes that may be held at once.
        held: Bytes held now.
    """

    total: int
    held: int = 0

    def reserve(self, size: int) -> bool:
        """Count bytes as held, unless they would break the budget."""
        if self.held + size > self.total:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Count bytes as no longer held."""
        self.held -= size
