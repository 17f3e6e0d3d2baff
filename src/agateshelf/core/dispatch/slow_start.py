"""Limits what an entry that has just started sends before it knows the others.

Answers the load of a fleet that starts at once while its callers return: each
entry decides for itself, as none knows the owners yet, and would fill all slots
of all targets, which then answer nothing in time. So an entry starts with few
requests at a time. Each answer that comes about as soon as expected allows one
more, and a slow one halves them. Those that wait meanwhile are ordered as
always, so that the ones that can still be in time go first.
"""

import math

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models


def on_started(state: core_state.State, now: float) -> None:
    """Note when this entry started."""
    state.dispatch.started_at = now


def update(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> None:
    """Set how many requests may run at the targets of a pool at once.

    There is no limit once the entry knows others for a while or is asked by
    one: then one owner decides for all.
    """
    dispatcher.max_granted = math.inf
    dispatch = state.dispatch
    if now - dispatch.started_at >= const.SLOW_START_SECONDS:
        return
    if not _has_others_configured(state):
        return
    if dispatcher.last_peer_request_at >= dispatch.started_at:
        return
    dispatcher.max_granted = dispatcher.start_window


def record(
    dispatcher: models.Dispatcher,
    now: float,
    request: models.Request,
    seconds: float,
) -> None:
    """Adjust the limit after an answer.

    Args:
        dispatcher: The dispatcher of the request.
        now: Current time in seconds.
        request: The answered request.
        seconds: Time until its answer.
    """
    if math.isinf(dispatcher.max_granted):
        return
    if seconds <= const.SLOW_START_TOLERANCE * request.expected_seconds:
        dispatcher.start_window += 1
        return
    # Requests that were sent before the last reduction say nothing of it.
    if request.granted_at >= dispatcher.start_reduced_at:
        dispatcher.start_reduced_at = now
        half = dispatcher.start_window / 2
        dispatcher.start_window = max(const.SLOW_START_WINDOW, half)


def _has_others_configured(state: core_state.State) -> bool:
    """Return whether the settings name other entries."""
    seeds = state.membership.seed_addresses
    return any(entry != state.identity.entry for entry in seeds)
