"""How what was heard outside reaches the reducer."""

from collections import abc

from agateshelf.core import events

Post = abc.Callable[[events.Event], abc.Awaitable[None]]
