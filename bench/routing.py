"""Scenes of the choice of targets, beside baselines and an omniscient choice.

Both deployments at the brief's sizes, three seeds pooled. Client latency is
left out, since nothing here changes it; calls carry no idempotency key, so
that claims, which have their own bench, don't blur the figures.
"""

import dataclasses
import multiprocessing

from bench import deployments
from bench import entries
from bench import fakes
from bench import report
from bench import routing_baselines
from bench import routing_scenes
from bench import routing_ways
from bench import tally

_SEEDS = (4, 5, 6)
_PROCESSES = 3
_SETTLE_SECONDS = 2.5
_MILLISECONDS = 1000.0
OURS = "agateshelf"

_COMPARED = (
    routing_scenes.Scene.STEADY_70,
    routing_scenes.Scene.NOISY,
    routing_scenes.Scene.STRAGGLER,
)
_LIMIT_TO_BASELINE = 0.5
_LIMIT_TO_OMNISCIENT = 1.5
_LIMIT_STEADY = 1.2
_LIMIT_EXTRA = 0.05
_LIMIT_FAST_FAILURES = 30.0

WAYS: dict[str, type[routing_baselines.Way]] = {
    "random": routing_baselines.Random,
    "round-robin": routing_baselines.RoundRobin,
    "own-least": routing_baselines.OwnLeast,
    "polled-two": routing_baselines.PolledTwo,
    "omniscient": routing_baselines.Omniscient,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One way of choosing in one scene of one deployment."""

    way: str
    scene: routing_scenes.Scene
    deployment: deployments.Deployment


@dataclasses.dataclass(frozen=True, slots=True)
class Shown:
    """What a run has shown, over all seeds.

    Attributes:
        p50: Seconds that half the good answers took at most.
        p99: The same for 99 of 100.
        p999: The same for 999 of 1,000.
        extra: Attempts beyond one for each call, as a share of calls.
        errors: Error answers delivered, for each run.
        unanswered: Calls that got neither answer, for each run.
        probes: Probes of targets, a second and service.
        late_to_draining: Attempts at a target that drained for a while.
        messages: Messages between entries, for each call.
        kilobytes: Kilobytes of them, for each entry and second.
    """

    p50: float
    p99: float
    p999: float
    extra: float
    errors: float
    unanswered: float
    probes: float
    late_to_draining: int
    messages: float
    kilobytes: float


def _seconds(scene: routing_scenes.Scene) -> float:
    match scene:
        case routing_scenes.Scene.NOISY:
            return 2.4
        case routing_scenes.Scene.STRAGGLER | routing_scenes.Scene.REPLACED:
            return 0.9
        case _:
            return 0.6


def play(run: Run, seed: int) -> fakes.World:
    """Play one seed of a run to its end."""
    seconds = _seconds(run.scene)
    world = fakes.World(run.deployment, seed)
    world.sends_keys = False
    if run.way == OURS:
        routing_scenes.stage(world, run.scene, seconds)
        entries.create_entries(world)
        routing_scenes.stage_entries(world, run.scene, seconds)
    else:
        way = (WAYS | routing_ways.WAYS)[run.way](world)
        routing_baselines.create_entries(world, way, deployments.ENTRIES)
        routing_scenes.stage(world, run.scene, seconds)
    world.offer_load(routing_scenes.load_of(run.scene), seconds)
    world.run(seconds)
    probes = world.tally.probes_sent
    world.run(seconds + _SETTLE_SECONDS)
    world.tally.probes_sent = probes
    return world


def show(run: Run) -> Shown:
    """Play all seeds of a run and pool what they show."""
    seen = [play(run, seed).tally for seed in _SEEDS]
    latencies = [t for one in seen for t in one.all_latencies()]
    arrived = sum(one.arrived for one in seen)
    attempts = sum(one.attempts for one in seen)
    errors = sum(one.errors for one in seen)
    sent = sum(one.peer_bytes for one in seen)
    probes = sum(one.probes_sent for one in seen)
    seconds = len(_SEEDS) * _seconds(run.scene)
    return Shown(
        p50=tally.percentile(latencies, 0.5),
        p99=tally.percentile(latencies, 0.99),
        p999=tally.percentile(latencies, 0.999),
        extra=max(0.0, attempts / arrived - 1),
        errors=errors / len(_SEEDS),
        unanswered=(arrived - errors - len(latencies)) / len(_SEEDS),
        probes=probes / seconds / len(run.deployment.services),
        late_to_draining=sum(one.late_to_draining for one in seen),
        messages=sum(one.peer_messages for one in seen) / arrived,
        kilobytes=sent / deployments.ENTRIES / seconds / 1000,
    )


def _plan() -> list[Run]:
    runs = []
    for deployment in deployments.DEPLOYMENTS:
        for scene in routing_scenes.Scene:
            runs.append(Run(OURS, scene, deployment))
            if scene in _COMPARED:
                runs.extend(Run(way, scene, deployment) for way in WAYS)
    return runs


def run() -> list[report.Figure]:
    """Play all scenes and judge them."""
    plan = _plan()
    with multiprocessing.Pool(_PROCESSES) as pool:
        shown = dict(zip(plan, pool.map(show, plan, chunksize=1), strict=True))
    figures: list[report.Figure] = []
    for one, result in shown.items():
        figures.extend(_figures(one, result, shown))
    return figures


def _figures(
    one: Run, result: Shown, shown: dict[Run, Shown]
) -> list[report.Figure]:
    base = f"routing/{one.deployment.name}/{one.scene.value}"
    name = f"{base}/{one.way}" if one.way != OURS else base
    figures = [
        report.Figure(f"{name}/p50", result.p50 * _MILLISECONDS, "ms"),
        report.Figure(f"{name}/p99", result.p99 * _MILLISECONDS, "ms"),
        report.Figure(f"{name}/p99.9", result.p999 * _MILLISECONDS, "ms"),
    ]
    if one.way != OURS:
        return figures
    figures.extend(_costs(base, result))
    figures.extend(_scene_figures(base, one, result))
    if one.scene in _COMPARED:
        figures.extend(_ratios(base, one, result, shown))
    return figures


def _at_most(limit: float) -> report.Bound:
    return report.Bound(report.Side.AT_MOST, limit)


def _costs(base: str, result: Shown) -> list[report.Figure]:
    return [
        report.Figure(
            f"{base}/extra", result.extra, "of calls", _at_most(_LIMIT_EXTRA)
        ),
        report.Figure(
            f"{base}/probes", result.probes, "/s service", _at_most(0)
        ),
        report.Figure(f"{base}/messages", result.messages, "per call"),
        report.Figure(f"{base}/control", result.kilobytes, "kB/s entry"),
    ]


def _scene_figures(base: str, one: Run, result: Shown) -> list[report.Figure]:
    match one.scene:
        case routing_scenes.Scene.DRAIN:
            return [
                report.Figure(
                    f"{base}/late-to-draining",
                    result.late_to_draining,
                    "attempts",
                    _at_most(0),
                )
            ]
        case routing_scenes.Scene.FAIL_FAST:
            targets = len(one.deployment.services)
            bound = _at_most(_LIMIT_FAST_FAILURES)
        case routing_scenes.Scene.HALF_FAILING:
            targets = sum(s.targets for s in one.deployment.services) // 2
            bound = _at_most(_LIMIT_FAST_FAILURES)
        case routing_scenes.Scene.REPLACED | routing_scenes.Scene.AWAY:
            # The calls that an entry held when it died.
            unanswered = result.unanswered
            return [report.Figure(f"{base}/lost", unanswered, "calls")]
        case _:
            return []
    value = result.errors / targets
    return [report.Figure(f"{base}/errors", value, "per target", bound)]


def _ratios(
    base: str, one: Run, result: Shown, shown: dict[Run, Shown]
) -> list[report.Figure]:
    others = {
        way: shown[Run(way, one.scene, one.deployment)].p99 for way in WAYS
    }
    omniscient = others.pop("omniscient")
    best = min(others.values())
    steady = one.scene is routing_scenes.Scene.STEADY_70
    limit = _LIMIT_STEADY if steady else _LIMIT_TO_OMNISCIENT
    figures = [
        report.Figure(
            f"{base}/p99-to-omniscient",
            result.p99 / omniscient,
            "ratio",
            _at_most(limit),
        )
    ]
    if not steady:
        figures.append(
            report.Figure(
                f"{base}/p99-to-best-baseline",
                result.p99 / best,
                "ratio",
                _at_most(_LIMIT_TO_BASELINE),
            )
        )
    return figures
