"""Groups of targets at this entry, and the home of each.

The home of a group is the live entry that wins by rendezvous hashing, so that
all entries agree on it as far as they agree on who is live, and a change
moves only the groups of the entry that came or went.
"""

import xxhash

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.routing import breakers
from agateshelf.core.routing import const
from agateshelf.core.routing import models
from agateshelf.core.routing import subsets

_PICKS = 8


def adopt_configuration(
    routing: models.RoutingState,
    cfg: configuration_models.Configuration,
    now: float,
) -> None:
    """Follow a new configuration, keeping what is known of targets."""
    known = routing.services
    routing.services = {
        service.name: _view_of(known.get(service.name), service, now)
        for service in cfg.services.values()
    }


def _view_of(
    known: models.ServiceView | None,
    service: configuration_models.Service,
    now: float,
) -> models.ServiceView:
    view = models.ServiceView(
        service=service,
        group_count=subsets.group_count(len(service.targets)),
        targets={target.id: target for target in service.targets},
    )
    if known is None:
        _note_out(view)
        return view
    for name, target_view in known.views.items():
        target = view.targets.get(name)
        if target is not None and target.address == target_view.target.address:
            target_view.target = target
            view.views[name] = target_view
    _warm_up_new(known, view, now)
    _note_out(view)
    return view


def _note_out(view: models.ServiceView) -> None:
    for name, target in view.targets.items():
        if target.draining or name in view.views:
            breakers.note(view, known_view(view, name))


def _warm_up_new(
    known: models.ServiceView, view: models.ServiceView, now: float
) -> None:
    """Let targets that the service did not have before begin slowly."""
    for name, target in view.targets.items():
        before = known.targets.get(name)
        if before is None or before.address != target.address:
            new = models.TargetView(target, warm_at=now + const.RAMP_SECONDS)
            view.views[name] = new


def group_of(
    state: core_state.State, view: models.ServiceView, index: int
) -> models.Group:
    """Return a group, made when it is first needed."""
    group = view.groups.get(index)
    if group is None:
        name = f"{view.service.name}/{index}"
        group = models.Group(
            name=name,
            index=index,
            service=view.service,
            views=subsets.targets_of(view, index),
            home=home_of(state.routing, name),
        )
        view.groups[index] = group
    return group


def pick(state: core_state.State, service: models.ServiceView) -> models.Group:
    """Return the group that a call is sent to.

    A group is taken as often as it has targets left, so that the loss of many
    targets of one group does not fall on the rest of it.
    """
    count = service.group_count
    for _ in range(_PICKS):
        index = subsets.pick_group(state.routing, count, state.rng)
        group = group_of(state, service, index)
        if not service.out or count == 1:
            break
        usable = sum(
            1 for view in group.views if view.target.id not in service.out
        )
        if state.rng.random() * len(group.views) < usable:
            break
    return group


def home_of(routing: models.RoutingState, group: str) -> str | None:
    """Return the home of a group; None if no entry is known to be live."""
    return max(
        routing.entries,
        key=lambda entry: xxhash.xxh64_intdigest(f"{group}/{entry}".encode()),
        default=None,
    )


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Follow the belief of which entries are live."""
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
            group.home = home_of(routing, group.name)


def known_view(service: models.ServiceView, target: str) -> models.TargetView:
    """Return the view of a service's target, made if there is none."""
    view = service.views.get(target)
    if view is None:
        view = models.TargetView(service.targets[target])
        service.views[target] = view
    return view


def view_of(
    routing: models.RoutingState, service: str, target: str
) -> models.TargetView | None:
    """Return what is believed of a target, or None if nothing is."""
    found = routing.services.get(service)
    return None if found is None else found.views.get(target)
