"""Overload, floods, priorities and callers' rates, in virtual time."""

import collections
from collections import abc
import dataclasses
import itertools
from typing import Final

from agateshelf.core.configuration import models
from agateshelf.core.limits import const as limit_const
from bench import entries
from bench import fakes
from bench import report
from bench import sizes
from bench import tally

_SEEDS: Final = (1, 2, 3)
_WARM_SECONDS: Final = 0.6
_MEASURED_SECONDS: Final = 1.2
_END_SECONDS: Final = _WARM_SECONDS + _MEASURED_SECONDS
_P99: Final = 0.99

_STEADY_SHARE: Final = 0.9
_OVERLOAD_SHARE: Final = 1.5
_LEAST_ANSWERED_SHARE: Final = 0.9
_MOST_OVERLOAD_P99: Final = 2.0
_MOST_EXTRA_ATTEMPTS: Final = 0.05

_OTHERS: Final = tuple(f"caller{n}" for n in range(9))
_OTHERS_SHARE: Final = 0.63
_FLOOD: Final = "flood"
_CALM_SHARE: Final = 0.07
_FLOOD_SHARE: Final = 0.7
_MOST_FLOOD_P99: Final = 1.2

_URGENT: Final = "urgent"
_URGENT_SHARE: Final = 0.6
_BACKGROUND_SHARE: Final = 1.5
_APART_TARGETS: Final = 4
_MOST_PRIORITY_P99: Final = 1.2

_RATE: Final = 280.0
_RATE_CALLER: Final = "yard"
_MOVE_SECONDS: Final = 2.0
_RATE_SECONDS: Final = 6.0
_LEAST_USED: Final = 0.6


class Entry(entries.ReducerEntry):
    """An entry that notes what each caller waits."""

    def __init__(self, scene: "Scene", name: str, place: int) -> None:
        super().__init__(scene.world, name, place)
        self.scene = scene

    def record_success(self, call: fakes.FakeCall) -> None:
        """Record a good answer."""
        super().record_success(call)
        seconds = self.world.now - call.arrived_at
        self.scene.seconds[call.caller].append(seconds)
        self.scene.answered_at[call.caller].append(self.world.now)


class Scene:
    """One run of a deployment with entries that note what callers wait.

    Attributes:
        world: The fakes.
        service: The service that is looked at.
        seconds: Seconds to each good answer, by caller.
        answered_at: Times of good answers, by caller.
    """

    def __init__(
        self,
        deployment: sizes.Deployment,
        seed: int,
        cfg: models.Configuration | None = None,
    ) -> None:
        self.world = fakes.World(deployment, seed, cfg)
        self.service = deployment.services[0].name
        self.seconds: dict[str, list[float]] = collections.defaultdict(list)
        self.answered_at: dict[str, list[float]] = collections.defaultdict(list)
        for n in range(sizes.ENTRIES):
            entry = Entry(self, f"e{n}", n)
            self.world.entries.append(entry)
            self.world.reachable[entry.id] = entry
        entries.publish_live_entries(self.world)

    def offer(self, caller: str, share: float, service: str = "") -> None:
        """Have a caller send a share of what the service's slots bear."""
        service = service or self.service
        rate = share * self.world.capacity(service)
        self.world.offer(service, rate, _END_SECONDS, caller)

    def run(self) -> None:
        """Run the scene; what came while it warmed up does not count."""
        self.world.run(_WARM_SECONDS)
        self.world.tally = tally.Tally()
        self.seconds.clear()
        self.answered_at.clear()
        self.world.run(_END_SECONDS)

    def answered_share(self) -> float:
        """Return good answers as a share of what the slots can answer."""
        answered = len(self.world.tally.latencies[self.service])
        capacity = self.world.capacity(self.service) * _MEASURED_SECONDS
        return answered / capacity

    def refusal_seconds(self) -> list[float]:
        """Return the seconds until each refusal."""
        return self.world.tally.refusal_seconds

    def extra_attempts(self) -> float:
        """Return attempts beyond one for each call sent, as a share."""
        seen = self.world.tally
        sent = seen.arrived - sum(seen.refused_by.values())
        return max(0, seen.attempts - sent) / seen.arrived


