"""Checks each send to a target once more, at the entry that sends.

Answers the load of an owner that grants without knowing what a target said: one
that has just taken over or, during an upgrade, knows no notices at all. Nothing
is sent to a target that is known here to be leaving or paused, or to be in an
evacuated failure domain. A grant that the owner didn't count for the target's
limit or warm-up is sent only within the small share that an entry has without
an owner.
"""

from agateshelf.core import state as core_state
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models
from agateshelf.core.target_notices import pacing
from agateshelf.core.target_notices import records
from agateshelf.core.target_notices import sharing


def check_send(
    state: core_state.State,
    now: float,
    target: str,
    *,
    is_counted: bool,
    regions: tuple[str, ...] = (),
) -> models.Obstacle | None:
    """Return why a granted request can't be sent; count it if it can.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        target: The granted target.
        is_counted: Whether the owner counted the request for the target's
            limit and warm-up.
        regions: Regions in which the request may be served; empty for any.
    """
    if evacuation.is_evacuated(state, target):
        return models.Obstacle.EVACUATED
    if regions and not _is_in(state, target, regions):
        return models.Obstacle.OUT_OF_REGION
    if target not in state.target_notices.records:
        return None
    if records.is_leaving(state, target):
        return models.Obstacle.LEAVING
    if records.is_paused(state, now, target):
        return models.Obstacle.PAUSED
    if is_counted:
        return None
    shares = sharing.shares_of(state, now, models.Role.OTHER)
    allowance = sharing.allowance_of(state, now, target, shares)
    if allowance is None or _take_own(state, now, target, allowance):
        return None
    if allowance.is_cold:
        return models.Obstacle.COLD
    return models.Obstacle.LIMITED


def may_probe(state: core_state.State, now: float, target: str) -> bool:
    """Return whether a probe may be sent to a target."""
    if evacuation.is_evacuated(state, target):
        return False
    if target not in state.target_notices.records:
        return True
    return not (
        records.is_leaving(state, target)
        or records.is_paused(state, now, target)
    )


def _is_in(
    state: core_state.State, target: str, regions: tuple[str, ...]
) -> bool:
    registration = state.directory.targets.get(target)
    if registration is None:
        return False
    return state.regions.get(registration.failure_domain) in regions


def _take_own(
    state: core_state.State,
    now: float,
    target: str,
    allowance: models.Allowance,
) -> bool:
    """Count a send within this entry's own share; return whether it fits."""
    paces = state.target_notices.own_paces
    pace = paces.get(target)
    if pace is None or now - pace.updated_at > const.FALLBACK_IDLE_SECONDS:
        pace = paces[target] = pacing.create_pace(now, allowance)
        pacing.start_anew(pace, sharing.draw_phase(state))
    pacing.set_rate(pace, now, allowance)
    if not pacing.may_send(pace, now):
        return False
    pacing.take(pace, now)
    return True
