"""Tracks the speed of targets as slot-seconds per successful response.

Attempts in flight count as they age, so a straggler shows before it responds.
The figures decay, so a target that gets no calls is tried again. Only
successful responses count as completions, so a target that fails fast does not
look fast.
"""

import math

from agateshelf.core.routing import const
from agateshelf.core.routing import models


def update(group: models.Group, view: models.TargetView, now: float) -> None:
    """Bring the work and completions of a target up to the current time."""
    elapsed = now - view.work_as_of
    if elapsed <= 0:
        return
    view.work_as_of = now
    decay = math.exp(-elapsed / const.SPEED_DECAY_SECONDS)
    busy = min(view.held, group.service.slots)
    view.work = view.work * decay + busy * const.SPEED_DECAY_SECONDS * (
        1 - decay
    )
    view.completions *= decay
    group.work += busy * elapsed


def on_placed(group: models.Group, view: models.TargetView, now: float) -> None:
    """Record the start of an attempt."""
    update(group, view, now)
    view.held += 1


def on_ended(
    group: models.Group,
    view: models.TargetView,
    now: float,
    ending: models.Ending,
) -> None:
    """Record the end of an attempt; only a success counts as completion."""
    update(group, view, now)
    view.held = max(0, view.held - 1)
    if ending is not models.Ending.ANSWERED:
        return
    view.completions += 1
    group.completions += 1
    if group.completions > const.MAX_COMPLETIONS:
        group.completions /= 2
        group.work /= 2


def slowness(group: models.Group, view: models.TargetView) -> float:
    """Return the factor by which a target is slower than its group.

    A factor below 1 is softened by its square root.
    """
    prior = const.SPEED_PRIOR
    ratio = (view.work / group.mean_work + prior) / (view.completions + prior)
    if ratio < 1:
        return math.sqrt(ratio)
    return ratio