def run() -> list[report.Figure]:
    """Run every scene on both deployments, each with all seeds."""
    figures: list[report.Figure] = []
    for deployment in sizes.DEPLOYMENTS:
        figures.extend(_measure_overload(deployment))
        figures.extend(_measure_flood(deployment))
        figures.extend(_measure_priority(deployment))
    figures.extend(_measure_rate(sizes.HARBORLINE))
    return figures


def _at_most(name: str, value: float, limit: float) -> report.Figure:
    bound = report.Bound(report.Comparison.AT_MOST, limit)
    return report.Figure(name, value, "", bound)


def _at_least(name: str, value: float, limit: float) -> report.Figure:
    bound = report.Bound(report.Comparison.AT_LEAST, limit)
    return report.Figure(name, value, "", bound)


def _p99(scenes: list[Scene], callers: abc.Sequence[str]) -> float:
    """Return the 99th percentile of callers' answers in all scenes."""
    lists = (scene.seconds[caller] for scene in scenes for caller in callers)
    return tally.percentile(list(itertools.chain(*lists)), _P99)


def _refused_share(scenes: list[Scene], callers: abc.Sequence[str]) -> float:
    refused = answered = 0
    for scene in scenes:
        seen = scene.world.tally
        refused += sum(seen.refused_by[caller] for caller in callers)
        answered += sum(seen.answered_by[caller] for caller in callers)
    return refused / (refused + answered)


def _measure_overload(deployment: sizes.Deployment) -> list[report.Figure]:
    """The same service steady at 90% of its slots, then at 150%."""
    name = f"overload/{deployment.name}"
    callers = (_FLOOD,)
    steady = [_even_scene(deployment, s, _STEADY_SHARE) for s in _SEEDS]
    loaded = [_even_scene(deployment, s, _OVERLOAD_SHARE) for s in _SEEDS]
    answered = min(scene.answered_share() for scene in loaded)
    before = _p99(steady, callers)
    after = _p99(loaded, callers)
    extra = max(scene.extra_attempts() for scene in steady + loaded)
    refusals = [s for scene in loaded for s in scene.refusal_seconds()]
    refused = _refused_share(steady, callers)
    slowest = tally.percentile(refusals, _P99)
    return [
        _at_least(f"{name}/answered-share", answered, _LEAST_ANSWERED_SHARE),
        _at_most(
            f"{name}/p99-over-steady-90", after / before, _MOST_OVERLOAD_P99
        ),
        _at_most(f"{name}/extra-attempts", extra, _MOST_EXTRA_ATTEMPTS),
        report.Figure(f"{name}/steady-90-p99", before * 1000, "ms"),
        report.Figure(f"{name}/steady-90-refused", refused, "share"),
        report.Figure(f"{name}/refusal-p99", slowest * 1000, "ms"),
    ]


def _even_scene(deployment: sizes.Deployment, seed: int, share: float) -> Scene:
    scene = Scene(deployment, seed)
    scene.offer(_FLOOD, share)
    scene.run()
    return scene


def _measure_flood(deployment: sizes.Deployment) -> list[report.Figure]:
    """One caller floods, held back by fair turns alone or by its rate."""
    calm = [
        _flood_scene(deployment, seed, _CALM_SHARE, rated=False)
        for seed in _SEEDS
    ]
    before = _p99(calm, _OTHERS)
    figures: list[report.Figure] = []
    for kind, rated in (("weights", False), ("rate", True)):
        name = f"flood-{kind}/{deployment.name}"
        flood = [
            _flood_scene(deployment, seed, _FLOOD_SHARE, rated=rated)
            for seed in _SEEDS
        ]
        ratio = _p99(flood, _OTHERS) / before
        refused = _refused_share(flood, _OTHERS)
        extra = max(scene.extra_attempts() for scene in flood)
        figures += [
            _at_most(f"{name}/others-p99-ratio", ratio, _MOST_FLOOD_P99),
            _at_most(f"{name}/extra-attempts", extra, _MOST_EXTRA_ATTEMPTS),
            report.Figure(f"{name}/others-refused", refused, "share"),
        ]
    return figures


