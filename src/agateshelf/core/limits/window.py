"""How many attempts an entry has in flight, by what the targets bear.

Each target has a limit that shrinks by a share when the target is congested
and grows by a step while it is not and the entry could use more. Entries that
see the same targets so come to similar limits without talking to each other
(additive increase, multiplicative decrease). Limits are fractions, since an
entry's part of a target is less than one slot; their sum is what counts.
"""

from agateshelf.core import events
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def has_room(pool: models.Pool) -> bool:
    """Return whether one more attempt may start at the pool's targets."""
    taken = pool.in_flight + pool.passing
    return taken < max(const.LEAST_WINDOW, pool.window)


def has_room_to_yield(pool: models.Pool) -> bool:
    """Return whether a call that may delay nobody may start."""
    taken = pool.in_flight + pool.passing
    return taken < pool.window * pool.yield_share


def may_claim(pool: models.Pool) -> bool:
    """Return whether one more call may go for its claim.

    A call that waits for its claim holds no place in the window, so that a
    slow store does not idle the targets. It starts as soon as it has its claim
    and so may overrun the window; this bounds by how much.
    """
    most = pool.window * const.CLAIMS_PER_WINDOW
    return pool.claiming < max(const.LEAST_CLAIMS, most)


def on_started(pool: models.Pool, target: str) -> None:
    """Count an attempt that starts."""
    pool.in_flight += 1
    known = pool.targets.get(target)
    if known is None:
        return
    known.in_flight += 1


def on_ended(pool: models.Pool, target: str) -> None:
    """Count an attempt that ended, in whatever way."""
    pool.in_flight = max(0, pool.in_flight - 1)
    known = pool.targets.get(target)
    if known is None:
        return
    known.in_flight = max(0, known.in_flight - 1)


def on_answer(
    pool: models.Pool,
    target: str,
    seconds: float,
    load: events.TargetLoad | None,
) -> None:
    """Follow what an answer says of its target."""
    known = pool.targets.get(target)
    if known is None:
        return
    if load is not None and load.slots > 0:
        known.slots = load.slots
    _follow_queues(pool, seconds, load)
    if _is_congested(pool, known, seconds, load):
        _set_limit(pool, known, known.limit * const.LIMIT_SHRINK)
        return
    if _is_wanted(pool):
        growth = const.LIMIT_GROWTH / len(pool.targets)
        _set_limit(pool, known, known.limit + growth)


def on_overload(pool: models.Pool, target: str) -> None:
    """Shrink the limit of a target that refused a request or was too slow."""
    known = pool.targets.get(target)
    if known is None:
        return
    shrunk = known.limit * const.LIMIT_SHRINK_REFUSED
    _set_limit(pool, known, shrunk)


def scale(pool: models.Pool, factor: float) -> None:
    """Scale all limits, as when the number of entries has changed."""
    for known in pool.targets.values():
        _set_limit(pool, known, known.limit * factor)


def first_limit(slots: int, entries: int) -> float:
    """Return the limit of a target of which nothing is known yet."""
    return slots * const.FIRST_LIMIT_FACTOR / max(1, entries)


def _follow_queues(
    pool: models.Pool, seconds: float, load: events.TargetLoad | None
) -> None:
    """Move the part of the window that is left to yielding calls."""
    queues = load.queued > 0 if load else _is_slow(pool, seconds)
    if queues:
        shrunk = pool.yield_share * const.YIELD_SHRINK
        pool.yield_share = max(const.LEAST_YIELD_SHARE, shrunk)
        return
    pool.yield_share = min(1.0, pool.yield_share + const.YIELD_GROWTH)


def _is_slow(pool: models.Pool, seconds: float) -> bool:
    if pool.median == 0:
        return False
    return seconds > pool.median * const.CONGESTED_LATENCY_FACTOR


def _is_congested(
    pool: models.Pool,
    known: models.TargetLimit,
    seconds: float,
    load: events.TargetLoad | None,
) -> bool:
    if load is not None:
        return load.queued > known.slots * const.CONGESTED_QUEUE_SHARE
    return _is_slow(pool, seconds)


def _is_wanted(pool: models.Pool) -> bool:
    return pool.queue.length > 0 or pool.in_flight + 1 >= pool.window


def _set_limit(
    pool: models.Pool, known: models.TargetLimit, limit: float
) -> None:
    most = known.slots * const.MOST_LIMIT_FACTOR
    limit = min(most, max(const.LEAST_LIMIT, limit))
    pool.window += limit - known.limit
    known.limit = limit
