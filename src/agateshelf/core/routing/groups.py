"""Groups of targets as known to this entry, and the owner of each.

The owner of a group is the live entry that ranks first in rendezvous hashing.
Entries that agree on the live entries thus agree on the owner, and when an
entry joins or leaves, only the groups that it owns move.
"""

import xxhash

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.routing import breakers
from agateshelf.core.routing import const
from agateshelf.core.routing import models
from agateshelf.core.routing import subsets

_MAX_DRAWS = 8


def adopt_configuration(
    routing: models.RoutingState,
    cfg: configuration_models.Configuration,
    now: float,
) -> None:
    """Apply a new configuration and keep the state of unchanged targets."""
    previous = routing.services
    routing.services = {
        service.name: _build_service_view(
            previous.get(service.name), service, now
        )
        for service in cfg.services.values()
    }


def _build_service_view(
    previous: models.ServiceView | None,
    service: configuration_models.Service,
    now: float,
) -> models.ServiceView:
    service_view = models.ServiceView(
        service=service,
        group_count=subsets.group_count(len(service.targets)),
        targets={target.id: target for target in service.targets},
    )
    if previous is None:
        _update_unavailable(service_view)
        return service_view
    for name, target_view in previous.views.items():
        target = service_view.targets.get(name)
        if target is not None and target.address == target_view.target.address:
            target_view.target = target
            service_view.views[name] = target_view
    _start_warmups(previous, service_view, now)
    _update_unavailable(service_view)
    return service_view


def _update_unavailable(service_view: models.ServiceView) -> None:
    for name, target in service_view.targets.items():
        if target.draining or name in service_view.views:
            breakers.update_unavailable(
                service_view, ensure_target_view(service_view, name)
            )


def _start_warmups(
    previous: models.ServiceView, service_view: models.ServiceView, now: float
) -> None:
    """Start the warm-up of targets that are new to the service."""
    for name, target in service_view.targets.items():
        before = previous.targets.get(name)
        if before is None or before.address != target.address:
            new = models.TargetView(target, warm_at=now + const.WARMUP_SECONDS)
            service_view.views[name] = new


def group_of(
    state: core_state.State, service_view: models.ServiceView, index: int
) -> models.Group:
    """Return a group, creating it on first use."""
    group = service_view.groups.get(index)
    if group is None:
        name = f"{service_view.service.name}/{index}"
        group = models.Group(
            name=name,
            index=index,
            service=service_view.service,
            views=subsets.targets_of(service_view, index),
            owner=owner_of(state.routing, name),
        )
        service_view.groups[index] = group
    return group


def select_group(
    state: core_state.State, service_view: models.ServiceView
) -> models.Group:
    """Return the group to select a call's target from.

    Rejection sampling: a drawn group is accepted with a probability equal to
    its share of available targets, so that the remaining targets of a group
    that lost many don't get the load of all. After `_MAX_DRAWS` the last one is
    used.
    """
    count = service_view.group_count
    for _ in range(_MAX_DRAWS):
        index = subsets.draw_group(state.routing, count, state.rng)
        group = group_of(state, service_view, index)
        if not service_view.unavailable or count == 1:
            break
        usable = sum(
            1
            for view in group.views
            if view.target.id not in service_view.unavailable
        )
        if state.rng.random() * len(group.views) < usable:
            break
    return group


def owner_of(routing: models.RoutingState, group: str) -> str | None:
    """Return the owner of a group, or None if no live entry is known."""
    return max(
        routing.failure_domains,
        key=lambda entry: xxhash.xxh64_intdigest(f"{group}/{entry}".encode()),
        default=None,
    )


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Apply a change of the live entries."""
    routing = state.routing
    routing.failure_domains = {e.id: e.failure_domain for e in event.entries}
    routing.rank = sum(
        1 for e in routing.failure_domains if e < state.identity.entry
    )
    routing.suspected_until = {
        entry: until
        for entry, until in routing.suspected_until.items()
        if until > now and entry in routing.failure_domains
    }
    for service in routing.services.values():
        for group in service.groups.values():
            group.owner = owner_of(routing, group.name)


def ensure_target_view(
    service_view: models.ServiceView, target: str
) -> models.TargetView:
    """Return the state of a service's target, creating it on first use."""
    view = service_view.views.get(target)
    if view is None:
        view = models.TargetView(service_view.targets[target])
        service_view.views[target] = view
    return view


def find_target_view(
    routing: models.RoutingState, service: str, target: str
) -> models.TargetView | None:
    """Return the state of a target, or None if there is none."""
    service_view = routing.services.get(service)
    return None if service_view is None else service_view.views.get(target)
