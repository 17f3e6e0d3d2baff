"""What an entry that follows routes does about events."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import client
from agateshelf.core.dispatch import dispatchers
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import sampler_assignment
from agateshelf.core.dispatch import sampling
from agateshelf.core.feed import handling as feed
from agateshelf.core.feed import models as feed_models
from agateshelf.core.feed import reading
from agateshelf.core.feed import relaying
from agateshelf.core.forwarding import ending
from agateshelf.core.forwarding import lifecycle
from agateshelf.core.poison import lost_connections

Effects = list[effects.Effect]


def on_event(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    """Handle an event."""
    match event:
        case events.RequestArrived():
            return lifecycle.on_request(state, now, event)
        case events.TurnDecided():
            return lifecycle.on_turn(state, now, event)
        case events.TargetRefused():
            return lost_connections.on_target_refused(state, now, event)
        case events.TargetProbed():
            return sampling.on_probed(state, now, event)
        case events.AttemptAnswered():
            return ending.on_answer(state, now, event)
        case events.AttemptFailed():
            return ending.on_failure(state, now, event)
        case events.StreamEnded():
            return ending.on_stream_end(state, now, event)
        case events.CallerLeft():
            return lifecycle.on_caller_left(state, now, event)
        case events.DeadlinePassed():
            return lifecycle.on_deadline(state, now, event)
        case (
            dispatch_models.DispatcherDue()
            | dispatch_models.SamplerCheckDue()
            | dispatch_models.ProbesDue()
            | dispatch_models.LoadReportDue()
            | dispatch_models.PendingRequestDue()
        ):
            return _on_dispatch_timer(state, now, event)
        case _:
            return _on_feed(state, now, event)


def _on_dispatch_timer(
    state: core_state.State,
    now: float,
    event: dispatch_models.DispatchTimer,
) -> Effects:
    match event:
        case dispatch_models.DispatcherDue():
            return dispatchers.on_due(state, now, event)
        case dispatch_models.SamplerCheckDue():
            return sampler_assignment.on_due(state, now, event)
        case dispatch_models.ProbesDue():
            return sampling.on_due(state, now, event)
        case dispatch_models.LoadReportDue():
            return sampling.on_report_due(state, event)
        case dispatch_models.PendingRequestDue():
            return client.on_due(state, now, event)


def _on_feed(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    match event:
        case events.FeedAnswered():
            return reading.on_answer(state, now, event)
        case feed_models.FeedDue():
            return feed.on_due(state, now)
        case feed_models.RestOver():
            return reading.on_rest_over(state, event)
        case feed_models.ReaderLeft():
            return feed.on_reader_left(state, now)
        case events.RoutesAdopted():
            owners.clear_rankings(state)
            return dispatchers.start_owned(state, now)
        case events.TargetsChanged():
            return [
                *sampling.on_targets_changed(state, event),
                *dispatchers.on_targets_changed(state, now, event),
            ]
        case events.EntriesSeen():
            owners.clear_rankings(state)
            return dispatchers.on_entries(state, now)
        case events.StopDeadlinePassed():
            return lifecycle.on_stop_deadline(state, now)
        case events.PeerVersionHeard():
            return []
        case _:
            return [effects.Count("events.not_awaited")]


def on_message(
    state: core_state.State, now: float, event: events.PeerSpoke
) -> Effects | None:
    """Handle a message of another entry; None if it is something else."""
    for handle in (
        dispatchers.on_message,
        client.on_message,
        relaying.on_message,
    ):
        done = handle(state, now, event.peer, event.message)
        if done is not None:
            return done
    return None


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> Effects:
    """Begin to follow the routes."""
    del event
    return feed.on_started(state, now)


def on_stop(state: core_state.State, now: float) -> Effects:
    """Let others read the store, and exit once nothing is owed."""
    del now
    return [*relaying.on_stop(state), *lifecycle.exit_if_idle(state)]
