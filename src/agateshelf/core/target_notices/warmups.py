"""Which targets are cold, and how many requests they may get while they are.

A target is cold for some time after its start, and may become cold again. It
then bears few requests a second from all entries together, a number that its
service's configuration gives.
"""

from agateshelf.core import state as core_state
from agateshelf.core.routes import models as route_models
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models


def warmup_of(
    state: core_state.State, target: str
) -> route_models.Warmup | None:
    """Return how a target warms up; None if that limits nothing."""
    table = state.routes.table
    if table is None or not table.warmups:
        return None
    registration = state.directory.targets.get(target)
    if registration is None:
        return None
    return table.warmups.get(registration.service)


def rate_of(warmup: route_models.Warmup) -> float:
    """Return the requests a second that a cold target may get.

    Without any request nobody could see whether it serves them well. Rates that
    are lower still would overflow the times between two requests.
    """
    rate = warmup.rate if warmup.rate > 0 else 1.0 / warmup.seconds
    return max(rate, 1.0 / const.MAX_WARMUP_SECONDS)


def active_rate(
    state: core_state.State, now: float, target: str
) -> float | None:
    """Return the requests a second that a target may get; None if it is warm.

    The rate is that of all entries together.
    """
    record = state.target_notices.records.get(target)
    if record is None or now >= record.cold_until:
        return None
    warmup = warmup_of(state, target)
    return None if warmup is None else rate_of(warmup)


def extend(
    record: models.Record, now: float, seconds: float, heard_at: float
) -> bool:
    """Note that a target is cold for some seconds, unless it is for longer.

    Args:
        record: Record of the target.
        now: Current time in seconds.
        seconds: For how long it is cold.
        heard_at: Time as of which that is known.

    Returns:
        Whether that says anything new.
    """
    was_cold = record.cold_until > now
    gain = now + seconds - record.cold_until
    if gain <= 0:
        return False
    record.cold_until = now + seconds
    record.cold_since = max(record.cold_since, heard_at)
    record.cold_by_registration = False
    return not was_cold or gain > const.WARMUP_TOLERANCE_SECONDS


def apply_notice(
    record: models.Record, now: float, notice: models.Notice
) -> bool:
    """Apply what a notice says of a warm-up; return whether that is new.

    The latest answer to a probe says whether a target is cold; of two times for
    which it is, the longer one holds.
    """
    if notice.cold_age is None:
        heard_ago = now - record.cold_heard_at
        if notice.cold <= 0 or heard_ago < const.PROBE_VALID_SECONDS:
            return False
        return extend(record, now, notice.cold, now)
    heard_at = now - notice.cold_age
    if heard_at < record.cold_heard_at:
        return False
    record.cold_heard_at = heard_at
    if notice.cold > 0:
        return extend(record, now, notice.cold, heard_at)
    if heard_at < record.cold_since:
        return False
    was_cold = record.cold_until > now
    record.cold_until = min(record.cold_until, now)
    return was_cold


def says_warm_only(notice: models.Notice) -> bool:
    """Return whether a notice says nothing but that its target is warm."""
    return (
        notice.cold_age is not None
        and notice.cold <= 0
        and notice.rate is None
        and not notice.leaving
        and notice.pause <= 0
    )
