"""What the driver needs of a client towards the platform's store."""

from collections import abc
from typing import Protocol

from agateshelf.core import effects
from agateshelf.core import events

Post = abc.Callable[[events.Event], abc.Awaitable[None]]


class StoreClient(Protocol):
    """Carries requests of the core to the store."""

    async def ask(self, effect: effects.AskStore, post: Post) -> None:
        """Send a request; `StoreAnswered` is posted."""
