"""The events that configuration handles."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import adoption
from agateshelf.core.configuration import following
from agateshelf.core.configuration import lookups
from agateshelf.core.configuration import messages
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import patching
from agateshelf.core.configuration import spreading
from agateshelf.core.configuration import surveying
from agateshelf.core.membership import models as membership_models
from agateshelf.core.peers import models as peer_models

_LOOKUP_STEPS = (patch_models.Step.LOOK_UP, patch_models.Step.SCAN_HISTORY)


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> list[effects.Effect]:
    """Begin to follow the store, if there is one."""
    state.configuration.has_store = event.has_store
    if event.has_store:
        following.begin(state, now)
    return []


def on_adopted(state: core_state.State, now: float) -> list[effects.Effect]:
    """Keep the version now in force and tell others of it."""
    adoption.on_adopted(state)
    announced = spreading.announce(state)
    return [*announced, *spreading.pull_if_behind(state, now)]


def on_not_adopted(
    state: core_state.State, version: int
) -> list[effects.Effect]:
    """Forget a content that was checked too late to come into force."""
    state.configuration.checking.pop(version, None)
    return []


def on_event(
    state: core_state.State, now: float, event: events.Event
) -> list[effects.Effect]:
    """Handle an event that no other part handles."""
    match event:
        case events.PeerVersionReported():
            return spreading.on_heard(state, now, event.peer, event.version)
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
            return following.on_due(state, now, event)
        case models.PullDue():
            return spreading.on_pull_due(state, now, event)
        case models.PatchStepDue():
            return _send_again(state, event.operation)
        case models.PatchAnswerDue():
            return _on_answer_due(state, now, event.operation)
        case models.SurveyDue():
            return surveying.on_due(state, now, event)
        case _:
            return [effects.Count("events.not_awaited")]


def _send_again(
    state: core_state.State, operation: int
) -> list[effects.Effect]:
    run = state.configuration.patches.get(operation)
    if run is None:
        return []
    if run.step in _LOOKUP_STEPS:
        return lookups.send_step(state, run)
    return patching.send_step(state, run)


def _on_answer_due(
    state: core_state.State, now: float, operation: int
) -> list[effects.Effect]:
    run = state.configuration.patches.get(operation)
    if run is None:
        return []
    if run.step in _LOOKUP_STEPS:
        return lookups.on_answer_due(state, run)
    return patching.on_answer_due(state, now, run)


def on_store_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> list[effects.Effect] | None:
    """Handle a store's answer, or return None if it is not for this part."""
    cfg = state.configuration
    if event.request == cfg.follow_request:
        return following.on_answer(state, now, event.answer)
    if cfg.store_read is not None and event.request in cfg.store_read.asked:
        return following.on_part(state, now, event.request, event.answer)
    operation = cfg.requests.pop(event.request, None)
    if operation is None:
        return None
    run = cfg.patches.get(operation)
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
    """Handle a message, or return None if it is not for this part."""
    match message:
        case messages.Announce():
            return spreading.on_heard(state, now, peer, message.version)
        case messages.PullContent():
            return spreading.on_pull(state, now, peer, message)
        case messages.ContentChunk():
            return spreading.on_chunk(state, now, peer, message)
        case messages.AskVersion():
            return surveying.on_asked(state, peer, message)
        case messages.TellVersion():
            return surveying.on_told(state, peer, message)
        case _:
            return None


def forget_entries(state: core_state.State) -> None:
    """Forget what was heard from entries that are gone."""
    gone = [
        entry
        for entry, member in state.membership.members.items()
        if member.status is membership_models.Status.GONE
    ]
    for entry in gone:
        state.configuration.heard.pop(entry, None)
