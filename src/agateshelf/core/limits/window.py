"""Adaptive concurrency limits (additive increase, multiplicative decrease).

The limit of a target shrinks by a factor while the target is congested, and
grows by a step while it is not and the entry could use more. Entries that use
the same targets thus converge to similar limits without exchanging messages.
Limits are fractions, since an entry's part of a target may be less than one
slot. Only their sum, the window of the pool, is enforced.
"""

from agateshelf.core import events
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def has_room(pool: models.Pool) -> bool:
    """Return whether the window of a pool allows one more attempt."""
    taken = pool.in_flight + pool.passing
    return taken < max(const.MIN_WINDOW, pool.window)


def has_room_for_yielding(pool: models.Pool) -> bool:
    """Return whether the window allows one more attempt of a yielding call."""
    taken = pool.in_flight + pool.passing
    return taken < pool.window * pool.yield_share


def may_claim(pool: models.Pool) -> bool:
    """Return whether one more call may acquire its claim.

    A call waiting for its claim does not count against the window, so that a
    slow store does not idle the targets. It starts as soon as it has its claim
    and may then exceed the window; this limit bounds the excess.
    """
    max_claims = pool.window * const.CLAIMS_PER_WINDOW
    return pool.claiming < max(const.MIN_CLAIMS, max_claims)


def on_started(pool: models.Pool, target: str) -> None:
    """Count a started attempt as in flight."""
    pool.in_flight += 1
    target_limit = pool.targets.get(target)
    if target_limit is None:
        return
    target_limit.in_flight += 1


def on_ended(pool: models.Pool, target: str) -> None:
    """Stop counting an attempt, however it ended."""
    pool.in_flight = max(0, pool.in_flight - 1)
    target_limit = pool.targets.get(target)
    if target_limit is None:
        return
    target_limit.in_flight = max(0, target_limit.in_flight - 1)


def on_answer(
    pool: models.Pool,
    target: str,
    seconds: float,
    load: events.TargetLoad | None,
) -> None:
    """Adjust a target's limit after a response without a server error.

    Args:
        pool: Pool of the target.
        target: Identifier of the target.
        seconds: Latency of the response.
        load: Load that the target reported, if any.
    """
    target_limit = pool.targets.get(target)
    if target_limit is None:
        return
    if load is not None and load.slots > 0:
        target_limit.slots = load.slots
    _update_yield_share(pool, seconds, load)
    if _is_congested(pool, target_limit, seconds, load):
        _set_limit(pool, target_limit, target_limit.limit * const.LIMIT_SHRINK)
        return
    if _is_limiting(pool):
        growth = const.LIMIT_GROWTH / len(pool.targets)
        _set_limit(pool, target_limit, target_limit.limit + growth)


def on_overload(pool: models.Pool, target: str) -> None:
    """Shrink the limit of a target that refused a request or timed out."""
    target_limit = pool.targets.get(target)
    if target_limit is None:
        return
    shrunk = target_limit.limit * const.LIMIT_SHRINK_REFUSED
    _set_limit(pool, target_limit, shrunk)


def scale(pool: models.Pool, factor: float) -> None:
    """Scale all limits, as after a change in the number of entries."""
    for target_limit in pool.targets.values():
        _set_limit(pool, target_limit, target_limit.limit * factor)


def initial_limit(slots: int, entries: int) -> float:
    """Return the initial limit of a target."""
    return slots * const.INITIAL_LIMIT_FACTOR / max(1, entries)


def _update_yield_share(
    pool: models.Pool, seconds: float, load: events.TargetLoad | None
) -> None:
    """Adjust the part of the window that yielding calls may use."""
    queues = load.queued > 0 if load else _is_slow(pool, seconds)
    if queues:
        shrunk = pool.yield_share * const.YIELD_SHRINK
        pool.yield_share = max(const.MIN_YIELD_SHARE, shrunk)
        return
    pool.yield_share = min(1.0, pool.yield_share + const.YIELD_GROWTH)


def _is_slow(pool: models.Pool, seconds: float) -> bool:
    if pool.median_latency == 0:
        return False
    return seconds > pool.median_latency * const.CONGESTED_LATENCY_FACTOR


def _is_congested(
    pool: models.Pool,
    target_limit: models.TargetLimit,
    seconds: float,
    load: events.TargetLoad | None,
) -> bool:
    if load is not None:
        return load.queued > target_limit.slots * const.CONGESTED_QUEUE_SHARE
    return _is_slow(pool, seconds)


def _is_limiting(pool: models.Pool) -> bool:
    return pool.queue.length > 0 or pool.in_flight + 1 >= pool.window


def _set_limit(
    pool: models.Pool, target_limit: models.TargetLimit, limit: float
) -> None:
    max_limit = target_limit.slots * const.MAX_LIMIT_FACTOR
    limit = min(max_limit, max(const.MIN_LIMIT, limit))
    pool.window += limit - target_limit.limit
    target_limit.limit = limit
