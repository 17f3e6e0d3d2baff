"""Measures by how much the soak's own loop is late.

All links between the processes of a run pass through it, so that a loop that is
late delays every message and response, whatever the entries do.
"""

import time

import curio

from soak import history as history_lib

_INTERVAL_SECONDS = 0.01
# A loop that does its work is late by less.
_MIN_DELAY_SECONDS = 0.02


async def measure(history: history_lib.History) -> None:
    """Record the delays of the loop until cancelled."""
    while True:
        due = time.time() + _INTERVAL_SECONDS
        await curio.sleep(_INTERVAL_SECONDS)
        late = time.time() - due
        if late >= _MIN_DELAY_SECONDS:
            history.loop_delays.append((due, late))


def total(history: history_lib.History, begin: float, end: float) -> float:
    """Return for how many seconds of a time the loop was late."""
    return sum(
        max(0.0, min(due + late, end) - max(due, begin))
        for due, late in history.loop_delays
        if due < end
    )
