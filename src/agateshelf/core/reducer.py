"""The reducer: turns an event into effects and changes the state.

The state is changed in place, since a copy for each event would cost more than
the decision. The reducer is deterministic: the same state, times and events
always give the same effects.

Events that all entries have in common are handled here. The others are passed
on to the reducer of the entry's mode, which follows routes or serves services;
the one for services is imported when it is first needed.
"""

import functools
import importlib
from typing import Any

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import route_reducer
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.membership import handling as membership
from agateshelf.core.membership import models as membership_models
from agateshelf.core.poison import handling as poison
from agateshelf.core.poison import messages as poison_messages
from agateshelf.core.poison import models as poison_models
from agateshelf.core.poison import replication
from agateshelf.core.stopping import admission as stop_admission

Effects = list[effects.Effect]


def reduce(state: core_state.State, now: float, event: events.Event) -> Effects:
    """Reduce one event, and the events that parts of the core post meanwhile.

    Args:
        state: State of the entry, changed in place.
        now: The loop's time in seconds; it never goes back.
        event: The event.

    Returns:
        The effects, in order.
    """
    emitted = _dispatch(state, now, event)
    while state.pending_events:
        emitted.extend(_dispatch(state, now, state.pending_events.popleft()))
    return emitted


@functools.cache
def _service_reducer() -> Any:
    """Return the reducer for services, imported when it is first needed."""
    return importlib.import_module("agateshelf.core.service_reducer")


def _mode_reducer(state: core_state.State) -> Any:
    return route_reducer if state.feed.enabled else _service_reducer()


def _dispatch(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    match event:
        case events.PeerMessageReceived():
            return _on_message(state, now, event)
        case events.Tick():
            return _run_due_timers(state, now)
        case events.Started():
            return _on_started(state, now, event)
        case events.SeedsChanged():
            return membership.on_seeds(state, event)
        case events.StopRequested():
            return _on_stop(state, now, event)
        case events.StopDeadlinePassed():
            stop_admission.on_deadline(state, now)
            return _delegate(state, now, event)
        case (
            membership_models.ProbeRoundDue()
            | membership_models.AckDue()
            | membership_models.SuspicionDue()
            | membership_models.RemovalDue()
            | membership_models.SyncDue()
            | membership_models.LiveEntriesDue()
        ):
            return membership.on_timer(state, now, event)
        case (
            poison_models.TargetCheckDue()
            | poison_models.ReportsDue()
            | events.TargetRefused()
            | events.TargetSilent()
            | events.AttemptAbandoned()
            | events.PeerCrashesReported()
        ):
            return poison.on_event(state, now, event)
        case events.LiveEntriesChanged():
            domains = {one.id: one.failure_domain for one in event.entries}
            state.membership.failure_domains = domains
            return _delegate(state, now, event)
        case _:
            return _delegate(state, now, event)


def _delegate(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    emitted: Effects = _mode_reducer(state).on_event(state, now, event)
    return emitted


def _on_started(
    state: core_state.State, now: float, event: events.Started
) -> Effects:
    state.feed.enabled = event.has_feed
    state.unix_offset = event.unix_time - now
    emitted = membership.on_started(state, now, event)
    emitted.extend(_mode_reducer(state).on_started(state, now, event))
    return emitted


def _on_stop(
    state: core_state.State, now: float, event: events.StopRequested
) -> Effects:
    state.stopping = True
    return [
        effects.BecomeUnready(),
        *stop_admission.on_stop(state, now, event),
        *membership.on_stop(state, now),
        *_mode_reducer(state).on_stop(state, now),
    ]


def _on_message(
    state: core_state.State, now: float, event: events.PeerMessageReceived
) -> Effects:
    match event.message:
        case poison_messages.CrashReports() as message:
            return replication.on_message(state, now, event.peer, message)
        case _:
            pass
    emitted: Effects | None = _mode_reducer(state).on_message(state, now, event)
    if emitted is None:
        emitted = membership.on_message(state, now, event.peer, event.message)
    if emitted is not None:
        return emitted
    return [effects.Count("events.not_awaited")]


def _run_due_timers(state: core_state.State, now: float) -> Effects:
    emitted: Effects = []
    for event in timers.pop_due(state.timers, now):
        emitted.extend(_dispatch(state, now, event))
    return emitted
