"""Evidence of a target's speed: slot-seconds that its answers take.

Attempts in flight count as they age, so a straggler shows before it answers,
and evidence decays, so a target that gets no calls is tried again. Only good
answers are credited: whoever fails fast does not look quick.
"""

import math

from agateshelf.core.routing import const
from agateshelf.core.routing import models


def advance(group: models.Group, view: models.TargetView, now: float) -> None:
    """Bring the evidence on a target's speed up to now."""
    passed = now - view.work_as_of
    if passed <= 0:
        return
    view.work_as_of = now
    kept = math.exp(-passed / const.EVIDENCE_SECONDS)
    busy = min(view.held, group.service.slots)
    view.work = view.work * kept + busy * const.EVIDENCE_SECONDS * (1 - kept)
    view.answers *= kept
    group.work += busy * passed


def on_placed(group: models.Group, view: models.TargetView, now: float) -> None:
    """Count an attempt in."""
    advance(group, view, now)
    view.held += 1


def on_ended(
    group: models.Group,
    view: models.TargetView,
    now: float,
    ending: models.Ending,
) -> None:
    """Count an attempt out; only a good answer is credited."""
    advance(group, view, now)
    view.held = max(0, view.held - 1)
    if ending is not models.Ending.ANSWERED:
        return
    view.answers += 1
    group.answers += 1
    if group.answers > const.TYPICAL_MOST_ANSWERS:
        group.answers /= 2
        group.work /= 2


def slowness(group: models.Group, view: models.TargetView) -> float:
    """Return how many times slower than its group a target is now."""
    prior = const.EVIDENCE_PRIOR
    ratio = (view.work / group.mean + prior) / (view.answers + prior)
    if ratio < 1:
        return math.sqrt(ratio)
    return ratio
