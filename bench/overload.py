"""Benchmarks overload, flooding callers, priorities and rate limits.

The scenarios run in virtual time on the benchmark deployments; the bounds check
what docs/LIMITS.md states about load shedding and fairness between callers.
"""

import collections
from collections import abc
import dataclasses
import itertools
from typing import Final

from agateshelf.core.configuration import models
from agateshelf.core.limits import const as limit_const
from bench import deployments
from bench import entries
from bench import fakes
from bench import report
from bench import tally

_SEEDS: Final = (1, 2, 3)
_WARMUP_SECONDS: Final = 0.6
_MEASURED_SECONDS: Final = 1.2
_END_SECONDS: Final = _WARMUP_SECONDS + _MEASURED_SECONDS
_P99: Final = 0.99

_STEADY_SHARE: Final = 0.9
_OVERLOAD_SHARE: Final = 1.5
_MIN_ANSWERED_SHARE: Final = 0.9
_MAX_OVERLOAD_P99_RATIO: Final = 2.0
_MAX_EXTRA_ATTEMPTS: Final = 0.05

_OTHER_CALLERS: Final = tuple(f"caller{n}" for n in range(9))
_OTHER_CALLERS_SHARE: Final = 0.63
_FLOODING_CALLER: Final = "flood"
_BASELINE_SHARE: Final = 0.07
_FLOOD_SHARE: Final = 0.7
_MAX_FLOOD_P99_RATIO: Final = 1.2

_URGENT_CALLER: Final = "urgent"
_URGENT_SHARE: Final = 0.6
_BACKGROUND_SHARE: Final = 1.5
_SEPARATE_TARGETS: Final = 4
_MAX_PRIORITY_P99_RATIO: Final = 1.2

_RATE_LIMIT: Final = 280.0
_RATE_LIMITED_CALLER: Final = "yard"
_MOVE_INTERVAL_SECONDS: Final = 2.0
_RATE_SCENARIO_SECONDS: Final = 6.0
_MIN_USED_SHARE: Final = 0.6


class Entry(entries.ReducerEntry):
    """An entry that records the latency of each successful answer by caller."""

    def __init__(self, scenario: "Scenario", name: str, index: int) -> None:
        super().__init__(scenario.world, name, index)
        self.scenario = scenario

    def record_success(self, call: fakes.FakeCall) -> None:
        """Record a successful answer."""
        super().record_success(call)
        seconds = self.world.now - call.arrived_at
        self.scenario.seconds[call.caller].append(seconds)
        self.scenario.answered_at[call.caller].append(self.world.now)


class Scenario:
    """One run of a deployment that records latencies by caller.

    Attributes:
        world: The simulation.
        service: Name of the service that is measured.
        seconds: Latency of each successful answer in seconds, by caller.
        answered_at: Virtual time of each successful answer, by caller.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        seed: int,
        cfg: models.Configuration | None = None,
    ) -> None:
        self.world = fakes.World(deployment, seed, cfg)
        self.service = deployment.services[0].name
        self.seconds: dict[str, list[float]] = collections.defaultdict(list)
        self.answered_at: dict[str, list[float]] = collections.defaultdict(list)
        for n in range(deployments.ENTRIES):
            entry = Entry(self, f"e{n}", n)
            self.world.entries.append(entry)
            self.world.reachable[entry.id] = entry
        entries.publish_live_entries(self.world)

    def offer(self, caller: str, share: float, service: str = "") -> None:
        """Schedule calls of a caller at a share of a service's capacity."""
        service = service or self.service
        rate = share * self.world.capacity(service)
        self.world.offer(service, rate, _END_SECONDS, caller)

    def run(self) -> None:
        """Run the scenario; measurements start after the warm-up."""
        self.world.run(_WARMUP_SECONDS)
        self.world.tally = tally.Tally()
        self.seconds.clear()
        self.answered_at.clear()
        self.world.run(_END_SECONDS)

    def answered_share(self) -> float:
        """Return successful answers as a share of the capacity of the slots."""
        answered = len(self.world.tally.latencies[self.service])
        capacity = self.world.capacity(self.service) * _MEASURED_SECONDS
        return answered / capacity

    def refusal_seconds(self) -> list[float]:
        """Return the latency of each refusal in seconds."""
        return self.world.tally.refusal_seconds

    def extra_attempts(self) -> float:
        """Return attempts beyond one per call sent, as a share of all calls."""
        totals = self.world.tally
        sent = totals.arrived - sum(totals.refused_by.values())
        return max(0, totals.attempts - sent) / totals.arrived


def run() -> list[report.Figure]:
    """Run all scenarios: rate limits on one deployment, the others on both."""
    figures: list[report.Figure] = []
    for deployment in deployments.DEPLOYMENTS:
        figures.extend(_measure_overload(deployment))
        figures.extend(_measure_flood(deployment))
        figures.extend(_measure_priority(deployment))
    figures.extend(_measure_rate(deployments.HARBORLINE))
    return figures


