"""Interface of the client that reads the platform's feed.

The driver depends on this interface alone, not on the platform.
"""

from typing import Protocol

from agateshelf.core import effects
from agateshelf.daemon import posting


class FeedClient(Protocol):
    """Reads and watches the routes and targets of the platform."""

    async def read(self, effect: effects.ReadFeed, post: posting.Post) -> None:
        """Read a topic and post `FeedAnswered` with the result."""

    async def watch(
        self, effect: effects.WatchFeed, post: posting.Post
    ) -> None:
        """Wait for changes of a topic and post `FeedAnswered` with them."""

    async def stop(self) -> None:
        """Cancel the pending watches."""
