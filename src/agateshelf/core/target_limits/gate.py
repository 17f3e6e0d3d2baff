"""Looks at each send to a limited target once more, at the entry that sends.

Answers the load of an owner that grants without counting: one that doesn't know
the limit yet or, during an upgrade, no limits at all. An entry sends such a
grant only within the small share that it has without an owner.
"""

from agateshelf.core import state as core_state
from agateshelf.core.target_limits import const
from agateshelf.core.target_limits import models
from agateshelf.core.target_limits import pacing
from agateshelf.core.target_limits import records
from agateshelf.core.target_limits import sharing


def may_send(
    state: core_state.State, now: float, target: str, *, is_counted: bool
) -> bool:
    """Return whether a granted request may be sent; count it if so.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        target: The granted target.
        is_counted: Whether the owner counted the request for the target's
            limit.
    """
    rate = records.active_rate(state, target)
    if rate is None or is_counted:
        return True
    own_rate = sharing.rate_of(
        rate, sharing.share_of(state, now, models.Role.OTHER)
    )
    paces = state.target_limits.own_paces
    pace = paces.get(target)
    if pace is None or now - pace.updated_at > const.FALLBACK_IDLE_SECONDS:
        pace = paces[target] = pacing.create_pace(now, own_rate)
    pacing.set_rate(pace, now, own_rate)
    if not pacing.may_send(pace, now):
        return False
    pacing.take(pace, now)
    return True
