"""Routes events, timers and messages about claims to their handlers."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.claims import appender
from agateshelf.core.claims import claiming
from agateshelf.core.claims import completions
from agateshelf.core.claims import messages
from agateshelf.core.claims import pauses

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
            return claiming.on_decided(state, now, event)
        case events.ClaimEnded():
            return completions.on_ended(state, now, event)
        case events.ClaimOverdue():
            return claiming.on_overdue(state, now, event)
        case events.ClaimShardDue():
            return appender.on_due(state, now, event)
        case events.PauseCheckDue():
            return pauses.on_check(state, now)


def on_message(
    state: core_state.State, now: float, peer: str, message: ClaimMessage
) -> list[effects.Effect]:
    """Handle another entry's message about claims."""
    match message:
        case messages.RecordsProposed():
            return claiming.on_peer_proposal(state, now, peer, message)
        case messages.RecordsDecided():
            return claiming.on_peer_decision(state, now, peer, message)
