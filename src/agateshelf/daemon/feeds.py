"""What the driver needs of a client towards the platform's feed."""

from typing import Protocol

from agateshelf.core import effects
from agateshelf.daemon import posting


class FeedClient(Protocol):
    """Reads and watches what the platform says of routes and targets."""

    async def read(self, effect: effects.ReadFeed, post: posting.Post) -> None:
        """Read a topic; `FeedAnswered` is posted."""

    async def watch(
        self, effect: effects.WatchFeed, post: posting.Post
    ) -> None:
        """Wait for changes of a topic; `FeedAnswered` is posted."""

    async def stop(self) -> None:
        """Give up the watches that are waiting."""
