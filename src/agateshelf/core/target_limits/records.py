"""What targets said of their limits, and who has been told.

An entry hears of a limit with an answer and tells the owner that granted the
send with the end of that send, at no further message. An owner that has just
taken over is told with the first request that it gets from an entry that knows
a limit, so that it knows it before it grants that request a target. The latest
statement of a target holds, whichever way it came.
"""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.target_limits import const
from agateshelf.core.target_limits import models

Effects = list[effects.Effect]


def active_rate(state: core_state.State, target: str) -> float | None:
    """Return the rate that a target names; None if it names none."""
    record = state.target_limits.records.get(target)
    return None if record is None else record.rate


def on_answer(
    state: core_state.State,
    now: float,
    target: str,
    event: events.AttemptAnswered,
) -> Effects:
    """Record what an answer says of its target's limit.

    A target that no longer names its limit has none. An invalid value says
    nothing.
    """
    if event.invalid_limit:
        return _log(
            state,
            now,
            "limit.invalid",
            target,
            ("value", event.invalid_limit[: const.MAX_LOGGED_CHARACTERS]),
        )
    known = state.target_limits.records.get(target)
    if event.limit is None and known is None:
        return []
    before = active_rate(state, target)
    if not merge(state, now, models.NamedLimit(target, event.limit)):
        return []
    if event.limit == before:
        return []
    name = "limit.lifted" if event.limit is None else "limit.named"
    return _log(
        state, now, name, target, ("rate", event.limit), ("before", before)
    )


def _log(
    state: core_state.State,
    now: float,
    name: str,
    target: str,
    *details: tuple[str, str | float | None],
) -> Effects:
    """Count a statement, and log it unless that target's was just logged."""
    logged_at = state.target_limits.logged_at
    if now - logged_at.get(target, -math.inf) < const.LOG_INTERVAL_SECONDS:
        return [effects.Count(name)]
    if len(logged_at) >= const.MAX_LOGGED_TARGETS:
        logged_at.clear()
    logged_at[target] = now
    details = (("target", target), *details)
    return [effects.Count(name), effects.LogEvent(name, details=details)]


def merge(
    state: core_state.State, now: float, limit: models.NamedLimit
) -> bool:
    """Record a statement unless a later one is known; return whether it was.

    Statements on targets that aren't registered are dropped.
    """
    registration = state.directory.targets.get(limit.target)
    if registration is None or not _is_valid(limit):
        return False
    records = state.target_limits.records
    heard_at = now - limit.age
    known = records.get(limit.target)
    if known is None:
        records[limit.target] = models.Record(
            limit.rate, heard_at, registration.born
        )
        return True
    if heard_at < known.heard_at:
        return False
    if limit.rate != known.rate:
        known.told.clear()
    known.rate = limit.rate
    known.heard_at = heard_at
    return True


def _is_valid(limit: models.NamedLimit) -> bool:
    if not (math.isfinite(limit.age) and limit.age >= 0):
        return False
    return limit.rate is None or (math.isfinite(limit.rate) and limit.rate >= 0)


def statement_of(
    state: core_state.State, now: float, target: str
) -> models.NamedLimit | None:
    """Return what is known of a target's limit, to be told; None if nothing."""
    record = state.target_limits.records.get(target)
    if record is None:
        return None
    return models.NamedLimit(target, record.rate, now - record.heard_at)


def take_untold(
    state: core_state.State, now: float, owner: str, service: str
) -> tuple[models.NamedLimit, ...]:
    """Return the limits that an owner was not told of; it is told from now on.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        owner: The owner.
        service: Service whose targets' limits are returned.
    """
    if owner == state.identity.entry:
        return ()
    untold = []
    for target, record in state.target_limits.records.items():
        if record.rate is None or owner in record.told:
            continue
        registration = state.directory.targets.get(target)
        if registration is None or registration.service != service:
            continue
        record.told.add(owner)
        untold.append(
            models.NamedLimit(target, record.rate, now - record.heard_at)
        )
    return tuple(untold)


def mark_told(state: core_state.State, owner: str, target: str) -> None:
    """Note that an owner knows a target's limit."""
    record = state.target_limits.records.get(target)
    if record is not None:
        record.told.add(owner)


def mark_untold(state: core_state.State, owner: str) -> None:
    """Note that an owner knows nothing, as after its restart."""
    for record in state.target_limits.records.values():
        record.told.discard(owner)


def on_targets_changed(
    state: core_state.State, event: events.TargetsChanged
) -> None:
    """Forget the limits of targets that are gone or have started again."""
    limits = state.target_limits
    if not limits.records:
        return
    for target in event.targets:
        record = limits.records.get(target)
        registration = state.directory.targets.get(target)
        if record is None:
            continue
        if registration is None or registration.born != record.born:
            del limits.records[target]
            limits.own_paces.pop(target, None)


def on_entries(
    state: core_state.State, event: events.LiveEntriesChanged
) -> None:
    """Forget what entries that are gone were told."""
    live = {entry.id for entry in event.entries}
    for record in state.target_limits.records.values():
        record.told &= live
