"""Decides which calls must yield to others.

Fair queueing decides which call is next, but a queue at the targets delays all
calls in it. Some calls therefore yield: those of a lower priority class while a
higher one is active, and those of a caller well above its fair share. They may
use only a part of the window, which shrinks as soon as any target queues.

The fair share is weighted max-min fair: flows that offer less than it are
served in full, all others get exactly their share. No caller yields unless
callers below their share make up a real part of the traffic. Otherwise all
callers cause the overload alike, and yielding would only idle targets.
"""

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def note_offered(pool: models.Pool, ticket: models.Ticket, now: float) -> None:
    """Count an arriving call, whether or not it will be admitted."""
    sharing = pool.sharing
    sharing.seen[ticket.service.priority] = now
    if now - sharing.began >= const.SHARING_SECONDS:
        sharing.over = _over_share(sharing.uses)
        sharing.uses = {}
        sharing.began = now
    key = (ticket.service.name, ticket.caller)
    usage = sharing.uses.get(key)
    if usage is None:
        if len(sharing.uses) >= const.MOST_CALLERS:
            return
        usage = models.Use(ticket.weight)
        sharing.uses[key] = usage
    usage.offered += 1


def note_passed(pool: models.Pool, ticket: models.Ticket) -> None:
    """Count an admitted call."""
    usage = pool.sharing.uses.get((ticket.service.name, ticket.caller))
    if usage is not None:
        usage.passed += 1


def yields(
    pool: models.Pool,
    priority: configuration_models.Priority,
    key: models.FlowKey,
    now: float,
) -> bool:
    """Return whether a flow's calls must yield to others now."""
    sharing = pool.sharing
    if key in sharing.over:
        return True
    active_since = now - const.CLASS_ACTIVE_SECONDS
    return any(
        other < priority and last_seen > active_since
        for other, last_seen in sharing.seen.items()
    )


def _over_share(
    flows: dict[models.FlowKey, models.Use],
) -> frozenset[models.FlowKey]:
    """Return the flows above their fair share.

    The result is empty if there is too little traffic of others to protect.
    """
    admitted = sum(flow.passed for flow in flows.values())
    limit = (
        _fair_level(list(flows.values()), admitted) * const.OVER_SHARE_FACTOR
    )
    over = [
        key for key, flow in flows.items() if flow.offered > limit * flow.weight
    ]
    protected = sum(
        flow.passed for key, flow in flows.items() if key not in over
    )
    if protected < admitted * const.PROTECTED_SHARE:
        return frozenset()
    return frozenset(over)


def _fair_level(flows: list[models.Use], served: float) -> float:
    """Return the fair share in calls per unit of weight."""
    flows.sort(key=lambda flow: flow.offered / flow.weight)
    weights = sum(flow.weight for flow in flows)
    share = 0.0
    for flow in flows:
        share = served / weights
        if flow.offered > share * flow.weight:
            break
        served -= flow.offered
        weights -= flow.weight
    return share
