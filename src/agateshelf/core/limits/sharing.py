"""Which calls yield: start only while they delay nobody.

Fair turns decide who goes next, but a queue at the targets delays everyone in
it. So calls that may not delay others, those of a lower class beside an active
higher one and those of a caller far above its fair share, start only in a part
of the window that shrinks as soon as a target queues at all.

The fair share is the level up to which every flow is served in full and above
which none is (max-min fairness by weight). Nobody yields if what lies below it
is no real part of the traffic: then an overload comes from all alike, and
yielding would only idle targets.
"""

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def note_offered(pool: models.Pool, ticket: models.Ticket, now: float) -> None:
    """Count a call that came, whether or not it will pass."""
    sharing = pool.sharing
    sharing.seen[ticket.service.priority] = now
    if now - sharing.began >= const.SHARING_SECONDS:
        sharing.over = _over_share(sharing.uses)
        sharing.uses = {}
        sharing.began = now
    key = (ticket.service.name, ticket.caller)
    use = sharing.uses.get(key)
    if use is None:
        if len(sharing.uses) >= const.MOST_CALLERS:
            return
        use = models.Use(ticket.weight)
        sharing.uses[key] = use
    use.offered += 1


def note_passed(pool: models.Pool, ticket: models.Ticket) -> None:
    """Count a call that was let pass."""
    use = pool.sharing.uses.get((ticket.service.name, ticket.caller))
    if use is not None:
        use.passed += 1


def yields(
    pool: models.Pool,
    priority: configuration_models.Priority,
    key: models.FlowKey,
    now: float,
) -> bool:
    """Return whether a flow's calls may delay nobody now."""
    sharing = pool.sharing
    if key in sharing.over:
        return True
    oldest = now - const.CLASS_ACTIVE_SECONDS
    return any(
        other < priority and seen > oldest
        for other, seen in sharing.seen.items()
    )


def _over_share(
    uses: dict[models.FlowKey, models.Use],
) -> frozenset[models.FlowKey]:
    """Return the flows above the fair share, if there are any to protect."""
    passed = sum(use.passed for use in uses.values())
    limit = _fair_level(list(uses.values()), passed) * const.OVER_SHARE_FACTOR
    over = [
        key for key, use in uses.items() if use.offered > limit * use.weight
    ]
    protected = sum(use.passed for key, use in uses.items() if key not in over)
    if protected < passed * const.PROTECTED_SHARE:
        return frozenset()
    return frozenset(over)


def _fair_level(uses: list[models.Use], served: float) -> float:
    """Return the calls for each weight up to which all can be served."""
    uses.sort(key=lambda use: use.offered / use.weight)
    weights = sum(use.weight for use in uses)
    level = 0.0
    for use in uses:
        level = served / weights
        if use.offered > level * use.weight:
            break
        served -= use.offered
        weights -= use.weight
    return level
