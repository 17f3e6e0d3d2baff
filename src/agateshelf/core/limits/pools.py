"""Pools: services that share targets share their limits and their queue."""

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import models
from agateshelf.core.limits import queueing
from agateshelf.core.limits import window

Service = configuration_models.Service


def adopt_configuration(
    limits: models.LimitsState, cfg: configuration_models.Configuration
) -> None:
    """Follow a new configuration, keeping what is known of targets.

    A call that has passed keeps the pool it came to; one that waits moves.
    """
    pools: dict[str, models.Pool] = {}
    for group in _groups(cfg):
        names = frozenset(service.name for service in group)
        known = limits.pools.get(group[0].name)
        if known is None or known.services != names:
            known = models.Pool(names, {}, 0.0, models.create_queue())
        _follow_targets(known, group, limits.entries)
        for name in names:
            pools[name] = known
    limits.pools = pools
    _move_waiting(limits)


def adopt_entries(limits: models.LimitsState, entries: int) -> None:
    """Scale the limits when the number of entries has changed."""
    if entries == limits.entries:
        return
    factor = limits.entries / entries
    limits.entries = entries
    for pool in {id(pool): pool for pool in limits.pools.values()}.values():
        window.scale(pool, factor)


def _move_waiting(limits: models.LimitsState) -> None:
    """Move the calls that wait in a replaced pool to the one in its place."""
    for ticket in limits.tickets.values():
        pool = limits.pools.get(ticket.service.name, ticket.pool)
        waits = ticket.phase is models.Phase.QUEUED
        if waits and pool is not ticket.pool:
            queueing.remove(ticket.pool.queue, ticket)
            ticket.pool = pool
            queueing.push(pool.queue, ticket, ticket.arrived)


def _groups(cfg: configuration_models.Configuration) -> list[list[Service]]:
    """Return the services, those that share a target together."""
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


def _follow_targets(
    pool: models.Pool, group: list[Service], entries: int
) -> None:
    targets: dict[str, models.TargetLimit] = {}
    for service in group:
        for target in service.targets:
            known = pool.targets.get(target.id)
            targets[target.id] = known or models.TargetLimit(
                window.first_limit(service.slots, entries), service.slots
            )
    pool.targets = targets
    pool.window = sum(known.limit for known in targets.values())
