"""Power of two choices on the entry's own attempts in flight."""

from collections import abc
import random

from agateshelf.core import events
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.routing import models


def adopt_configuration(
    routing: models.RoutingState, cfg: configuration_models.Configuration
) -> None:
    """Follow a new configuration, keeping what is known of targets."""
    services = {}
    for service in cfg.services.values():
        known = routing.services.get(service.name, {})
        services[service.name] = {
            target.id: _view_of(known, target) for target in service.targets
        }
    routing.services = services


def _view_of(
    known: dict[str, models.TargetView], target: configuration_models.Target
) -> models.TargetView:
    view = known.get(target.id)
    if view is None or view.target.address != target.address:
        return models.TargetView(target)
    view.target = target
    return view


def choose(
    routing: models.RoutingState,
    service: str,
    tried: abc.Set[str],
    rng: random.Random,
) -> models.TargetView | None:
    """Return the target for an attempt, or None if there is none left."""
    views = [
        view
        for view in routing.services.get(service, {}).values()
        if not view.draining
        and not view.target.draining
        and view.target.id not in tried
    ]
    if not views:
        return None
    first = rng.choice(views)
    second = rng.choice(views)
    return min(first, second, key=lambda view: view.in_flight)


def view_of(
    routing: models.RoutingState, service: str, target: str
) -> models.TargetView | None:
    """Return what is believed of a target, or None if it is not known."""
    return routing.services.get(service, {}).get(target)


def on_target_listed(
    routing: models.RoutingState, event: events.TargetListed
) -> None:
    """Follow the platform's word on whether a target is leaving."""
    for views in routing.services.values():
        view = views.get(event.target)
        if view is not None:
            view.draining = event.leaving
