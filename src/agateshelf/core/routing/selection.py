"""Selects the target of a group that is expected to respond first.

Only the targets of one group are compared, so the cost of a selection does not
grow with the size of the service.
"""

from agateshelf.core import state as core_state
from agateshelf.core.routing import breakers
from agateshelf.core.routing import const
from agateshelf.core.routing import models
from agateshelf.core.routing import speed_tracking


def select_target(
    state: core_state.State,
    now: float,
    group: models.Group,
    request: models.PlacementRequest,
    failure_domain: str,
) -> models.TargetView | None:
    """Return the best target of a group for a call, or None.

    Args:
        state: State of the entry that selects.
        now: Current time in seconds.
        group: Group to select from.
        request: The placement request.
        failure_domain: Failure domain of the entry that will send the call.
    """
    panic = in_panic_mode(state, group)
    best: models.TargetView | None = None
    best_cost = 0.0
    fallback: models.TargetView | None = None
    for view in group.views:
        if view.is_draining or view.target.id in request.tried:
            continue
        if not panic and not breakers.allows(view, now, request):
            continue
        if now < view.warm_at and not _is_considered(state, view, now):
            fallback = view
            continue
        cost = _expected_seconds(state, now, group, view, failure_domain, panic)
        if best is None or cost < best_cost:
            best = view
            best_cost = cost
    if best is None and not request.hedge:
        return fallback
    return best


def in_panic_mode(state: core_state.State, group: models.Group) -> bool:
    """Return whether the group's service ignores its open breakers."""
    service_view = state.routing.services.get(group.service.name)
    return service_view is not None and breakers.in_panic_mode(service_view)


def is_trial(
    state: core_state.State, group: models.Group, view: models.TargetView
) -> bool:
    """Return whether a call to a target is a trial of its open breaker."""
    if view.breaker.open_until is None:
        return False
    return not in_panic_mode(state, group)


def has_free_slot(group: models.Group, view: models.TargetView) -> bool:
    """Return whether a target has a free slot, as far as this entry knows."""
    return view.outstanding < group.service.slots


def _is_considered(
    state: core_state.State, view: models.TargetView, now: float
) -> bool:
    """Return at random whether a warming target is considered this time."""
    progress = 1 - (view.warm_at - now) / const.WARMUP_SECONDS
    return state.rng.random() < max(const.INITIAL_WARMUP_SHARE, progress)


def _expected_seconds(
    state: core_state.State,
    now: float,
    group: models.Group,
    view: models.TargetView,
    failure_domain: str,
    panic: bool,
) -> float:
    speed_tracking.update(group, view, now)
    mean = group.mean_slot_seconds
    slots = group.service.slots
    seconds = mean
    outstanding = _estimate_outstanding(state, now, group, view)
    if outstanding >= slots:
        seconds += mean * (outstanding - slots + 1) / slots
    seconds *= speed_tracking.slowness(group, view)
    if view.errors and not panic:
        error_rate = breakers.error_rate(view, now)
        seconds += error_rate * const.ERROR_PENALTY_MEANS * mean
    if view.target.failure_domain != failure_domain:
        seconds += state.routing.cross_domain_rtt
    # Jitter keeps entries from all choosing the same target.
    return seconds * (1 + _JITTER * state.rng.random())


_JITTER = 0.02


def _estimate_outstanding(
    state: core_state.State,
    now: float,
    group: models.Group,
    view: models.TargetView,
) -> float:
    """Return the estimated number of requests that a target holds.

    The owner of the group knows it. Any other entry takes the load reported by
    the latest response, weighted down with age, plus what it has sent since.
    """
    if group.owner == state.identity.entry:
        return view.outstanding
    age = now - view.reported_at
    weight = max(0.0, 1 - age / const.REPORT_VALID_SECONDS)
    return max(view.outstanding, view.reported * weight + view.sent_since)
