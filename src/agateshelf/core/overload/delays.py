"""Follows how late this entry handles events.

Answers an entry whose core is saturated, or slowed down by others on its
machine: what it receives waits in its sockets, which it alone can know in time.
One long step, such as that of new routes, isn't overload, so the smaller one of
two delays in a row counts.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.overload import const
from agateshelf.core.overload import models


def on_event(
    state: core_state.State,
    now: float,
    event: events.LoopDelayed | models.OverloadCheckDue,
) -> list[effects.Effect]:
    """Handle a measured delay or the check of an entry in overload."""
    match event:
        case events.LoopDelayed():
            return _on_delayed(state, now, event)
        case models.OverloadCheckDue():
            return _on_check_due(state, now)


def _on_delayed(
    state: core_state.State, now: float, event: events.LoopDelayed
) -> list[effects.Effect]:
    """Record a delay; log that the entry is in overload from now on."""
    own = state.overload.own
    own.seconds = 0.0
    if now - own.measured_at <= const.DELAY_VALID_SECONDS:
        own.seconds = min(event.seconds, own.last)
    own.last = event.seconds
    own.measured_at = now
    if own.seconds < const.OVERLOAD_SECONDS or own.since is not None:
        return []
    own.since = now
    _schedule_check(state, now)
    late = ("late_ms", round(1000 * own.seconds, 1))
    return [effects.LogEvent("entry.overloaded", details=(late,))]


def _schedule_check(state: core_state.State, now: float) -> None:
    at = now + const.OVERLOAD_CHECK_SECONDS
    timers.schedule(state.timers, at, models.OverloadCheckDue())


def _on_check_due(state: core_state.State, now: float) -> list[effects.Effect]:
    """Check whether the entry is still in overload (timer)."""
    own = state.overload.own
    if own.since is None:
        return []
    if now - own.measured_at <= const.OVERLOAD_CHECK_SECONDS:
        _schedule_check(state, now)
        return []
    details = (
        ("seconds", round(now - own.since, 3)),
        ("refused", own.refused),
    )
    own.since = None
    own.refused = 0
    return [effects.LogEvent("entry.recovered", details=details)]


def seconds(state: core_state.State, now: float) -> float:
    """Return how late this entry is, in seconds; 0 if it isn't."""
    own = state.overload.own
    if now - own.measured_at > const.DELAY_VALID_SECONDS:
        return 0.0
    return own.seconds


def told(state: core_state.State, now: float, *, is_paced: bool) -> float:
    """Return the delay that an owner says in its replies; 0 for none.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        is_paced: Whether targets of the pool have limits or warm-ups.
    """
    late = seconds(state, now)
    least = const.OVERLOAD_SECONDS
    if is_paced:
        least = const.PACED_OVERLOAD_SECONDS
    return round(late, 3) if late >= least else 0.0
