"""Scenes of the routing bench: what happens to targets and entries."""

import dataclasses
import enum

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.core.routing import groups
from agateshelf.core.routing import models as routing_models
from bench import entries
from bench import fakes

_BURST_SHORTEST_SECONDS = 0.005
_BURST_LONGEST_SECONDS = 0.2
_BURST_FACTOR = 10.0
_BURST_GAP_SECONDS = 1.0
_COLD_FACTOR = 5.0
_COLD_SECONDS = 0.3
_REPLACEMENT_SECONDS = 0.2
_MEMBERSHIP_LAG_SECONDS = 0.3


class Scene(enum.Enum):
    """What a run is about."""

    STEADY_70 = "steady-70"
    STEADY_90 = "steady-90"
    NOISY = "noisy-neighbours"
    STRAGGLER = "straggler"
    DRAIN = "drain-in-peak"
    FAIL_FAST = "fail-fast"
    HALF_FAILING = "half-failing-fast"
    COLD_STARTS = "cold-starts"
    REPLACED = "entries-replaced"
    AWAY = "list-and-store-away"


def load_of(scene: Scene) -> float:
    """Return the share of all slots that a scene's calls take."""
    match scene:
        case Scene.STEADY_90:
            return 0.9
        case Scene.HALF_FAILING:
            return 0.35
        case _:
            return 0.7


def stage(world: fakes.World, scene: Scene, until: float) -> None:
    """Schedule what a scene does to the targets."""
    targets = list(world.targets.values())
    match scene:
        case Scene.NOISY:
            for target in targets:
                _next_burst(world, target, until)
        case Scene.STRAGGLER:
            for target in _firsts(world):
                world.at(0.2 * until, world.slow, target, _BURST_FACTOR)
        case Scene.DRAIN:
            for target in _firsts(world):
                world.at(0.4 * until, _begin_drain, world, target)
        case Scene.FAIL_FAST:
            for target in _firsts(world):
                world.at(0.2 * until, _set_failing, target, True)
                world.at(0.8 * until, _set_failing, target, False)
        case Scene.HALF_FAILING:
            for target in targets[::2]:
                world.at(0.2 * until, _set_failing, target, True)
        case Scene.COLD_STARTS:
            _stage_cold_starts(world, until)
        case _:
            pass


def stage_entries(world: fakes.World, scene: Scene, until: float) -> None:
    """Schedule what a scene does to the entries and the platform."""
    match scene:
        case Scene.REPLACED:
            _stage_replacements(world, until)
        case Scene.AWAY:
            world.store.away = True
            world.at(0.3 * until, _die_unlisted, world)
        case _:
            pass


def _firsts(world: fakes.World) -> list[fakes.FakeTarget]:
    """Return the first target of each service."""
    services = world.cfg.services.values()
    return [world.targets[service.targets[0].id] for service in services]


def _next_burst(
    world: fakes.World, target: fakes.FakeTarget, until: float
) -> None:
    gap = world.rng.expovariate(1 / _BURST_GAP_SECONDS)
    length = world.rng.uniform(_BURST_SHORTEST_SECONDS, _BURST_LONGEST_SECONDS)
    begin = world.now + gap
    if begin > until:
        return
    world.at(begin, world.slow, target, _BURST_FACTOR)
    world.at(begin + length, world.slow, target, 1.0)
    world.at(begin + length, _next_burst, world, target, until)


def _stage_cold_starts(world: fakes.World, until: float) -> None:
    """Have one target of each service join, cold, by a new configuration."""
    whole = world.cfg
    services = {
        name: dataclasses.replace(service, targets=service.targets[:-1])
        for name, service in whole.services.items()
    }
    world.cfg = dataclasses.replace(whole, services=services)
    world.at(0.3 * until, _join, world, whole)


def _join(world: fakes.World, whole: models.Configuration) -> None:
    world.cfg = dataclasses.replace(whole, version=whole.version + 1)
    for service in whole.services.values():
        target = world.targets[service.targets[-1].id]
        world.slow(target, _COLD_FACTOR)
        world.at(world.now + _COLD_SECONDS, world.slow, target, 1.0)
    for entry in world.entries:
        entry.post(events.ConfigurationRead(world.cfg))


def _stage_replacements(world: fakes.World, until: float) -> None:
    for n in range(int(until / _REPLACEMENT_SECONDS)):
        when = (n + 0.5) * _REPLACEMENT_SECONDS
        world.at(when, _replace, world, n % len(world.entries), n % 2 == 1)


def _replace(world: fakes.World, place: int, dies: bool) -> None:
    entries.replace_entry(world, place, dies=dies, lag=_MEMBERSHIP_LAG_SECONDS)


def _die_unlisted(world: fakes.World) -> None:
    """End the home of the first service; nobody is told."""
    service = next(iter(world.cfg.services))
    live = {entry.id: entry.domain for entry in world.entries}
    routing = routing_models.RoutingState(failure_domains=live)
    home = groups.owner_of(routing, f"{service}/0")
    places = [entry.id for entry in world.entries]
    dead = world.entries.pop(places.index(str(home)))
    del world.reachable[dead.id]
    dead.die()


def _begin_drain(world: fakes.World, target: fakes.FakeTarget) -> None:
    target.draining = True
    target.draining_since = world.now


def _set_failing(target: fakes.FakeTarget, failing: bool) -> None:
    target.failing = failing