def _at_most(name: str, value: float, limit: float) -> report.Figure:
    bound = report.Bound(report.Comparison.AT_MOST, limit)
    return report.Figure(name, value, "", bound)


def _at_least(name: str, value: float, limit: float) -> report.Figure:
    bound = report.Bound(report.Comparison.AT_LEAST, limit)
    return report.Figure(name, value, "", bound)


def _p99_of(scenarios: list[Scenario], callers: abc.Sequence[str]) -> float:
    """Return the 99th percentile latency of some callers over all scenarios."""
    latencies = (
        scenario.seconds[caller] for scenario in scenarios for caller in callers
    )
    return tally.percentile(list(itertools.chain(*latencies)), _P99)


def _refused_share(
    scenarios: list[Scenario], callers: abc.Sequence[str]
) -> float:
    refused = answered = 0
    for scenario in scenarios:
        totals = scenario.world.tally
        refused += sum(totals.refused_by[caller] for caller in callers)
        answered += sum(totals.answered_by[caller] for caller in callers)
    return refused / (refused + answered)


def _measure_overload(
    deployment: deployments.Deployment,
) -> list[report.Figure]:
    """Measure a service at 90% of its capacity, then at 150%."""
    name = f"overload/{deployment.name}"
    callers = (_FLOODING_CALLER,)
    steady = [
        _single_caller_scenario(deployment, s, _STEADY_SHARE) for s in _SEEDS
    ]
    overloaded = [
        _single_caller_scenario(deployment, s, _OVERLOAD_SHARE) for s in _SEEDS
    ]
    answered = min(scenario.answered_share() for scenario in overloaded)
    baseline_p99 = _p99_of(steady, callers)
    overload_p99 = _p99_of(overloaded, callers)
    extra = max(scenario.extra_attempts() for scenario in steady + overloaded)
    refusals = [
        s for scenario in overloaded for s in scenario.refusal_seconds()
    ]
    refused = _refused_share(steady, callers)
    slowest = tally.percentile(refusals, _P99)
    return [
        _at_least(f"{name}/answered-share", answered, _MIN_ANSWERED_SHARE),
        _at_most(
            f"{name}/p99-over-steady-90",
            overload_p99 / baseline_p99,
            _MAX_OVERLOAD_P99_RATIO,
        ),
        _at_most(f"{name}/extra-attempts", extra, _MAX_EXTRA_ATTEMPTS),
        report.Figure(f"{name}/steady-90-p99", baseline_p99 * 1000, "ms"),
        report.Figure(f"{name}/steady-90-refused", refused, "share"),
        report.Figure(f"{name}/refusal-p99", slowest * 1000, "ms"),
    ]


def _single_caller_scenario(
    deployment: deployments.Deployment, seed: int, share: float
) -> Scenario:
    scenario = Scenario(deployment, seed)
    scenario.offer(_FLOODING_CALLER, share)
    scenario.run()
    return scenario


def _measure_flood(deployment: deployments.Deployment) -> list[report.Figure]:
    """Measure the latency of other callers while one floods a service.

    The flooding caller is held back by weighted fair queueing alone, or by its
    rate limit as well.
    """
    baseline = [
        _flood_scenario(deployment, seed, _BASELINE_SHARE, rate_limited=False)
        for seed in _SEEDS
    ]
    baseline_p99 = _p99_of(baseline, _OTHER_CALLERS)
    figures: list[report.Figure] = []
    for variant, rate_limited in (("weights", False), ("rate", True)):
        name = f"flood-{variant}/{deployment.name}"
        flood = [
            _flood_scenario(
                deployment, seed, _FLOOD_SHARE, rate_limited=rate_limited
            )
            for seed in _SEEDS
        ]
        ratio = _p99_of(flood, _OTHER_CALLERS) / baseline_p99
        refused = _refused_share(flood, _OTHER_CALLERS)
        extra = max(scenario.extra_attempts() for scenario in flood)
        figures += [
            _at_most(f"{name}/others-p99-ratio", ratio, _MAX_FLOOD_P99_RATIO),
            _at_most(f"{name}/extra-attempts", extra, _MAX_EXTRA_ATTEMPTS),
            report.Figure(f"{name}/others-refused", refused, "share"),
        ]
    return figures


def _flood_scenario(
    deployment: deployments.Deployment,
    seed: int,
    share: float,
    *,
    rate_limited: bool,
) -> Scenario:
    spec = deployment.services[0]
    slots = spec.targets * deployment.slots
    rate = 2 * _BASELINE_SHARE * slots / deployments.MEAN_SERVICE_SECONDS
    shares = [
        models.CallerShare(
            _FLOODING_CALLER, 1.0, rate if rate_limited else None
        )
    ]
    shares.extend(
        models.CallerShare(name, 1.0, None) for name in _OTHER_CALLERS
    )
    cfg = deployments.create_configuration(
        deployment, lambda s: dataclasses.replace(s, callers=tuple(shares))
    )
    scenario = Scenario(deployment, seed, cfg)
    for caller in _OTHER_CALLERS:
        scenario.offer(caller, _OTHER_CALLERS_SHARE / len(_OTHER_CALLERS))
    scenario.offer(_FLOODING_CALLER, share)
    scenario.run()
    return scenario


