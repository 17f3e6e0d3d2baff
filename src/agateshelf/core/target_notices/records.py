"""What targets said of themselves, as this entry knows it.

Of a target's limit the latest statement holds, whichever way it came. A target
that is leaving stays so, and a pause lasts until its latest end, whatever later
answers or registrations say. Only a later process of the target starts anew.
What is known of its warm-up is in `warmups` and `warmup_sources`.
"""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models
from agateshelf.core.target_notices import warmups

Effects = list[effects.Effect]


def named_rate(state: core_state.State, target: str) -> float | None:
    """Return the rate that a target names, raised to the lowest one in use.

    It is None if the target names none.
    """
    record = state.target_notices.records.get(target)
    if record is None or record.rate is None:
        return None
    return max(record.rate, const.MIN_RATE)


def active_rate(
    state: core_state.State, now: float, target: str
) -> float | None:
    """Return the requests a second that a target takes; None for any number.

    It is the smaller of the rate that it names and of its warm-up rate.
    """
    named = named_rate(state, target)
    cold = warmups.active_rate(state, now, target)
    if named is None or cold is None:
        return cold if named is None else named
    return min(named, cold)


def is_leaving(state: core_state.State, target: str) -> bool:
    """Return whether a target has said that it is leaving."""
    record = state.target_notices.records.get(target)
    return record is not None and record.leaving


def paused_until(state: core_state.State, target: str) -> float:
    """Return the time until which a target wants no requests."""
    record = state.target_notices.records.get(target)
    return -math.inf if record is None else record.paused_until


def is_paused(state: core_state.State, now: float, target: str) -> bool:
    """Return whether a target wants no requests now."""
    return now < paused_until(state, target)


def on_answer(
    state: core_state.State,
    now: float,
    target: str,
    event: events.AttemptAnswered,
) -> Effects:
    """Record what an answer says of its target.

    A target that no longer names its limit has none. An invalid value says
    nothing.
    """
    emitted: Effects = []
    for kind, value in event.invalid_notices:
        text = value[: const.MAX_LOGGED_CHARACTERS]
        emitted.extend(
            log(state, now, f"{kind}.invalid", target, ("value", text))
        )
    known = state.target_notices.records.get(target)
    limit = event.limit
    if any(kind == "limit" for kind, _ in event.invalid_notices):
        limit = None if known is None else known.rate
    pause = min(event.pause, const.MAX_PAUSE_SECONDS)
    if known is None and limit is None and not event.draining and not pause:
        return emitted
    before = models.Record(0) if known is None else _copy(known)
    notice = models.Notice(target, limit, 0.0, event.draining, pause)
    if merge(state, now, notice):
        emitted.extend(_on_changed(state, now, target, before, event.pause))
    return emitted


def on_probe(
    state: core_state.State, now: float, target: str, *, leaving: bool
) -> Effects:
    """Record what the answer to a probe says of its target."""
    if not leaving or is_leaving(state, target):
        return []
    known = state.target_notices.records.get(target)
    before = models.Record(0) if known is None else _copy(known)
    age = 0.0 if known is None else now - known.heard_at
    rate = None if known is None else known.rate
    if not math.isfinite(age):
        age = 0.0
    if not merge(state, now, models.Notice(target, rate, age, leaving)):
        return []
    return _on_changed(state, now, target, before, 0.0)


def _copy(record: models.Record) -> models.Record:
    return models.Record(
        record.born,
        record.rate,
        record.heard_at,
        record.leaving,
        record.paused_until,
    )


def _on_changed(
    state: core_state.State,
    now: float,
    target: str,
    before: models.Record,
    asked_pause: float,
) -> Effects:
    """Log what a target has newly said, and hold back what isn't sent yet."""
    record = state.target_notices.records[target]
    emitted: Effects = []
    if record.rate != before.rate:
        name = "limit.lifted" if record.rate is None else "limit.named"
        details = (("rate", record.rate), ("before", before.rate))
        emitted.extend(log(state, now, name, target, *details))
    if record.leaving and not before.leaving:
        emitted.extend(log(state, now, "target.leaving", target))
        emitted.append(effects.AbortUnsentAttempts(target))
    if record.paused_until > max(now, before.paused_until):
        seconds = round(record.paused_until - now, 3)
        details = (("seconds", seconds), ("asked", asked_pause))
        emitted.extend(log(state, now, "target.paused", target, *details))
        emitted.append(effects.AbortUnsentAttempts(target))
    return emitted


