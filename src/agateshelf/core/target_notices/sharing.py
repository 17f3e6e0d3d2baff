"""Splits a limit over the entries that may dispatch at the same time.

Answers the load of entries that lose their owner or each other. The owner of a
service has the whole limit, and the entries that dispatch while they reach no
owner have small shares beside it: together half as much again. Entries that
were lost without having left are assumed to be on the other side of a
partition, with an owner of their own, so each side takes the share of its
entries.
"""

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import owners
from agateshelf.core.membership import view
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models


def role_of(state: core_state.State, service: str) -> models.Role:
    """Return what this entry is to a service."""
    ranking = owners.owner_ranking(state, service)
    if ranking[:1] == (state.identity.entry,):
        return models.Role.OWNER
    if ranking[1:2] == (state.identity.entry,):
        return models.Role.SUCCESSOR
    return models.Role.OTHER


def share_of(state: core_state.State, now: float, role: models.Role) -> float:
    """Return the share of each limit that an entry in a role may use."""
    live = len(view.live_entries(state))
    lost = view.count_lost(state, now, const.LOST_SECONDS)
    side = live / (live + lost)
    match role:
        case models.Role.OWNER:
            return side
        case models.Role.SUCCESSOR:
            return side * const.SUCCESSOR_SHARE
        case models.Role.OTHER:
            return side * const.FALLBACK_SHARE / live


def rate_of(rate: float, share: float) -> float:
    """Return the requests a second within a share of a named rate."""
    return max(rate, const.MIN_RATE) * share
