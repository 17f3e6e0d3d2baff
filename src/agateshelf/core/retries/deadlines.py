"""Deadline propagation: each hop passes on less time than it has."""

from typing import Final

from agateshelf.core.retries import const

_MILLISECONDS_PER_SECOND: Final = 1000


def propagated_timeout_ms(timeout: float) -> int:
    """Return the timeout to send to a target, in milliseconds.

    It is shorter than the entry's own, so that the response has time to travel
    back. Without the margin, a target that uses all of its time would respond
    after the entry has stopped waiting.

    Args:
        timeout: The entry's timeout for the attempt, in seconds.
    """
    margin = min(
        const.DEADLINE_MARGIN_SECONDS, timeout * const.DEADLINE_MARGIN_SHARE
    )
    return max(1, int((timeout - margin) * _MILLISECONDS_PER_SECOND))
