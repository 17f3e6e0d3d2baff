"""Sets the pace of a dispatcher's grants to targets that name limits."""

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import models
from agateshelf.core.target_limits import const
from agateshelf.core.target_limits import models as limit_models
from agateshelf.core.target_limits import pacing
from agateshelf.core.target_limits import records
from agateshelf.core.target_limits import sharing


def update_paces(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> None:
    """Set the pace of each target by its limit and this entry's share of it."""
    if not state.target_limits.records and not dispatcher.paced:
        return
    role = sharing.role_of(state, dispatcher.service)
    share = sharing.share_of(state, now, role)
    starts_anew = _starts_anew(dispatcher, role, now)
    dispatcher.role = role
    dispatcher.paced_at = now
    names = dispatcher.paced | state.target_limits.records.keys()
    dispatcher.paced = set()
    for name in names:
        target = dispatcher.targets.get(name)
        if target is None:
            continue
        rate = records.active_rate(state, name)
        if rate is None:
            target.pace = None
            continue
        dispatcher.paced.add(name)
        _set_pace(target, now, sharing.rate_of(rate, share))
        if starts_anew and target.pace is not None:
            target.pace.tokens = 0.0


def _starts_anew(
    dispatcher: models.Dispatcher, role: limit_models.Role, now: float
) -> bool:
    """Return whether others may have sent to the targets meanwhile."""
    if role is not dispatcher.role:
        return True
    idle = now - dispatcher.paced_at > const.FALLBACK_IDLE_SECONDS
    return idle and role is not limit_models.Role.OWNER


def _set_pace(target: models.TargetState, now: float, rate: float) -> None:
    if target.pace is None:
        target.pace = pacing.create_pace(now, rate)
    else:
        pacing.set_rate(target.pace, now, rate)
