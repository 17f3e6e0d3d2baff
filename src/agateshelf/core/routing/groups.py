"""Groups of targets as known to this entry, and the owner of each.

The owner of a group is the live entry that ranks first in rendezvous hashing.
Entries that agree on the live entries thus agree on the owner, and a change
moves only the groups of the entry that joined or left.
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
        service.name: _view_of(previous.get(service.name), service, now)
        for service in cfg.services.values()
    }


def _view_of(
    previous: models.ServiceView | None,
    service: configuration_models.Service,
    now: float,
) -> models.ServiceView:
    view = models.ServiceView(
        service=service,
        group_count=subsets.group_count(len(service.targets)),
        targets={target.id: target for target in service.targets},
    )
    if previous is None:
        _update_unavailable(view)
        return view
    for name, target_view in previous.views.items():
        target = view.targets.get(name)
        if target is not None and target.address == target_view.target.address:
            target_view.target = target
            view.views[name] = target_view
    _start_warmups(previous, view, now)
    _update_unavailable(view)
    return view


def _update_unavailable(view: models.ServiceView) -> None:
    for name, target in view.targets.items():
        if target.draining or name in view.views:
            breakers.update_unavailable(view, ensure_view(view, name))


def _start_warmups(
    previous: models.ServiceView, view: models.ServiceView, now: float
) -> None:
    """Start the warm-up of targets that are new to the service."""
    for name, target in view.targets.items():
        before = previous.targets.get(name)
        if before is None or before.address != target.address:
            new = models.TargetView(target, warm_at=now + const.WARMUP_SECONDS)
            view.views[name] = new


def group_of(
    state: core_state.State, view: models.ServiceView, index: int
) -> models.Group:
    """Return a group, creating it on first use."""
    group = view.groups.get(index)
    if group is None:
        name = f"{view.service.name}/{index}"
        group = models.Group(
            name=name,
            index=index,
            service=view.service,
            views=subsets.targets_of(view, index),
            owner=owner_of(state.routing, name),
        )
        view.groups[index] = group
    return group


def select_group(
    state: core_state.State, service: models.ServiceView
) -> models.Group:
    """Return the group that a call is sent to.

    A group is accepted with a probability equal to its share of available
    targets, so that the remaining targets of a group that lost many don't get
    the load of all.
    """
    count = service.group_count
    for _ in range(_MAX_DRAWS):
        index = subsets.draw_group(state.routing, count, state.rng)
        group = group_of(state, service, index)
        if not service.unavailable or count == 1:
            break
        usable = sum(
            1
            for view in group.views
            if view.target.id not in service.unavailable
        )
        if state.rng.random() * len(group.views) < usable:
            break
    return group


def owner_of(routing: models.RoutingState, group: str) -> str | None:
    """Return the owner of a group, or None if no live entry is known."""
    return max(
        routing.entries,
        key=lambda entry: xxhash.xxh64_intdigest(f"{group}/{entry}".encode()),
        default=None,
    )


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Apply a change of the live entries."""
    routing = state.routing
    routing.entries = {e.id: e.failure_domain for e in event.entries}
    routing.rank = sum(1 for e in routing.entries if e < state.identity.entry)
    routing.suspected = {
        entry: until
        for entry, until in routing.suspected.items()
        if until > now and entry in routing.entries
    }
    for service in routing.services.values():
        for group in service.groups.values():
            group.owner = owner_of(routing, group.name)


def ensure_view(service: models.ServiceView, target: str) -> models.TargetView:
    """Return the view of a service's target, creating it on first use."""
    view = service.views.get(target)
    if view is None:
        view = models.TargetView(service.targets[target])
        service.views[target] = view
    return view


def view_of(
    routing: models.RoutingState, service: str, target: str
) -> models.TargetView | None:
    """Return the view of a target, or None if there is none."""
    found = routing.services.get(service)
    return None if found is None else found.views.get(target)
