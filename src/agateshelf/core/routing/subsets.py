"""Deterministic subsetting: which groups of a service an entry sends calls to.

The groups lie on a ring that is divided into one step per entry. The entry of
rank i covers the k steps from i to i + k - 1, its arc. Every point is thus
covered by k entries, so groups get even shares for any number of entries and
groups. When an entry joins or leaves, the other arcs move by less than one
step.
"""

import math
import random

from agateshelf.core.routing import const
from agateshelf.core.routing import models


def group_count(targets: int) -> int:
    """Return the number of groups for a number of targets."""
    return max(1, math.ceil(targets / const.GROUP_TARGETS))


def draw_group(
    routing: models.RoutingState, groups: int, rng: random.Random
) -> int:
    """Return the index of a random group within this entry's arc."""
    if groups == 1:
        return 0
    entries = max(1, len(routing.failure_domains))
    arc = arc_steps(entries, groups)
    point = ((routing.rank + rng.random() * arc) / entries) % 1.0
    return min(groups - 1, int(point * groups))


def arc_steps(entries: int, groups: int) -> int:
    """Return the number of steps that the arc of each entry covers."""
    steps = math.ceil(const.SUBSET_GROUPS * entries / groups)
    return max(1, min(entries, steps))


def targets_of(
    service_view: models.ServiceView, index: int
) -> list[models.TargetView]:
    """Return the states of a group's targets, creating missing ones."""
    members = service_view.service.targets[index :: service_view.group_count]
    views = []
    for target in members:
        target_view = service_view.views.get(target.id)
        if target_view is None or target_view.target.address != target.address:
            target_view = models.TargetView(target)
            service_view.views[target.id] = target_view
        target_view.target = target
        views.append(target_view)
    return views
