"""Dispatches the events and messages of an entry that follows routes."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.confirmation import handling as confirmation
from agateshelf.core.confirmation import models as confirmation_models
from agateshelf.core.dispatch import dispatchers
from agateshelf.core.dispatch import idle_connections
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import requester
from agateshelf.core.dispatch import sampler_assignment
from agateshelf.core.dispatch import sampling
from agateshelf.core.dispatch import slow_start
from agateshelf.core.feed import handling as feed
from agateshelf.core.feed import models as feed_models
from agateshelf.core.feed import proof
from agateshelf.core.feed import proof_requests
from agateshelf.core.feed import reading
from agateshelf.core.feed import relaying
from agateshelf.core.feed import startup
from agateshelf.core.forwarding import arrivals
from agateshelf.core.forwarding import completion
from agateshelf.core.forwarding import finishing
from agateshelf.core.forwarding import sending
from agateshelf.core.overload import delays
from agateshelf.core.overload import models as overload_models
from agateshelf.core.overload import relief
from agateshelf.core.poison import evidence
from agateshelf.core.poison import persistence
from agateshelf.core.quotas import handling as quotas
from agateshelf.core.quotas import models as quota_models
from agateshelf.core.quotas import replication as quota_replication
from agateshelf.core.reach import detection
from agateshelf.core.reach import models as reach_models
from agateshelf.core.reach import relays
from agateshelf.core.regions import lookup as regions
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import spreading
from agateshelf.core.target_notices import warmup_sources
from agateshelf.core.workspaces import lookup as workspaces

Effects = list[effects.Effect]


def on_event(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    """Dispatch an event to the part that handles it."""
    match event:
        case events.RequestArrived():
            return arrivals.on_request(state, now, event)
        case events.DispatchDecided():
            return sending.on_dispatch_decided(state, now, event)
        case quota_models.QuotaSettled():
            return arrivals.on_quota_settled(state, now, event)
        case quota_models.QuotaReplyDue() | quota_models.QuotaTickDue():
            return quotas.on_due(state, now, event)
        case events.TargetProbed():
            return [
                *detection.on_probed(state, now, event),
                *sampling.on_probed(state, now, event),
            ]
        case events.AttemptAnswered():
            return completion.on_answer(state, now, event)
        case events.AttemptFailed():
            return completion.on_failure(state, now, event)
        case events.StreamEnded():
            return completion.on_stream_end(state, now, event)
        case events.IdleConnectionsClosed():
            idle_connections.on_closed(state, event)
            return []
        case confirmation_models.ConfirmationDue():
            return confirmation.on_due(state, now)
        case confirmation_models.RoutesConfirmed():
            return confirmation.on_routes(state, now)
        case events.CallerDisconnected():
            confirmation.forget(state, event.call)
            return finishing.on_caller_disconnected(state, now, event)
        case events.DeadlinePassed():
            return finishing.on_deadline(state, now, event)
        case (
            dispatch_models.DispatcherDue()
            | dispatch_models.SamplerCheckDue()
            | dispatch_models.ProbesDue()
            | dispatch_models.LoadReportDue()
            | dispatch_models.PendingRequestDue()
        ):
            return _on_dispatch_timer(state, now, event)
        case _:
            return _on_less_frequent(state, now, event)


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
            return requester.on_due(state, now, event)


def _on_less_frequent(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    match event:
        case events.LoopDelayed() | overload_models.OverloadCheckDue():
            return delays.on_event(state, now, event)
        case (
            events.FeedAnswered()
            | feed_models.FeedDue()
            | feed_models.TakeoverDue()
            | feed_models.RemovalsDue()
            | feed_models.WatchResumeDue()
            | feed_models.ReaderResigned()
            | feed_models.TargetsReadWanted()
            | feed_models.OwnReadWanted()
            | feed_models.StartupDue()
        ):
            return _on_feed_event(state, now, event)
        case events.StoreRestored():
            return persistence.on_store_restored(state, now)
        case events.StoreAnswered():
            return _on_store_answer(state, now, event)
        case reach_models.SilenceDue():
            return detection.on_silence_due(state, now, event)
        case reach_models.RecheckDue():
            return detection.on_recheck_due(state, now, event)
        case events.ReachJudged():
            return [
                *evidence.on_reach_judged(state, now, event),
                *completion.on_reach_judged(state, now, event),
            ]
        case events.RoutesAdopted():
            owners.clear_rankings(state)
            owners.update_pools(state)
            return [
                *warmup_sources.on_routes(state, now),
                *workspaces.on_routes_adopted(state),
                *regions.on_routes_adopted(state),
                *finishing.on_routes_adopted(state, now),
                *quota_replication.on_routes(state, now),
                *proof_requests.on_changed(state, now),
                *dispatchers.start_owned(state, now),
                *confirmation.on_routes(state, now),
            ]
        case events.EvacuationsChanged():
            return dispatchers.on_evacuations(state, now, event)
        case events.Suspended():
            return proof.on_suspended(state, event.seconds)
        case events.TargetsChanged():
            notice_records.on_targets_changed(state, event)
            regions.on_targets_changed(state, event)
            return [
                *warmup_sources.on_targets_changed(state, now, event.targets),
                *completion.on_targets_changed(state, event),
                *evidence.on_targets_changed(state, now, event),
                *sampling.on_targets_changed(state, event),
                *dispatchers.on_targets_changed(state, now, event),
            ]
        case events.LiveEntriesChanged():
            owners.clear_rankings(state)
            relays.on_entries(state)
            relief.on_entries(state)
            return [
                *proof_requests.on_changed(state, now),
                *spreading.on_entries(state, now),
                *dispatchers.on_entries(state, now),
            ]
        case events.CrashesChanged():
            return [
                *finishing.on_crashes_changed(state, now, event),
                *persistence.on_crashes_changed(state, now, event.fingerprint),
            ]
        case events.StopDeadlinePassed():
            return finishing.on_stop_deadline(state, now)
        case events.PeerVersionReported():
            return []
        case _:
            return [effects.Count("events.not_awaited")]


def _on_feed_event(
    state: core_state.State,
    now: float,
    event: events.FeedAnswered
    | feed_models.FeedDue
    | feed_models.TakeoverDue
    | feed_models.RemovalsDue
    | feed_models.WatchResumeDue
    | feed_models.ReaderResigned
    | feed_models.TargetsReadWanted
    | feed_models.OwnReadWanted
    | feed_models.StartupDue,
) -> Effects:
    match event:
        case events.FeedAnswered():
            return reading.on_answer(state, now, event)
        case feed_models.FeedDue():
            return [
                *feed.on_due(state, now),
                *persistence.on_due(state, now),
            ]
        case feed_models.RemovalsDue():
            return feed.on_removals_due(state, now)
        case feed_models.WatchResumeDue():
            return reading.on_watch_resume_due(state, now, event)
        case feed_models.ReaderResigned() | feed_models.TakeoverDue():
            return feed.on_reader_resigned(state, now)
        case feed_models.TargetsReadWanted():
            return reading.on_targets_read_wanted(state, now)
        case feed_models.OwnReadWanted():
            return proof_requests.read_store(state, now)
        case feed_models.StartupDue():
            return startup.on_due(state, now, event)


def _on_store_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> Effects:
    emitted = persistence.on_answer(state, now, event)
    if emitted is None:
        return [effects.Count("events.not_awaited")]
    return emitted


def on_message(
    state: core_state.State, now: float, event: events.PeerMessageReceived
) -> Effects | None:
    """Dispatch a message of another entry; return None if none handles it."""
    for handle in (
        dispatchers.on_message,
        requester.on_message,
        quotas.on_message,
        relaying.on_message,
        spreading.on_message,
        relays.on_message,
    ):
        emitted = handle(state, now, event.peer, event.message)
        if emitted is not None:
            return emitted
    return None


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> Effects:
    """Start to follow routes and registrations."""
    slow_start.on_started(state, now)
    return [
        *quotas.on_started(state, now, event.incarnation),
        *feed.on_started(state, now),
        *persistence.on_started(state),
    ]


def on_stop(state: core_state.State, now: float) -> Effects:
    """Hand over the role of the reader, and exit once no calls are left."""
    return [
        *relaying.on_stop(state),
        *quotas.on_stop(state, now),
        *finishing.exit_if_idle(state),
    ]
