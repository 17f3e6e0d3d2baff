"""Time of the event loop and time of day.

`time.monotonic` is read directly, since each call of `curio.clock` traps into
curio's event loop. The loop reads `time.monotonic` too, so tests that control
the time of the loop control this clock as well.
"""

import dataclasses
import time

# Shorter suspensions are not reported until they add up to this. The two clocks
# are read one after the other, so that their difference always varies a little.
_MIN_SUSPENSION_SECONDS = 0.02


def now() -> float:
    """Return the loop time in seconds."""
    return time.monotonic()


def wall() -> float:
    """Return the Unix time in seconds, for time stamps only."""
    return time.time()


def boot() -> float:
    """Return the seconds since the boot, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class Suspensions:
    """Detects suspensions of the machine, during which the loop time stops.

    Attributes:
        offset: Boot time less loop time at the last check; None before it.
    """

    offset: float | None = None

    def take(self, loop_time: float) -> float:
        """Return the seconds of suspension since the last check; 0 for none."""
        offset = boot() - loop_time
        if self.offset is None or offset < self.offset:
            self.offset = offset
            return 0.0
        seconds = offset - self.offset
        if seconds <= _MIN_SUSPENSION_SECONDS:
            return 0.0
        self.offset = offset
        return seconds
