"""Detection of pauses of this process, by a periodic timer that fires late.

A request may have waited in a socket for the whole pause, longer than claims
are kept, while its caller sent it again to another entry. Keyed requests are
therefore refused for a short time after a pause.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.claims import const


def start(state: core_state.State, now: float) -> None:
    """Start the periodic check, unless it is started already."""
    if state.claims.pause_check_due is None:
        _schedule(state, now)


def on_check(state: core_state.State, now: float) -> list[effects.Effect]:
    """Check whether the timer fired late, and schedule the next one."""
    emitted: list[effects.Effect] = []
    if _detect_pause(state, now):
        emitted.append(effects.Count("claims.pauses_noticed"))
    _schedule(state, now)
    return emitted


def check_for_pause(state: core_state.State, now: float) -> bool:
    """Check for a pause, and return whether to refuse keyed requests.

    A request may be read before the late timer fires, so this checks too.
    """
    _detect_pause(state, now)
    return now < state.claims.refuse_keyed_until


def _detect_pause(state: core_state.State, now: float) -> bool:
    """Return whether the timer is late, and if so refuse keyed requests."""
    due = state.claims.pause_check_due
    if due is None or now - due <= const.MIN_PAUSE_SECONDS:
        return False
    state.claims.refuse_keyed_until = now + const.PAUSE_REFUSAL_SECONDS
    return True


def _schedule(state: core_state.State, now: float) -> None:
    due = now + const.PAUSE_CHECK_SECONDS
    state.claims.pause_check_due = due
    timers.schedule(state.timers, due, events.PauseCheckDue())
