"""Time of the event loop and time of day.

`time.monotonic` is read directly, since each call of `curio.clock` traps into
curio's event loop. The loop reads `time.monotonic` too, so tests that control
the time of the loop control this clock as well.
"""

import time


def now() -> float:
    """Return the loop time in seconds."""
    return time.monotonic()


def wall() -> float:
    """Return the Unix time in seconds, for time stamps only."""
    return time.time()
