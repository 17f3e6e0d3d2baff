"""Defers removals that may be registrations that expired during an outage.

During an outage of the store targets can't renew their registrations, so that
all of them may be reported as removed although they are running. Removals
that arrive shortly after an outage, or for many targets at once, are deferred
until the targets have had time to register again. None is deferred beyond the
time by which it has to be in force, which counts from when it was made.
"""

import math

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.directory import handling as directory
from agateshelf.core.directory import models as directory_models
from agateshelf.core.feed import const
from agateshelf.core.feed import models


def defer(
    state: core_state.State,
    now: float,
    items: list[directory_models.Item],
    made_after: float,
) -> tuple[list[directory_models.Item], list[effects.Effect]]:
    """Defer doubtful removals; return the items to adopt now, and log lines.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        items: Registrations and removals that were read.
        made_after: Earliest time at which they can have been made.
    """
    feed = state.feed
    for item in items:
        feed.deferred_removals.pop(item.id, None)
    until = _deferred_until(state, now, items, made_after)
    if until <= now:
        return items, []
    adopted: list[directory_models.Item] = []
    emitted: list[effects.Effect] = []
    for item in items:
        match item:
            case directory_models.Removal() if _may_have_expired(state, item):
                feed.deferred_removals[item.id] = models.DeferredRemoval(
                    item, until, made_after
                )
                emitted.append(_log_held(state, now, item, until))
            case _:
                adopted.append(item)
    if emitted:
        timers.schedule(state.timers, until, models.RemovalsDue())
    return adopted, emitted


def _log_held(
    state: core_state.State,
    now: float,
    removal: directory_models.Removal,
    until: float,
) -> effects.LogEvent:
    after_outage = now < state.feed.removal_grace_until
    return effects.LogEvent(
        "target.removal_held",
        details=(
            ("target", removal.id),
            ("revision", removal.revision),
            ("reason", "outage" if after_outage else "many"),
            ("seconds", round(until - now, 3)),
        ),
    )


def _may_have_expired(
    state: core_state.State, item: directory_models.Item
) -> bool:
    known = state.directory.targets.get(item.id)
    removed = isinstance(item, directory_models.Removal)
    return removed and known is not None and not known.draining


def _deferred_until(
    state: core_state.State,
    now: float,
    items: list[directory_models.Item],
    made_after: float,
) -> float:
    """Return the time until which removals are deferred; now for not at all.

    Few removals after an outage may as well be targets that leave, which must
    be known once the platform counts the store as stable again.
    """
    feed = state.feed
    are_many = _are_many(state, items)
    if now < feed.removal_grace_until:
        stable_at = feed.returned_after + const.STABLE_SECONDS
        in_force_by = stable_at - const.IN_FORCE_MARGIN_SECONDS
        latest = math.inf if are_many else in_force_by
        return min(feed.removal_grace_until, latest)
    if not are_many:
        return now
    in_force_by = (
        made_after + state.drain_seconds - const.IN_FORCE_MARGIN_SECONDS
    )
    return min(now + const.MASS_REMOVAL_DELAY_SECONDS, in_force_by)


def _are_many(
    state: core_state.State, items: list[directory_models.Item]
) -> bool:
    """Return whether so many targets are removed that they may have expired."""
    expired = sum(1 for item in items if _may_have_expired(state, item))
    known = len(state.directory.targets)
    return (
        expired >= const.MIN_MASS_REMOVALS
        and expired >= const.MASS_REMOVAL_SHARE * known
    )


def settled_revision(state: core_state.State) -> int:
    """Return the position up to which all removals are in force here.

    Whoever is told a later one while some are deferred would not ask for them.
    """
    held = state.feed.deferred_removals.values()
    return min(
        (deferred.removal.revision - 1 for deferred in held),
        default=state.directory.revision,
    )


def take_due(
    state: core_state.State, now: float
) -> tuple[list[directory_models.Item], float]:
    """Return the deferred removals that are due, and when they were made.

    The time is the earliest at which the oldest of them can have been made.

    Their revision is raised to the current one, since they take effect now.
    A removal is dropped if its target has registered again meanwhile, no
    matter whether the store or a peer reported it.
    """
    feed = state.feed
    due = [
        deferred
        for deferred in feed.deferred_removals.values()
        if deferred.until <= now + const.TIMER_TOLERANCE_SECONDS
    ]
    items: list[directory_models.Item] = []
    for deferred in due:
        removal = deferred.removal
        del feed.deferred_removals[removal.id]
        known = state.directory.targets.get(removal.id)
        latest = directory.known_revision(state.directory, removal.id)
        if known is None or latest > removal.revision:
            continue
        revision = max(removal.revision, state.directory.revision)
        items.append(directory_models.Removal(removal.id, revision))
    made_after = min((held.made_after for held in due), default=-math.inf)
    return items, made_after
