"""Which regions, failure domains and pools may serve a request."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import pools
from agateshelf.core.regions import const


def intersect(
    first: tuple[str, ...], second: tuple[str, ...]
) -> tuple[str, ...] | None:
    """Return the regions that both allow; empty for any, None for no region."""
    if not first or not second:
        return first or second
    return tuple(region for region in first if region in second) or None


def allows(
    state: core_state.State, failure_domain: str, regions: tuple[str, ...]
) -> bool:
    """Return whether a failure domain is in one of the regions, if any."""
    return not regions or state.regions.get(failure_domain) in regions


def domains_in(
    state: core_state.State, regions: tuple[str, ...]
) -> frozenset[str] | None:
    """Return the failure domains in the regions; None stands for all."""
    if not regions:
        return None
    return frozenset(
        domain for domain, region in state.regions.items() if region in regions
    )


def has_target(
    state: core_state.State, service: str, regions: tuple[str, ...]
) -> bool:
    """Return whether a service has a target in the regions.

    Targets of evacuated failure domains count as absent.
    """
    return not regions or bool(_pools_in(state, service, regions))


def choose_pool(
    state: core_state.State, service: str, regions: tuple[str, ...]
) -> str:
    """Return the pool that a request goes to, one with a target it may use."""
    if not regions:
        return pools.choose(state, service)
    found = _pools_in(state, service, regions)
    if not found:
        return pools.choose(state, service)
    if len(found) == 1:
        return next(iter(found))
    return state.rng.choices(list(found), list(found.values()))[0]


def _pools_in(
    state: core_state.State, service: str, regions: tuple[str, ...]
) -> dict[str, int]:
    """Return how many targets each pool of a service has in the regions."""
    cache = state.region_cache
    evacuated = state.evacuation.active
    is_same = cache.regions is state.regions and cache.evacuated is evacuated
    if not is_same:
        cache.pools.clear()
        cache.regions = state.regions
        cache.evacuated = evacuated
    found = cache.pools.get((service, regions))
    if found is None:
        found = {}
        for target in sorted(state.directory.services.get(service, ())):
            registration = state.directory.targets[target]
            if registration.failure_domain in evacuated:
                continue
            if allows(state, registration.failure_domain, regions):
                pool = pools.pool_of(state, registration)
                found[pool] = found.get(pool, 0) + 1
        cache.pools[service, regions] = found
    return found


def on_targets_changed(
    state: core_state.State, event: events.TargetsChanged
) -> None:
    """Forget the pools' targets if any came, moved or went.

    Most registrations only repeat where their target is.
    """
    cache = state.region_cache
    for target in event.targets:
        registration = state.directory.targets.get(target)
        if registration is None:
            is_changed = cache.places.pop(target, None) is not None
        else:
            place = (registration.service, registration.failure_domain)
            is_changed = cache.places.get(target) != place
            cache.places[target] = place
        if is_changed:
            cache.pools.clear()


def on_routes_adopted(state: core_state.State) -> list[effects.Effect]:
    """Log the regions that routes or workspaces name and no domain is in."""
    state.region_cache.pools.clear()
    table = state.routes.table
    if table is None:
        return []
    named = {region for route in table.routes for region in route.regions}
    for workspace in table.workspaces or ():
        named.update(workspace.regions)
    unknown = sorted(named - set(state.regions.values()))
    if not unknown:
        return []
    shown = ", ".join(unknown[: const.MAX_LOGGED_REGIONS])
    return [
        effects.LogEvent(
            "regions.unknown",
            details=(
                ("version", table.version),
                ("count", len(unknown)),
                ("regions", shown),
            ),
        )
    ]
