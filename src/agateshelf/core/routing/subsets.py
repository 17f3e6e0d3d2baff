"""Groups of a service's targets, and which of them an entry uses.

Groups lie on a ring, entries start at equal distances on it, and each covers
the same whole number of distances: every point is covered by equally many
entries, so groups get even shares whatever the numbers are. When an entry
comes or goes, the others' arcs move by less than one distance.
"""

import math
import random

from agateshelf.core.routing import const
from agateshelf.core.routing import models


def group_count(targets: int) -> int:
    """Return the number of groups for a number of targets."""
    return max(1, math.ceil(targets / const.GROUP_TARGETS))


def pick_group(
    routing: models.RoutingState, groups: int, rng: random.Random
) -> int:
    """Return the index of the group that a call is sent to."""
    if groups == 1:
        return 0
    entries = max(1, len(routing.entries))
    arc = arc_steps(entries, groups)
    point = ((routing.rank + rng.random() * arc) / entries) % 1.0
    return min(groups - 1, int(point * groups))


def arc_steps(entries: int, groups: int) -> int:
    """Return how many distances between entries each entry's arc covers."""
    wanted = math.ceil(const.SUBSET_GROUPS * entries / groups)
    return max(1, min(entries, wanted))


def targets_of(view: models.ServiceView, index: int) -> list[models.TargetView]:
    """Return the views of a group's targets, made as they are needed."""
    members = view.service.targets[index :: view.group_count]
    found = []
    for target in members:
        known = view.views.get(target.id)
        if known is None or known.target.address != target.address:
            known = models.TargetView(target)
            view.views[target.id] = known
        known.target = target
        found.append(known)
    return found
