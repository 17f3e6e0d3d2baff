"""Deadlines passed on: each hop leaves its callers a margin."""

from typing import Final

from agateshelf.core.retries import const

_MILLISECONDS_PER_SECOND: Final = 1000


def told_milliseconds(timeout: float) -> int:
    """Return the time to tell a target that it has.

    It is less than the entry itself waits, so that the answer has time to
    travel back: a target that works until the last moment works for nobody.

    Args:
        timeout: Seconds until this entry gives the attempt up.
    """
    margin = min(
        const.DEADLINE_MARGIN_SECONDS, timeout * const.DEADLINE_MARGIN_SHARE
    )
    return max(1, int((timeout - margin) * _MILLISECONDS_PER_SECOND))
