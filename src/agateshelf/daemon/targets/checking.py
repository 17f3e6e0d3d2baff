"""Checks whether a target accepts connections after one to it was lost.

A lost kept-alive connection may merely have expired; a refused connection shows
that the target is down.
"""

import curio

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.daemon import clock
from agateshelf.daemon import posting
from agateshelf.daemon.targets import connection

_CHECK_TIMEOUT_SECONDS = 0.5
_PAUSED_AFTER_SECONDS = 1.0


async def check(
    effect: effects.CheckTarget, post: posting.Post, source: str = ""
) -> None:
    """Open and close a connection; post an event unless it is accepted.

    Args:
        effect: The target to check.
        post: Posts events.
        source: Local IP address that it is opened from; empty for any.
    """
    began = clock.now()
    try:
        async with curio.timeout_after(_CHECK_TIMEOUT_SECONDS):
            conn = await connection.open_connection(effect.address, source)
    except ConnectionRefusedError:
        await post(events.TargetRefused(effect.target))
        return
    except ConnectionResetError:
        # A target resets connections beyond its limit, and lives.
        return
    except (OSError, curio.TaskTimeout):
        # An entry that was paused meanwhile did not wait for an answer.
        if clock.now() - began < _PAUSED_AFTER_SECONDS:
            await post(events.TargetSilent(effect.target))
        return
    await conn.close()
