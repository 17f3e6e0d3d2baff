"""Groups services that share targets into pools with common limits."""

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import models
from agateshelf.core.limits import queueing
from agateshelf.core.limits import window

Service = configuration_models.Service


def adopt_configuration(
    limits: models.LimitsState, cfg: configuration_models.Configuration
) -> None:
    """Rebuild the pools for a new configuration, keeping known targets' limits.

    Admitted calls stay with their previous pool; queued calls move to the new
    one.
    """
    pools: dict[str, models.Pool] = {}
    for group in _group_services(cfg):
        names = frozenset(service.name for service in group)
        pool = limits.pools.get(group[0].name)
        if pool is None or pool.services != names:
            pool = models.Pool(names, {}, 0.0, models.create_queue())
        _update_targets(pool, group, limits.entries)
        for service in group:
            pools[service.name] = pool
    limits.pools = pools
    _move_queued(limits)


def adopt_entries(limits: models.LimitsState, entries: int) -> None:
    """Scale the limits after a change in the number of live entries."""
    if entries == limits.entries:
        return
    factor = limits.entries / entries
    limits.entries = entries
    for pool in {id(pool): pool for pool in limits.pools.values()}.values():
        window.scale(pool, factor)


def _move_queued(limits: models.LimitsState) -> None:
    """Move queued calls from replaced pools to their successors."""
    for ticket in limits.tickets.values():
        pool = limits.pools.get(ticket.service.name, ticket.pool)
        waits = ticket.phase is models.Phase.QUEUED
        if waits and pool is not ticket.pool:
            queueing.remove(ticket.pool.queue, ticket)
            ticket.pool = pool
            queueing.push(pool.queue, ticket, ticket.arrived)


def _group_services(
    cfg: configuration_models.Configuration,
) -> list[list[Service]]:
    """Return the services, grouped by shared targets."""
    groups: list[list[Service]] = []
    group_of: dict[str, list[Service]] = {}
    for service in cfg.services.values():
        merged = [service]
        for target in service.targets:
            other = group_of.get(target.id)
            if other is not None and other is not merged:
                groups.remove(other)
                merged = _merge(group_of, other, merged)
            group_of[target.id] = merged
        groups.append(merged)
    return groups


def _merge(
    group_of: dict[str, list[Service]],
    first: list[Service],
    second: list[Service],
) -> list[Service]:
    first.extend(second)
    for service in second:
        for target in service.targets:
            if target.id in group_of:
                group_of[target.id] = first
    return first


def _update_targets(
    pool: models.Pool, group: list[Service], entries: int
) -> None:
    targets: dict[str, models.TargetLimit] = {}
    for service in group:
        for target in service.targets:
            target_limit = pool.targets.get(target.id)
            targets[target.id] = target_limit or models.TargetLimit(
                window.initial_limit(service.slots, entries), service.slots
            )
    pool.targets = targets
    pool.window = sum(target_limit.limit for target_limit in targets.values())
