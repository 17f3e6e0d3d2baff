"""Checks whether a target accepts connections after one to it was lost.

A lost kept-alive connection may merely have expired; a refused connection shows
that the target is down.
"""

import curio

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.daemon import posting
from agateshelf.daemon.targets import connection

_CHECK_TIMEOUT_SECONDS = 0.5


async def check(effect: effects.CheckTarget, post: posting.Post) -> None:
    """Open and close a connection; post `TargetRefused` if it is refused."""
    try:
        async with curio.timeout_after(_CHECK_TIMEOUT_SECONDS):
            conn = await connection.open_connection(effect.address)
    except ConnectionRefusedError:
        await post(events.TargetRefused(effect.target))
        return
    except (OSError, curio.TaskTimeout):
        return
    await conn.close()