def _measure_priority(
    deployment: deployments.Deployment,
) -> list[report.Figure]:
    """Measure the latency of urgent calls with and without background calls.

    The background calls go to the same targets or to separate ones.
    """
    urgent = (_URGENT_CALLER,)
    seeds = _SEEDS[:1]
    alone = [_priority_scenario(deployment, s, 0.0, shared=True) for s in seeds]
    baseline_p99 = _p99_of(alone, urgent)
    figures: list[report.Figure] = []
    for variant, shared in (("shared", True), ("apart", False)):
        combined = [
            _priority_scenario(deployment, s, _BACKGROUND_SHARE, shared=shared)
            for s in seeds
        ]
        ratio = _p99_of(combined, urgent) / baseline_p99
        name = f"priority-{variant}/{deployment.name}"
        refused = _refused_share(combined, urgent)
        figures += [
            _at_most(
                f"{name}/urgent-p99-ratio", ratio, _MAX_PRIORITY_P99_RATIO
            ),
            report.Figure(f"{name}/urgent-refused", refused, "share"),
        ]
    return figures


def _priority_scenario(
    deployment: deployments.Deployment,
    seed: int,
    background_share: float,
    *,
    shared: bool,
) -> Scenario:
    cfg = deployments.create_configuration(deployment)
    urgent, *_, background_service = cfg.services.values()
    targets = (
        urgent.targets
        if shared
        else background_service.targets[:_SEPARATE_TARGETS]
    )
    background_service = dataclasses.replace(
        background_service, targets=targets
    )
    services = {
        urgent.name: urgent,
        background_service.name: background_service,
    }
    scenario = Scenario(deployment, seed, models.Configuration(1, services))
    scenario.offer(_URGENT_CALLER, _URGENT_SHARE)
    if background_share:
        scenario.offer("pulls", background_share, background_service.name)
    scenario.run()
    return scenario


def _measure_rate(deployment: deployments.Deployment) -> list[report.Figure]:
    """Measure whether a rate limit holds for a caller that changes entries.

    It sends at twice its limit, to one entry after another.
    """
    scenarios = [_rate_scenario(deployment, seed) for seed in _SEEDS]
    times = [
        scenario.answered_at[_RATE_LIMITED_CALLER] for scenario in scenarios
    ]
    highest = max(_max_in_one_second(list(one)) for one in times)
    used = min(len(one) for one in times) / (
        _RATE_LIMIT * _RATE_SCENARIO_SECONDS
    )
    sent = max(scenario.world.tally.peer_bytes for scenario in scenarios)
    bytes_per_second = sent / deployments.ENTRIES / _RATE_SCENARIO_SECONDS
    name = "rates"
    allowed = _RATE_LIMIT + _burst()
    return [
        _at_most(f"{name}/most-in-a-second", highest, allowed),
        _at_least(f"{name}/used-while-moving", used, _MIN_USED_SHARE),
        report.Figure(f"{name}/peer-bytes", bytes_per_second, "B/s per entry"),
    ]


def _rate_scenario(deployment: deployments.Deployment, seed: int) -> Scenario:
    shares = (models.CallerShare(_RATE_LIMITED_CALLER, 1.0, _RATE_LIMIT),)
    cfg = deployments.create_configuration(
        deployment, lambda s: dataclasses.replace(s, callers=shares)
    )
    scenario = Scenario(deployment, seed, cfg)
    world = scenario.world
    number = itertools.count(1)

    def send() -> None:
        moves = int(world.now / _MOVE_INTERVAL_SECONDS) + seed
        entry = world.entries[moves * 5 % deployments.ENTRIES]
        size = world.rng.lognormvariate(0, 0.5)
        call = fakes.FakeCall(
            next(number),
            scenario.service,
            _RATE_LIMITED_CALLER,
            True,
            size,
            world.now,
        )
        entry.request(call)
        world.call_at(world.now + 1 / (2 * _RATE_LIMIT), send)

    world.call_at(0.0, send)
    world.run(_RATE_SCENARIO_SECONDS)
    return scenario


def _burst() -> float:
    """Return the burst above the rate that all entries together may admit."""
    burst = limit_const.RATE_BURST_SECONDS * _RATE_LIMIT
    return burst + deployments.ENTRIES * limit_const.MIN_RATE_BURST


def _max_in_one_second(times: list[float]) -> int:
    highest = 0
    first = 0
    for last, when in enumerate(times):
        while times[first] <= when - 1.0:
            first += 1
        highest = max(highest, last - first + 1)
    return highest
