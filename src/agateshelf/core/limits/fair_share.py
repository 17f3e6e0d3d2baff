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


def count_offered(pool: models.Pool, ticket: models.Ticket, now: float) -> None:
    """Count an arriving call, whether or not it will be admitted."""
    fair_share = pool.fair_share
    fair_share.last_seen[ticket.service.priority] = now
    if now - fair_share.period_started >= const.FAIR_SHARE_PERIOD_SECONDS:
        fair_share.over_share = _over_share(fair_share.usage)
        fair_share.usage = {}
        fair_share.period_started = now
    key = (ticket.service.name, ticket.caller)
    usage = fair_share.usage.get(key)
    if usage is None:
        if len(fair_share.usage) >= const.MAX_CALLERS:
            return
        usage = models.FlowUsage(ticket.weight)
        fair_share.usage[key] = usage
    usage.offered += 1


def count_admitted(pool: models.Pool, ticket: models.Ticket) -> None:
    """Count an admitted call."""
    usage = pool.fair_share.usage.get((ticket.service.name, ticket.caller))
    if usage is not None:
        usage.admitted += 1


def must_yield(
    pool: models.Pool,
    priority: configuration_models.Priority,
    key: models.FlowKey,
    now: float,
) -> bool:
    """Return whether a flow's calls must yield to others now."""
    fair_share = pool.fair_share
    if key in fair_share.over_share:
        return True
    active_since = now - const.CLASS_ACTIVE_SECONDS
    return any(
        other < priority and last_seen > active_since
        for other, last_seen in fair_share.last_seen.items()
    )


def _over_share(
    flows: dict[models.FlowKey, models.FlowUsage],
) -> frozenset[models.FlowKey]:
    """Return the flows above their fair share.

    The result is empty if there is too little traffic of others to protect.
    """
    admitted = sum(flow.admitted for flow in flows.values())
    limit = (
        _fair_share(list(flows.values()), admitted) * const.OVER_SHARE_FACTOR
    )
    over = [
        key for key, flow in flows.items() if flow.offered > limit * flow.weight
    ]
    protected = sum(
        flow.admitted for key, flow in flows.items() if key not in over
    )
    if protected < admitted * const.PROTECTED_SHARE:
        return frozenset()
    return frozenset(over)


def _fair_share(flows: list[models.FlowUsage], served: float) -> float:
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
