"""Dispatch of the events, timers and messages that concern claims."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.claims import completions
from agateshelf.core.claims import messages
from agateshelf.core.claims import pauses
from agateshelf.core.claims import requests
from agateshelf.core.claims import shards

ClaimEvent = (
    events.ClaimDecided
    | events.ClaimEnded
    | events.ClaimOverdue
    | events.ClaimShardDue
    | events.PauseCheckDue
)
ClaimMessage = messages.RecordsProposed | messages.RecordsDecided


def on_event(
    state: core_state.State, now: float, event: ClaimEvent
) -> list[effects.Effect]:
    """Handle an internal event or a timer of claims."""
    match event:
        case events.ClaimDecided():
            return requests.on_decided(state, now, event)
        case events.ClaimEnded():
            return completions.on_ended(state, now, event)
        case events.ClaimOverdue():
            return requests.on_overdue(state, now, event)
        case events.ClaimShardDue():
            return shards.on_due(state, now, event)
        case events.PauseCheckDue():
            return pauses.on_check(state, now)


def on_message(
    state: core_state.State, now: float, peer: str, message: ClaimMessage
) -> list[effects.Effect]:
    """Handle another entry's message about claims."""
    match message:
        case messages.RecordsProposed():
            return requests.on_peer_proposal(state, now, peer, message)
        case messages.RecordsDecided():
            return requests.on_peer_decision(state, now, peer, message)
