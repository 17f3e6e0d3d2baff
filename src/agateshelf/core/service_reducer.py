"""Dispatches the events and messages of an entry that serves services."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.calls import completion
from agateshelf.core.calls import lifecycle
from agateshelf.core.claims import appender as claim_appender
from agateshelf.core.claims import completions as claim_completions
from agateshelf.core.claims import handling as claim_handling
from agateshelf.core.claims import messages as claim_messages
from agateshelf.core.claims import owners as claim_owners
from agateshelf.core.claims import pauses as claim_pauses
from agateshelf.core.configuration import handling as configuration
from agateshelf.core.hedging import policy as hedging
from agateshelf.core.limits import admission
from agateshelf.core.limits import lending
from agateshelf.core.routing import grants
from agateshelf.core.routing import groups
from agateshelf.core.routing import placing

Effects = list[effects.Effect]


def on_event(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    """Dispatch an event to the part that handles it."""
    match event:
        case events.RequestArrived():
            return lifecycle.on_request(state, now, event)
        case events.CallAdmitted():
            return lifecycle.on_admitted(state, now, event)
        case events.CallReady():
            return lifecycle.on_ready(state, now, event)
        case events.TargetChosen():
            return lifecycle.on_target_chosen(state, now, event)
        case events.AttemptAnswered():
            return completion.on_answer(state, now, event)
        case events.PlacementEnded():
            return grants.on_placement_ended(state, now, event)
        case events.HedgeDue():
            return hedging.on_due(state, now, event)
        case events.TargetRequestOverdue():
            return placing.on_overdue(state, now, event)
        case events.DeadlinePassed():
            return lifecycle.on_deadline(state, event)
        case events.AttemptFailed():
            return completion.on_failure(state, now, event)
        case events.StreamEnded():
            return completion.on_stream_end(state, now, event)
        case events.CallerDisconnected():
            return lifecycle.on_caller_disconnected(state, event)
        case _:
            return _on_less_frequent(state, now, event)


def _on_less_frequent(
    state: core_state.State, now: float, event: events.Event
) -> Effects:
    """Dispatch an event that does not occur for every call."""
    match event:
        case events.ConfigurationRead():
            claim_pauses.start(state, now)
            return _adopt(state, now, event)
        case events.StopDeadlinePassed():
            return lifecycle.on_stop_deadline(state)
        case events.CallRejected():
            return lifecycle.on_rejected(state, event)
        case events.CallReplayed():
            return lifecycle.on_replayed(state, event)
        case events.ClaimsSettled():
            return lifecycle.exit_if_idle(state)
        case events.SlotFreed():
            return admission.on_slot_freed(state, now, event)
        case events.RateLoansDue():
            return lending.on_due(state, now)
        case events.QueueTimeoutPassed():
            return admission.on_queue_timeout(state, now, event)
        case (
            events.ClaimDecided()
            | events.ClaimEnded()
            | events.ClaimOverdue()
            | events.ClaimShardDue()
            | events.PauseCheckDue()
        ):
            return claim_handling.on_event(state, now, event)
        case events.StoreAnswered():
            return _on_store_answer(state, now, event)
        case events.CrashesChanged():
            return lifecycle.on_crashes_changed(state, now, event)
        case events.LiveEntriesChanged():
            return _on_entries(state, now, event)
        case _:
            return configuration.on_event(state, now, event)


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> Effects:
    """Start to follow the configuration."""
    return configuration.on_started(state, now, event)


def _on_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> Effects:
    admission.adopt_entries(state, now, event)
    claim_owners.adopt_entries(state, event)
    groups.adopt_entries(state, now, event)
    grants.forget_entries(state, now)
    configuration.forget_entries(state)
    return []


def _on_store_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> Effects:
    if event.request in state.claims.store_requests:
        return claim_appender.on_store_answer(state, now, event)
    emitted = configuration.on_store_answer(state, now, event)
    if emitted is not None:
        return emitted
    return [effects.Count("events.not_awaited")]


def on_message(
    state: core_state.State, now: float, event: events.PeerMessageReceived
) -> Effects | None:
    """Dispatch a message of another entry; return None if none handles it."""
    emitted = grants.on_message(state, now, event.peer, event.message)
    if emitted is not None:
        return emitted
    match event.message:
        case (
            claim_messages.RecordsProposed() | claim_messages.RecordsDecided()
        ) as message:
            return claim_handling.on_message(state, now, event.peer, message)
        case _:
            pass
    emitted = lending.on_message(state, now, event)
    if emitted is not None:
        return emitted
    return configuration.on_message(state, now, event.peer, event.message)


def _adopt(
    state: core_state.State, now: float, event: events.ConfigurationRead
) -> Effects:
    if event.configuration.version <= state.cfg.version:
        return configuration.on_not_adopted(state, event.configuration.version)
    state.cfg = event.configuration
    state.version = state.cfg.version
    groups.adopt_configuration(state.routing, state.cfg, now)
    admission.adopt_configuration(state, now)
    return [
        effects.Count("configuration.adopted"),
        *configuration.on_adopted(state, now),
    ]


def on_stop(state: core_state.State, now: float) -> Effects:
    """Record the ends of claims, and exit once no calls or claims are left."""
    return [
        *claim_completions.on_stop(state, now),
        *lifecycle.exit_if_idle(state),
    ]
