"""Learns that targets are cold: from registrations, probes and their silence.

A registration says for how long its target was still cold when it was written.
It may arrive late, so the longer time holds until an answer to a probe, or a
later registration, says that the target is warm. A target that doesn't answer
may have started again meanwhile, so it counts as cold until an answer tells.
"""

from collections import abc
import math

import msgspec

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.directory import renewals
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models
from agateshelf.core.target_notices import records
from agateshelf.core.target_notices import warmups

Effects = list[effects.Effect]


def on_routes(state: core_state.State, now: float) -> Effects:
    """Apply the warm-ups of the routes in force to all registrations."""
    if state.target_notices.records:
        state.target_notices.changes += 1
    return on_targets_changed(state, now, list(state.directory.targets))


def on_targets_changed(
    state: core_state.State, now: float, targets: abc.Iterable[str]
) -> Effects:
    """Record for how long registrations say that their targets are cold."""
    table = state.routes.table
    if table is None or not table.warmups:
        return []
    emitted: Effects = []
    for target in targets:
        if warmups.warmup_of(state, target) is not None:
            emitted.extend(_on_registration(state, now, target))
    return emitted


def _on_registration(
    state: core_state.State, now: float, target: str
) -> Effects:
    registration = state.directory.targets[target]
    emitted: Effects = []
    seconds = renewals.warmup_left(state.directory, now, registration)
    if not _is_valid(seconds):
        emitted.extend(_log_invalid(state, now, target, seconds))
        seconds = 0.0
    known = state.target_notices.records
    record = known.get(target)
    if seconds <= 0:
        if record is not None and record.cold_by_registration:
            record.cold_by_registration = False
            if record.cold_until > now:
                record.cold_until = now
                records.note_change(state, record)
                emitted.extend(_log_warm(state, now, target, "registration"))
        return emitted
    if record is None:
        record = known[target] = models.Record(registration.born or 0)
    was_cold = record.cold_until > now
    before = record.cold_until
    is_news = warmups.extend(record, now, seconds, now)
    record.cold_by_registration |= record.cold_until > before
    if is_news:
        records.note_change(state, record)
    if not was_cold:
        emitted.extend(_log_cold(state, now, target, "registration"))
    return emitted


def on_probe(
    state: core_state.State, now: float, event: events.TargetProbed
) -> Effects:
    """Record whether the answer to a probe says that its target is cold."""
    if event.cold is None or warmups.warmup_of(state, event.target) is None:
        return []
    emitted: Effects = []
    if not _is_valid(event.cold):
        emitted.extend(_log_invalid(state, now, event.target, event.cold))
    was_cold = warmups.active_rate(state, now, event.target) is not None
    records.merge(state, now, _statement(state, now, event))
    is_cold = warmups.active_rate(state, now, event.target) is not None
    if is_cold and not was_cold:
        emitted.extend(_log_cold(state, now, event.target, "probe"))
    if was_cold and not is_cold:
        emitted.extend(_log_warm(state, now, event.target, "probe"))
    return emitted


def _statement(
    state: core_state.State, now: float, event: events.TargetProbed
) -> models.Notice:
    """Return a notice of what an answer says, and else of what is known."""
    cold = event.cold or 0.0
    if not _is_valid(cold):
        cold = 0.0
    known = records.statement_of(state, now, event.target)
    if known is None:
        known = models.Notice(event.target, None, const.NEVER_HEARD_SECONDS)
    return msgspec.structs.replace(known, cold=cold, cold_age=0.0)


def take_due(
    state: core_state.State,
    now: float,
    told: dict[str, tuple[float, float]],
    event: events.TargetProbed,
) -> models.Notice | None:
    """Return what a sampler is to tell of a probe's answer, if anything.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        told: What it told last: until when the target is cold, minus infinity
            if it was warm, and when that was told.
        event: End of the probe.
    """
    if warmups.warmup_of(state, event.target) is None:
        return None
    if event.cold is None:
        if not event.reached:
            told.pop(event.target, None)
        return None
    is_cold = event.cold > 0 and _is_valid(event.cold)
    cold_until = now + event.cold if is_cold else -math.inf
    before, told_at = told.get(event.target, (-math.inf, -math.inf))
    is_news = is_cold is not math.isfinite(before)
    is_longer = cold_until > before + const.COLD_REPORT_TOLERANCE_SECONDS
    is_due = now - told_at >= const.REPEAT_COLD_SECONDS
    if not (is_news or is_longer or is_due):
        return None
    told[event.target] = (cold_until, now)
    return _statement(state, now, event)


def assume_cold(state: core_state.State, now: float, target: str) -> Effects:
    """Note that a target may have become cold unseen.

    It counts as cold until the next answer to a probe tells, or for the warm-up
    of its service.
    """
    warmup = warmups.warmup_of(state, target)
    if warmup is None:
        return []
    known = state.target_notices.records
    record = known.get(target)
    if record is None:
        born = state.directory.targets[target].born or 0
        record = known[target] = models.Record(born)
    was_cold = record.cold_until > now
    seconds = min(warmup.seconds, const.MAX_WARMUP_SECONDS)
    if warmups.extend(record, now, seconds, now):
        records.note_change(state, record)
    if was_cold:
        return []
    return _log_cold(state, now, target, "unreachable")


def _is_valid(seconds: float) -> bool:
    return 0 <= seconds <= const.MAX_WARMUP_SECONDS


def _log_invalid(
    state: core_state.State, now: float, target: str, seconds: float
) -> Effects:
    details = ("seconds", seconds)
    return records.log(state, now, "warmup.invalid", target, details)


def _log_cold(
    state: core_state.State, now: float, target: str, source: str
) -> Effects:
    """Log a cold target, where that matters: at its owner and its sampler."""
    if not _is_concerned(state, target, source):
        return []
    record = state.target_notices.records[target]
    details = (
        ("seconds", round(record.cold_until - now, 3)),
        ("source", source),
    )
    return records.log(state, now, "target.cold", target, *details)


def _log_warm(
    state: core_state.State, now: float, target: str, source: str
) -> Effects:
    if not _is_concerned(state, target, source):
        return []
    return records.log(state, now, "target.warm", target, ("source", source))


def _is_concerned(state: core_state.State, target: str, source: str) -> bool:
    if source != "registration":
        return True
    registration = state.directory.targets[target]
    return owners.is_owner(state, pools.pool_of(state, registration))
