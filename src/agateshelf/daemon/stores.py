"""Interface of the client of the platform's store.

The driver depends on this interface alone, not on the platform.
"""

from typing import Protocol

from agateshelf.core import effects
from agateshelf.daemon import posting


class StoreClient(Protocol):
    """Sends requests of the core to the store."""

    async def send(
        self, effect: effects.SendStoreRequest, post: posting.Post
    ) -> None:
        """Send a request and post `StoreAnswered` with the result."""
