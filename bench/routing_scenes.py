"""Scenes of the routing bench: what happens to targets and entries."""

import dataclasses
import enum

from bench import fakes

_BURST_SHORTEST_SECONDS = 0.005
_BURST_LONGEST_SECONDS = 0.2
_BURST_FACTOR = 10.0
_BURST_GAP_SECONDS = 1.0


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


@dataclasses.dataclass(frozen=True, slots=True)
class Length:
    """How long a run takes, in virtual seconds."""

    load: float
    whole: float


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
                world.at(0.4 * until, _begin_drain, target)
        case Scene.FAIL_FAST:
            for target in _firsts(world):
                world.at(0.2 * until, _set_failing, target, True)
                world.at(0.8 * until, _set_failing, target, False)
        case Scene.HALF_FAILING:
            for target in targets[::2]:
                world.at(0.2 * until, _set_failing, target, True)
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


def _begin_drain(target: fakes.FakeTarget) -> None:
    target.draining = True


def _set_failing(target: fakes.FakeTarget, failing: bool) -> None:
    target.failing = failing
