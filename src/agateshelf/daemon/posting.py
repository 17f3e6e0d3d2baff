"""Type of the function by which clients and servers post events."""

from collections import abc

from agateshelf.core import events

Post = abc.Callable[[events.Event], abc.Awaitable[None]]