def log(
    state: core_state.State,
    now: float,
    name: str,
    target: str,
    *details: tuple[str, str | float | None],
) -> Effects:
    """Count a notice, and log it unless one like it was just logged."""
    logged_at = state.target_notices.logged_at
    key = (target, name)
    if now - logged_at.get(key, -math.inf) < const.LOG_INTERVAL_SECONDS:
        return [effects.Count(name)]
    if len(logged_at) >= const.MAX_LOGGED_TARGETS:
        logged_at.clear()
    logged_at[key] = now
    details = (("target", target), *details)
    return [effects.Count(name), effects.LogEvent(name, details=details)]


def merge(state: core_state.State, now: float, notice: models.Notice) -> bool:
    """Record a notice; return whether it said anything new.

    Notices on targets that aren't registered, or on an earlier process of the
    target, are dropped.
    """
    registration = state.directory.targets.get(notice.target)
    if registration is None or not _is_valid(notice):
        return False
    registered = registration.born or 0
    born = registered if notice.born is None else notice.born
    if born < registered:
        return False
    records = state.target_notices.records
    record = records.get(notice.target)
    if record is not None and born < record.born:
        return False
    if record is None and warmups.says_warm_only(notice):
        return False
    if record is None or born > record.born:
        record = records[notice.target] = models.Record(born)
    if not _apply(record, now, notice):
        return False
    note_change(state, record)
    return True


def note_change(state: core_state.State, record: models.Record) -> None:
    """Note that a record says something that nobody was told of yet."""
    record.told.clear()
    state.target_notices.changes += 1


def _apply(record: models.Record, now: float, notice: models.Notice) -> bool:
    """Apply a notice to a record; return whether that changed what it says."""
    changed = False
    heard_at = now - notice.age
    if heard_at >= record.heard_at:
        changed = notice.rate != record.rate
        record.rate = notice.rate
        record.heard_at = heard_at
    if notice.leaving and not record.leaving:
        record.leaving = changed = True
    paused_until = now + notice.pause
    earlier = max(now, record.paused_until)
    if paused_until > earlier + const.PAUSE_TOLERANCE_SECONDS:
        record.paused_until = paused_until
        changed = True
    return warmups.apply_notice(record, now, notice) or changed


def _is_valid(notice: models.Notice) -> bool:
    if not (math.isfinite(notice.age) and notice.age >= 0):
        return False
    if not 0 <= notice.pause <= const.MAX_PAUSE_SECONDS:
        return False
    if not 0 <= notice.cold <= const.MAX_WARMUP_SECONDS:
        return False
    if notice.cold_age is not None and not 0 <= notice.cold_age < math.inf:
        return False
    return notice.rate is None or (
        math.isfinite(notice.rate) and notice.rate >= 0
    )


def statement_of(
    state: core_state.State, now: float, target: str
) -> models.Notice | None:
    """Return what is known of a target, to be told; None if nothing."""
    record = state.target_notices.records.get(target)
    if record is None:
        return None
    return models.Notice(
        target,
        record.rate,
        min(now - record.heard_at, const.NEVER_HEARD_SECONDS),
        record.leaving,
        max(0.0, record.paused_until - now),
        record.born,
        max(0.0, record.cold_until - now),
        _age_of_warmup(record, now),
    )


def _age_of_warmup(record: models.Record, now: float) -> float | None:
    age = now - record.cold_heard_at
    return age if math.isfinite(age) else None


def is_active(record: models.Record, now: float) -> bool:
    """Return whether a record restricts what may be sent to its target.

    All entries read of warm-ups in registrations, so these don't count here.
    """
    is_cold = now < record.cold_until and math.isfinite(record.cold_heard_at)
    return record.rate is not None or is_cold or is_closed(record, now)


def is_closed(record: models.Record, now: float) -> bool:
    """Return whether nothing at all may be sent to a record's target."""
    return record.leaving or now < record.paused_until


def on_targets_changed(
    state: core_state.State, event: events.TargetsChanged
) -> None:
    """Forget the notices of targets that are gone or have started again."""
    notices = state.target_notices
    if not notices.records:
        return
    for target in event.targets:
        record = notices.records.get(target)
        registration = state.directory.targets.get(target)
        if record is None:
            continue
        if registration is None or (registration.born or 0) > record.born:
            del notices.records[target]
            notices.own_paces.pop(target, None)
            notices.changes += 1
