"""Tracks lost connections until they are confirmed as crashes of a target."""

from collections import abc

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import models
from agateshelf.core.poison import suspects


def add(state: core_state.State, lost: models.LostConnection) -> None:
    """Record a lost connection that may have been a crash."""
    state.poison.lost_connections.append(lost)
    if len(state.poison.lost_connections) > const.MAX_LOST_CONNECTIONS:
        state.poison.lost_connections.popleft()


def drop_request(state: core_state.State, fingerprint: bytes) -> None:
    """Drop the lost connections of a request that got a response."""
    drop(state.poison, lambda lost: lost.fingerprint == fingerprint)


def drop(
    poison: models.PoisonState,
    matches: abc.Callable[[models.LostConnection], bool],
) -> list[models.LostConnection]:
    """Drop the lost connections that match, and return them."""
    if not poison.lost_connections:
        return []
    found = [lost for lost in poison.lost_connections if matches(lost)]
    if found:
        kept = [lost for lost in poison.lost_connections if not matches(lost)]
        poison.lost_connections.clear()
        poison.lost_connections.extend(kept)
    return found


def on_target_refused(
    state: core_state.State, now: float, event: events.TargetRefused
) -> list[effects.Effect]:
    """Treat a target that refuses connections as crashed."""
    return confirm(state, now, event.target, const.CONFIRM_SECONDS)


def confirm(
    state: core_state.State, now: float, target: str, within: float
) -> list[effects.Effect]:
    """Count the recent lost connections to a crashed target as crashes."""
    oldest = now - const.CONFIRM_SECONDS
    drop(state.poison, lambda lost: lost.lost_at < oldest)
    emitted: list[effects.Effect] = []
    for lost in drop(
        state.poison,
        lambda lost: lost.target == target and now - lost.lost_at <= within,
    ):
        emitted.extend(count_crash(state, now, lost))
    return emitted


def count_crash(
    state: core_state.State, now: float, lost: models.LostConnection
) -> list[effects.Effect]:
    """Count a lost connection as a crash and notify the other entries."""
    suspects.add_crash(state, now, lost.fingerprint, lost.crash)
    message = messages.CrashSeen(lost.fingerprint, lost.crash)
    emitted: list[effects.Effect] = [
        effects.Count("poison.crashes"),
        suspects.log_event_of(
            state, now, "crash.counted", lost.fingerprint, lost.crash
        ),
    ]
    emitted.extend(suspects.broadcast(state, now, message))
    return emitted
