"""Dispatch of the events, timers and messages about poisonous requests."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.poison import evidence
from agateshelf.core.poison import models
from agateshelf.core.poison import replication
from agateshelf.core.poison import sends

Event = (
    models.PoisonTimer
    | events.TargetRefused
    | events.TargetSilent
    | events.AttemptAbandoned
    | events.PeerCrashesReported
)


def on_event(
    state: core_state.State, now: float, event: Event
) -> list[effects.Effect]:
    """Dispatch an event to the part that handles it."""
    match event:
        case models.TargetCheckDue():
            return evidence.on_check_due(state, now, event)
        case models.ReportsDue():
            return replication.on_reports_due(state, now)
        case events.TargetRefused():
            return evidence.on_refused(state, now, event.target)
        case events.TargetSilent():
            return evidence.on_silent(state, now, event.target)
        case events.AttemptAbandoned():
            return sends.on_abandoned(state, now, event)
        case events.PeerCrashesReported():
            return replication.on_peer_digest(state, now, event)
