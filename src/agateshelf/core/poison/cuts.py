"""Tracks lost connections until they are confirmed as crashes of a target."""

from collections import abc

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import models
from agateshelf.core.poison import suspects


def keep(state: core_state.State, cut: models.Cut) -> None:
    """Record a lost connection that may have been a crash."""
    state.poison.cuts.append(cut)
    if len(state.poison.cuts) > const.MAX_CUTS:
        state.poison.cuts.popleft()


def drop_of(state: core_state.State, fingerprint: bytes) -> None:
    """Drop the lost connections of a request that got a response."""
    drop(state.poison, lambda cut: cut.fingerprint == fingerprint)


def drop(
    poison: models.PoisonState, matches: abc.Callable[[models.Cut], bool]
) -> list[models.Cut]:
    """Drop the lost connections that match, and return them."""
    if not poison.cuts:
        return []
    found = [cut for cut in poison.cuts if matches(cut)]
    if found:
        kept = [cut for cut in poison.cuts if not matches(cut)]
        poison.cuts.clear()
        poison.cuts.extend(kept)
    return found


def on_refused(
    state: core_state.State, now: float, event: events.TargetRefused
) -> list[effects.Effect]:
    """Treat a target that refuses connections as crashed."""
    return confirm(state, now, event.target, const.CONFIRM_SECONDS)


def confirm(
    state: core_state.State, now: float, target: str, within: float
) -> list[effects.Effect]:
    """Count the recent lost connections to a crashed target as crashes."""
    oldest = now - const.CONFIRM_SECONDS
    drop(state.poison, lambda cut: cut.at < oldest)
    done: list[effects.Effect] = []
    for cut in drop(
        state.poison,
        lambda cut: cut.target == target and now - cut.at <= within,
    ):
        done.extend(count(state, now, cut))
    return done


def count(
    state: core_state.State, now: float, cut: models.Cut
) -> list[effects.Effect]:
    """Count a lost connection as a crash and notify the other entries."""
    suspects.add(state, now, cut.fingerprint, cut.crash)
    message = messages.CrashSeen(cut.fingerprint, cut.crash)
    done: list[effects.Effect] = [effects.Count("poison.crashes")]
    done.extend(suspects.tell(state, now, message))
    return done
