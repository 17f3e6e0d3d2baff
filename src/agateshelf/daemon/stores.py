"""What the driver needs of a client towards the platform's store."""

from typing import Protocol

from agateshelf.core import effects
from agateshelf.daemon import posting


class StoreClient(Protocol):
    """Carries requests of the core to the store."""

    async def send(
        self, effect: effects.SendStoreRequest, post: posting.Post
    ) -> None:
        """Send a request; `StoreAnswered` is posted."""
