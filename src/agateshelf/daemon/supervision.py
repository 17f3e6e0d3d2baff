"""Keeps the loops running that the whole process depends on.

A task that ends by an error ends silently, and the process would go on without
its timers, its peers or its timeouts.
"""

from collections import abc
from typing import Final

import curio
import logbook

_log = logbook.Logger("tasks")

# A loop that fails at once each time must leave time for all others.
_RESTART_SECONDS: Final = 0.2


async def keep_running(
    name: str, loop: abc.Callable[..., abc.Awaitable[None]], *arguments: object
) -> None:
    """Run a loop that never returns, and again after each error.

    Args:
        name: What the loop does, for the log.
        loop: The loop.
        *arguments: Its arguments.
    """
    while True:
        try:
            await loop(*arguments)
        except Exception:
            _log.exception(
                "Unexpected error in the task of {}; it starts again.", name
            )
        else:
            _log.error("The task of {} has ended; it starts again.", name)
        await curio.sleep(_RESTART_SECONDS)
