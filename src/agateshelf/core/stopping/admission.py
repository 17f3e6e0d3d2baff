"""Decides which requests a stopping entry may still begin.

A request that begins late may run for longer than the entry lives. It is
refused as not run, so that its caller can send it to another entry, unless its
deadline passes before the end of the stop: its caller then gets the answer or
learns of the deadline, whatever the target does.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.stopping import const


def on_stop(
    state: core_state.State, now: float, event: events.StopRequested
) -> list[effects.Effect]:
    """Note the times of a stop; a further request can only shorten it."""
    requested_at = now - event.elapsed
    ends_at = requested_at + event.seconds
    if ends_at >= state.stop.ends_at:
        return []
    accepts = min(const.MAX_ACCEPT_SECONDS, const.ACCEPT_SHARE * event.seconds)
    state.stop.ends_at = ends_at
    state.stop.late_from = min(state.stop.late_from, requested_at + accepts)
    details = (
        ("accepts_seconds", round(accepts, 3)),
        ("ends_seconds", round(event.seconds, 3)),
        ("elapsed_seconds", round(event.elapsed, 3)),
    )
    return [effects.LogEvent("entry.stopping", details=details)]


def on_deadline(state: core_state.State, now: float) -> None:
    """Let no request begin any more, as the remaining calls are refused."""
    state.stop.ends_at = min(state.stop.ends_at, now)
    state.stop.late_from = min(state.stop.late_from, now)


def may_outlast(state: core_state.State, deadline: float) -> bool:
    """Return whether a request may still run when the entry has to exit."""
    return deadline > state.stop.ends_at


def is_too_late(state: core_state.State, now: float, deadline: float) -> bool:
    """Return whether a request must not begin any more."""
    return now >= state.stop.late_from and may_outlast(state, deadline)


def refuses_relayed(state: core_state.State, deadline: float) -> bool:
    """Return whether a relayed request must go by another entry.

    The end of this entry's stop would break it off at one that doesn't stop,
    and which can choose another relay while nothing was sent.
    """
    return state.stopping and may_outlast(state, deadline)


def answer_by(state: core_state.State, deadline: float) -> float:
    """Return the time by which a target has to answer a request."""
    return min(deadline, state.stop.ends_at)
