"""Dispatches events, store answers and peer messages to the handlers."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import adoption
from agateshelf.core.configuration import lookups
from agateshelf.core.configuration import messages
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import patching
from agateshelf.core.configuration import replication
from agateshelf.core.configuration import store_sync
from agateshelf.core.configuration import surveying
from agateshelf.core.membership import models as membership_models
from agateshelf.core.peers import models as peer_models

_LOOKUP_STEPS = (patch_models.Step.LOOK_UP, patch_models.Step.SCAN_HISTORY)


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> list[effects.Effect]:
    """Start reading the configuration from the store, if there is one."""
    state.configuration.has_store = event.has_store
    if event.has_store:
        store_sync.start(state, now)
    return []


def on_adopted(state: core_state.State, now: float) -> list[effects.Effect]:
    """Record the newly active version, announce it and look for newer ones."""
    adoption.on_adopted(state)
    announced = replication.announce(state)
    return [*announced, *replication.pull_if_behind(state, now)]


def on_not_adopted(
    state: core_state.State, version: int
) -> list[effects.Effect]:
    """Discard content validated after a newer version became active."""
    state.configuration.validating.pop(version, None)
    return []


def on_event(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    """Handle an event of the configuration; count any other as unexpected."""
    match event:
        case events.PeerVersionReported():
            return replication.on_version_reported(
                state, now, event.peer, event.version
            )
        case events.ConfigurationInvalid():
            return adoption.on_invalid(state, now, event)
        case events.PatchRequested():
            return patching.on_requested(state, now, event)
        case events.RepublishRequested():
            return patching.on_republish(state, now, event)
        case events.PatchLookupRequested():
            return lookups.on_lookup(state, now, event)
        case events.HistoryRequested():
            return lookups.on_history(state, now, event)
        case events.SurveyRequested():
            return surveying.on_requested(state, now, event)
        case _:
            return _on_timer(state, now, event)


def _on_timer(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    match event:
        case models.StoreReadDue():
            return store_sync.on_due(state, now, event)
        case models.PullDue():
            return replication.on_pull_timeout(state, now, event)
        case models.PatchStepDue():
            return _retry_step(state, event.operation)
        case models.PatchAnswerDue():
            return _on_answer_due(state, now, event.operation)
        case models.SurveyDue():
            return surveying.on_due(state, now, event)
        case _:
            return [effects.Count("events.not_awaited")]


def _retry_step(
    state: core_state.State, operation: int
) -> list[effects.Effect]:
    run = state.configuration.runs.get(operation)
    if run is None:
        return []
    if run.step in _LOOKUP_STEPS:
        return lookups.send_step(state, run)
    return patching.send_step(state, run)


def _on_answer_due(
    state: core_state.State, now: float, operation: int
) -> list[effects.Effect]:
    run = state.configuration.runs.get(operation)
    if run is None:
        return []
    if run.step in _LOOKUP_STEPS:
        return lookups.on_answer_due(state, run)
    return patching.on_answer_due(state, now, run)


def on_store_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> list[effects.Effect] | None:
    """Handle a store answer; None if the request is of another package."""
    cfg = state.configuration
    if event.request == cfg.head_request:
        return store_sync.on_answer(state, now, event.answer)
    if cfg.store_read is not None and event.request in cfg.store_read.requested:
        return store_sync.on_part(state, now, event.request, event.answer)
    operation = cfg.run_requests.pop(event.request, None)
    if operation is None:
        return None
    run = cfg.runs.get(operation)
    if run is None:
        return []
    run.request = None
    if run.step in _LOOKUP_STEPS:
        return lookups.on_answer(state, now, run, event.answer)
    return patching.on_answer(state, now, run, event.answer)


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> list[effects.Effect] | None:
    """Handle a message of a peer; None if it belongs to another package."""
    match message:
        case messages.VersionAnnouncement():
            return replication.on_version_reported(
                state, now, peer, message.version
            )
        case messages.ContentRequest():
            return replication.on_content_request(state, now, peer, message)
        case messages.ContentChunk():
            return replication.on_chunk(state, now, peer, message)
        case messages.VersionRequest():
            return surveying.on_version_request(state, peer, message)
        case messages.VersionResponse():
            return surveying.on_version_response(state, peer, message)
        case _:
            return None


def forget_entries(state: core_state.State) -> None:
    """Remove the known versions of entries that left the membership."""
    gone = [
        entry
        for entry, member in state.membership.members.items()
        if member.status is membership_models.Status.GONE
    ]
    for entry in gone:
        state.configuration.peer_versions.pop(entry, None)
