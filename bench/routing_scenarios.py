"""Scenarios of the routing bench.

A scenario schedules faults and other events of targets, entries and the store
during a run.
"""

import dataclasses
import enum

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.core.routing import groups
from agateshelf.core.routing import models as routing_models
from bench import entries
from bench import fakes

_MIN_BURST_SECONDS = 0.005
_MAX_BURST_SECONDS = 0.2
_BURST_SLOWDOWN = 10.0
_MEAN_BURST_GAP_SECONDS = 1.0
_COLD_SLOWDOWN = 5.0
_COLD_SECONDS = 0.3
_REPLACEMENT_INTERVAL_SECONDS = 0.2
_MEMBERSHIP_LAG_SECONDS = 0.3


class Scenario(enum.Enum):
    """Load and events of a run; the values name the printed figures.

    Attributes:
        STEADY_70: 70% load without events.
        STEADY_90: 90% load without events.
        NOISY: Targets slow down 10 times in bursts of up to 0.2 s, as with
            noisy neighbours on their instances.
        STRAGGLER: One target of each service becomes and stays slow.
        DRAIN: One target of each service drains.
        FAIL_FAST: One target of each service answers errors at once.
        HALF_FAILING: Every second target answers errors at once.
        COLD_STARTS: One target of each service joins and is slow at first.
        REPLACED: Entries are replaced one after the other; every second one
            crashes.
        STORE_OUTAGE: The store is out of service, and an entry crashes while
            membership is not updated.
    """

    STEADY_70 = "steady-70"
    STEADY_90 = "steady-90"
    NOISY = "noisy-neighbours"
    STRAGGLER = "straggler"
    DRAIN = "drain-in-peak"
    FAIL_FAST = "fail-fast"
    HALF_FAILING = "half-failing-fast"
    COLD_STARTS = "cold-starts"
    REPLACED = "entries-replaced"
    STORE_OUTAGE = "list-and-store-away"


def offered_load(scenario: Scenario) -> float:
    """Return the load of a scenario as a share of all slots."""
    match scenario:
        case Scenario.STEADY_90:
            return 0.9
        case Scenario.HALF_FAILING:
            return 0.35
        case _:
            return 0.7


def schedule_target_events(
    world: fakes.World, scenario: Scenario, until: float
) -> None:
    """Schedule the events of a scenario at the targets."""
    targets = list(world.targets.values())
    match scenario:
        case Scenario.NOISY:
            for target in targets:
                _schedule_burst(world, target, until)
        case Scenario.STRAGGLER:
            for target in _first_targets(world):
                world.call_at(
                    0.2 * until, world.set_slowdown, target, _BURST_SLOWDOWN
                )
        case Scenario.DRAIN:
            for target in _first_targets(world):
                world.call_at(0.4 * until, _start_drain, world, target)
        case Scenario.FAIL_FAST:
            for target in _first_targets(world):
                world.call_at(0.2 * until, _set_failing, target, True)
                world.call_at(0.8 * until, _set_failing, target, False)
        case Scenario.HALF_FAILING:
            for target in targets[::2]:
                world.call_at(0.2 * until, _set_failing, target, True)
        case Scenario.COLD_STARTS:
            _schedule_cold_starts(world, until)
        case _:
            pass


def schedule_entry_events(
    world: fakes.World, scenario: Scenario, until: float
) -> None:
    """Schedule the events of a scenario at the entries and the store."""
    match scenario:
        case Scenario.REPLACED:
            _schedule_replacements(world, until)
        case Scenario.STORE_OUTAGE:
            world.store.unavailable = True
            world.call_at(0.3 * until, _crash_owner, world)
        case _:
            pass


def _first_targets(world: fakes.World) -> list[fakes.FakeTarget]:
    """Return the first target of each service."""
    services = world.cfg.services.values()
    return [world.targets[service.targets[0].id] for service in services]


def _schedule_burst(
    world: fakes.World, target: fakes.FakeTarget, until: float
) -> None:
    gap = world.rng.expovariate(1 / _MEAN_BURST_GAP_SECONDS)
    length = world.rng.uniform(_MIN_BURST_SECONDS, _MAX_BURST_SECONDS)
    start = world.now + gap
    if start > until:
        return
    world.call_at(start, world.set_slowdown, target, _BURST_SLOWDOWN)
    world.call_at(start + length, world.set_slowdown, target, 1.0)
    world.call_at(start + length, _schedule_burst, world, target, until)


def _schedule_cold_starts(world: fakes.World, until: float) -> None:
    """Schedule a configuration that adds a cold target to each service."""
    full = world.cfg
    services = {
        name: dataclasses.replace(service, targets=service.targets[:-1])
        for name, service in full.services.items()
    }
    world.cfg = dataclasses.replace(full, services=services)
    world.call_at(0.3 * until, _add_cold_targets, world, full)


def _add_cold_targets(world: fakes.World, full: models.Configuration) -> None:
    world.cfg = dataclasses.replace(full, version=full.version + 1)
    for service in full.services.values():
        target = world.targets[service.targets[-1].id]
        world.set_slowdown(target, _COLD_SLOWDOWN)
        world.call_at(
            world.now + _COLD_SECONDS, world.set_slowdown, target, 1.0
        )
    for entry in world.entries:
        entry.post(events.ConfigurationRead(world.cfg))


def _schedule_replacements(world: fakes.World, until: float) -> None:
    for n in range(int(until / _REPLACEMENT_INTERVAL_SECONDS)):
        when = (n + 0.5) * _REPLACEMENT_INTERVAL_SECONDS
        world.call_at(when, _replace, world, n % len(world.entries), n % 2 == 1)


def _replace(world: fakes.World, index: int, crashes: bool) -> None:
    entries.replace_entry(
        world, index, crashes=crashes, lag=_MEMBERSHIP_LAG_SECONDS
    )


def _crash_owner(world: fakes.World) -> None:
    """Crash the owner of the first service; membership is not updated."""
    service = next(iter(world.cfg.services))
    live = {entry.id: entry.domain for entry in world.entries}
    routing = routing_models.RoutingState(failure_domains=live)
    owner = groups.owner_of(routing, f"{service}/0")
    ids = [entry.id for entry in world.entries]
    crashed = world.entries.pop(ids.index(str(owner)))
    del world.reachable[crashed.id]
    crashed.crash()


def _start_drain(world: fakes.World, target: fakes.FakeTarget) -> None:
    target.draining = True
    target.draining_since = world.now


def _set_failing(target: fakes.FakeTarget, failing: bool) -> None:
    target.failing = failing
