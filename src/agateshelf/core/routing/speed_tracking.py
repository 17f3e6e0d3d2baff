"""Tracks the speed of targets as slot-seconds per successful response.

Attempts in flight add slot-seconds continuously, so a slow one raises the
estimate before it ends. The figures decay, so a target that gets no calls is
tried again. Only successful responses count as completions, so a target that
fails fast does not look fast.
"""

import math

from agateshelf.core.routing import const
from agateshelf.core.routing import models


def update(group: models.Group, view: models.TargetView, now: float) -> None:
    """Bring the slot-seconds and completions of a target up to date."""
    elapsed = now - view.speed_updated_at
    if elapsed <= 0:
        return
    view.speed_updated_at = now
    decay = math.exp(-elapsed / const.SPEED_DECAY_SECONDS)
    busy = min(view.outstanding, group.service.slots)
    view.busy_slot_seconds = (
        view.busy_slot_seconds * decay
        + busy * const.SPEED_DECAY_SECONDS * (1 - decay)
    )
    view.completions *= decay
    group.busy_slot_seconds += busy * elapsed


def on_placed(group: models.Group, view: models.TargetView, now: float) -> None:
    """Record the start of an attempt."""
    update(group, view, now)
    view.outstanding += 1


def on_ended(
    group: models.Group,
    view: models.TargetView,
    now: float,
    ending: models.Ending,
) -> None:
    """Record the end of an attempt; only a success counts as completion."""
    update(group, view, now)
    view.outstanding = max(0, view.outstanding - 1)
    if ending is not models.Ending.ANSWERED:
        return
    view.completions += 1
    group.completions += 1
    if group.completions > const.MAX_COMPLETIONS:
        group.completions /= 2
        group.busy_slot_seconds /= 2


def slowness(group: models.Group, view: models.TargetView) -> float:
    """Return the factor by which a target is slower than its group.

    The square root of a factor below 1 is returned, so that a target which
    looks fast is preferred less.
    """
    prior = const.SPEED_PRIOR
    ratio = (view.busy_slot_seconds / group.mean_slot_seconds + prior) / (
        view.completions + prior
    )
    if ratio < 1:
        return math.sqrt(ratio)
    return ratio