def _flood_scene(
    deployment: sizes.Deployment, seed: int, share: float, *, rated: bool
) -> Scene:
    shape = deployment.services[0]
    slots = shape.targets * deployment.slots
    rate = 2 * _CALM_SHARE * slots / sizes.MEAN_SERVICE_SECONDS
    shares = [models.CallerShare(_FLOOD, 1.0, rate if rated else None)]
    shares.extend(models.CallerShare(name, 1.0, None) for name in _OTHERS)
    cfg = sizes.create_configuration(
        deployment, lambda s: dataclasses.replace(s, callers=tuple(shares))
    )
    scene = Scene(deployment, seed, cfg)
    for caller in _OTHERS:
        scene.offer(caller, _OTHERS_SHARE / len(_OTHERS))
    scene.offer(_FLOOD, share)
    scene.run()
    return scene


def _measure_priority(deployment: sizes.Deployment) -> list[report.Figure]:
    """Background calls delay no urgent ones, on the same targets or others."""
    urgent = (_URGENT,)
    seeds = _SEEDS[:1]
    alone = [_priority_scene(deployment, s, 0.0, shared=True) for s in seeds]
    before = _p99(alone, urgent)
    figures: list[report.Figure] = []
    for kind, shared in (("shared", True), ("apart", False)):
        beside = [
            _priority_scene(deployment, s, _BACKGROUND_SHARE, shared=shared)
            for s in seeds
        ]
        ratio = _p99(beside, urgent) / before
        name = f"priority-{kind}/{deployment.name}"
        refused = _refused_share(beside, urgent)
        figures += [
            _at_most(f"{name}/urgent-p99-ratio", ratio, _MOST_PRIORITY_P99),
            report.Figure(f"{name}/urgent-refused", refused, "share"),
        ]
    return figures


def _priority_scene(
    deployment: sizes.Deployment, seed: int, background: float, *, shared: bool
) -> Scene:
    cfg = sizes.create_configuration(deployment)
    urgent, *_, pulls = cfg.services.values()
    targets = urgent.targets if shared else pulls.targets[:_APART_TARGETS]
    pulls = dataclasses.replace(pulls, targets=targets)
    services = {urgent.name: urgent, pulls.name: pulls}
    scene = Scene(deployment, seed, models.Configuration(1, services))
    scene.offer(_URGENT, _URGENT_SHARE)
    if background:
        scene.offer("pulls", background, pulls.name)
    scene.run()
    return scene


def _measure_rate(deployment: sizes.Deployment) -> list[report.Figure]:
    """A caller's load moves from entry to entry; its rate holds over all."""
    scenes = [_rate_scene(deployment, seed) for seed in _SEEDS]
    times = [scene.answered_at[_RATE_CALLER] for scene in scenes]
    most = max(_most_in_a_second(list(seen)) for seen in times)
    used = min(len(seen) for seen in times) / (_RATE * _RATE_SECONDS)
    sent = max(scene.world.tally.peer_bytes for scene in scenes)
    sent_by_each = sent / sizes.ENTRIES / _RATE_SECONDS
    name = "rates"
    allowed = _RATE + _burst()
    return [
        _at_most(f"{name}/most-in-a-second", most, allowed),
        _at_least(f"{name}/used-while-moving", used, _LEAST_USED),
        report.Figure(f"{name}/peer-bytes", sent_by_each, "B/s per entry"),
    ]


def _rate_scene(deployment: sizes.Deployment, seed: int) -> Scene:
    shares = (models.CallerShare(_RATE_CALLER, 1.0, _RATE),)
    cfg = sizes.create_configuration(
        deployment, lambda s: dataclasses.replace(s, callers=shares)
    )
    scene = Scene(deployment, seed, cfg)
    world = scene.world
    number = itertools.count(1)

    def send() -> None:
        moves = int(world.now / _MOVE_SECONDS) + seed
        entry = world.entries[moves * 5 % sizes.ENTRIES]
        size = world.rng.lognormvariate(0, 0.5)
        call = fakes.FakeCall(
            next(number), scene.service, _RATE_CALLER, True, size, world.now
        )
        entry.request(call)
        world.call_at(world.now + 1 / (2 * _RATE), send)

    world.call_at(0.0, send)
    world.run(_RATE_SECONDS)
    return scene


def _burst() -> float:
    """Return the calls above a rate that all entries may pass at once."""
    burst = limit_const.RATE_BURST_SECONDS * _RATE
    return burst + sizes.ENTRIES * limit_const.MIN_RATE_BURST


def _most_in_a_second(times: list[float]) -> int:
    most = 0
    first = 0
    for last, when in enumerate(times):
        while times[first] <= when - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
