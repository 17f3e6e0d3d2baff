"""Refuses requests that an entry in overload can't answer in time.

Answers an entry that gets several times the mean, or whose machine is slowed
down: without refusals all its requests wait ever longer, until none is answered
before its caller gives up. A refusal costs a third of what a request costs, and
lets those that were accepted go on.
"""

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const as dispatch_const
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.overload import const
from agateshelf.core.overload import delays
from agateshelf.core.routes import models as route_models


def refusal_of(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    route: route_models.Route,
) -> outcome_models.Refusal | None:
    """Return the refusal of a request, or None if it can be in time."""
    late = delays.seconds(state, now)
    timeout = min(event.timeout or route.timeout, route.timeout)
    if late < const.OVERLOAD_SECONDS and event.waited < timeout:
        return None
    work = dispatch_const.INITIAL_WORK_SHARE * route.target_latency
    needed = _waits(state, route) * late + work + const.CALLER_SECONDS
    if event.waited + needed <= const.SHARE_OF_TIMEOUT * timeout:
        return None
    state.overload.own.refused += 1
    factor = state.rng.uniform(*const.RETRY_AFTER_FACTORS)
    return outcome_models.Refusal(
        outcome_const.STATUS_UNAVAILABLE,
        outcome_models.Outcome.NOT_RUN,
        const.REASON_ENTRY_OVERLOADED,
        "This entry is overloaded and can't answer in time.",
        factor * (const.RETRY_AFTER_SECONDS + late),
    )


def _waits(state: core_state.State, route: route_models.Route) -> int:
    """Return how often a request waits here; an owner asks nobody else."""
    is_owner = all(
        owners.is_owner(state, pool)
        for share in route.shares
        for pool in pools.names_of(state, share.service)
    )
    waits = const.WAITS_OF_REQUEST
    return waits - 1 if is_owner else waits


def inputs_of(
    state: core_state.State, now: float, event: events.RequestArrived
) -> tuple[tuple[str, float], ...]:
    """Return what decided a refusal, for logs."""
    return (
        ("late_ms", round(1000 * delays.seconds(state, now), 1)),
        ("waited_ms", round(1000 * event.waited, 1)),
    )
