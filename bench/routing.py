"""Measures target selection against baselines and an omniscient policy.

Runs each scenario in both deployments of `bench.deployments` and pools the
results of three seeds. Latency between callers and entries is left out, since
routing doesn't change it. Calls carry no idempotency key, so that the latency
of claims, which `bench.bookings` measures, doesn't add to the figures.
"""

import dataclasses
import multiprocessing

from bench import deployments
from bench import entries
from bench import fakes
from bench import report
from bench import routing_baselines
from bench import routing_policies
from bench import routing_scenarios
from bench import tally

_SEEDS = (4, 5, 6)
_PROCESSES = 3
# Simulated time after the last arrival, in which open calls complete.
_SETTLE_SECONDS = 2.5
_MILLISECONDS_PER_SECOND = 1000.0
PRODUCT = "agateshelf"

_COMPARED = (
    routing_scenarios.Scenario.STEADY_70,
    routing_scenarios.Scenario.NOISY,
    routing_scenarios.Scenario.STRAGGLER,
)
_MAX_P99_TO_BEST_BASELINE = 0.5
_MAX_P99_TO_OMNISCIENT = 1.5
_MAX_P99_TO_OMNISCIENT_STEADY = 1.2
_MAX_EXTRA_ATTEMPTS = 0.05
_MAX_ERRORS_PER_TARGET = 30.0

BASELINES: dict[str, type[routing_baselines.Policy]] = {
    "random": routing_baselines.Random,
    "round-robin": routing_baselines.RoundRobin,
    "own-least": routing_baselines.LocalLeastRequests,
    "polled-two": routing_baselines.PolledPowerOfTwo,
    "omniscient": routing_baselines.Omniscient,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One policy in one scenario and deployment.

    Attributes:
        policy: Name of a policy, or `PRODUCT`.
        scenario: Scenario that is simulated.
        deployment: Sizes of the services and targets.
    """

    policy: str
    scenario: routing_scenarios.Scenario
    deployment: deployments.Deployment


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results of a run over all seeds.

    Attributes:
        p50: Median latency of successful answers, in seconds.
        p99: 99th percentile of the latency, in seconds.
        p999: 99.9th percentile of the latency, in seconds.
        extra: Attempts beyond one per call, as a share of calls.
        errors: Error answers delivered, per seed.
        unanswered: Calls that got no answer, per seed.
        probes: Load probes per second and service.
        late_to_draining: Attempts counted in `Tally.late_to_draining`.
        messages: Messages between entries, per call.
        kilobytes: Kilobytes of these messages, per entry and second.
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


def _duration(scenario: routing_scenarios.Scenario) -> float:
    match scenario:
        case routing_scenarios.Scenario.NOISY:
            return 2.4
        case (
            routing_scenarios.Scenario.STRAGGLER
            | routing_scenarios.Scenario.REPLACED
        ):
            return 0.9
        case _:
            return 0.6


def simulate(run: Run, seed: int) -> fakes.World:
    """Simulate a run with one seed; return its final state."""
    seconds = _duration(run.scenario)
    world = fakes.World(run.deployment, seed)
    world.sends_keys = False
    if run.policy == PRODUCT:
        routing_scenarios.schedule_target_events(world, run.scenario, seconds)
        entries.create_entries(world)
        routing_scenarios.schedule_entry_events(world, run.scenario, seconds)
    else:
        policy = (BASELINES | routing_policies.POLICIES)[run.policy](world)
        routing_baselines.create_entries(world, policy, deployments.ENTRIES)
        routing_scenarios.schedule_target_events(world, run.scenario, seconds)
    world.offer_load(routing_scenarios.offered_load(run.scenario), seconds)
    world.run(seconds)
    probes = world.tally.probes_sent
    world.run(seconds + _SETTLE_SECONDS)
    world.tally.probes_sent = probes
    return world


def measure(run: Run) -> Results:
    """Simulate a run with all seeds and pool the results."""
    tallies = [simulate(run, seed).tally for seed in _SEEDS]
    latencies = [
        t for seed_tally in tallies for t in seed_tally.all_latencies()
    ]
    arrived = sum(seed_tally.arrived for seed_tally in tallies)
    attempts = sum(seed_tally.attempts for seed_tally in tallies)
    errors = sum(seed_tally.errors for seed_tally in tallies)
    sent = sum(seed_tally.peer_bytes for seed_tally in tallies)
    probes = sum(seed_tally.probes_sent for seed_tally in tallies)
    seconds = len(_SEEDS) * _duration(run.scenario)
    return Results(
        p50=tally.percentile(latencies, 0.5),
        p99=tally.percentile(latencies, 0.99),
        p999=tally.percentile(latencies, 0.999),
        extra=max(0.0, attempts / arrived - 1),
        errors=errors / len(_SEEDS),
        unanswered=(arrived - errors - len(latencies)) / len(_SEEDS),
        probes=probes / seconds / len(run.deployment.services),
        late_to_draining=sum(
            seed_tally.late_to_draining for seed_tally in tallies
        ),
        messages=sum(seed_tally.peer_messages for seed_tally in tallies)
        / arrived,
        kilobytes=sent / deployments.ENTRIES / seconds / 1000,
    )


def _planned_runs() -> list[Run]:
    runs = []
    for deployment in deployments.DEPLOYMENTS:
        for scenario in routing_scenarios.Scenario:
            runs.append(Run(PRODUCT, scenario, deployment))
            if scenario in _COMPARED:
                runs.extend(
                    Run(policy, scenario, deployment) for policy in BASELINES
                )
    return runs


def run() -> list[report.Figure]:
    """Simulate all scenarios and return their figures."""
    plan = _planned_runs()
    with multiprocessing.Pool(_PROCESSES) as pool:
        results = dict(
            zip(plan, pool.map(measure, plan, chunksize=1), strict=True)
        )
    figures: list[report.Figure] = []
    for planned, result in results.items():
        figures.extend(_figures(planned, result, results))
    return figures


def _figures(
    run: Run, result: Results, results: dict[Run, Results]
) -> list[report.Figure]:
    base = f"routing/{run.deployment.name}/{run.scenario.value}"
    name = f"{base}/{run.policy}" if run.policy != PRODUCT else base
    figures = [
        report.Figure(
            f"{name}/p50", result.p50 * _MILLISECONDS_PER_SECOND, "ms"
        ),
        report.Figure(
            f"{name}/p99", result.p99 * _MILLISECONDS_PER_SECOND, "ms"
        ),
        report.Figure(
            f"{name}/p99.9", result.p999 * _MILLISECONDS_PER_SECOND, "ms"
        ),
    ]
    if run.policy != PRODUCT:
        return figures
    figures.extend(_cost_figures(base, result))
    figures.extend(_scenario_figures(base, run, result))
    if run.scenario in _COMPARED:
        figures.extend(_ratio_figures(base, run, result, results))
    return figures


def _at_most(limit: float) -> report.Bound:
    return report.Bound(report.Comparison.AT_MOST, limit)


def _cost_figures(base: str, result: Results) -> list[report.Figure]:
    return [
        report.Figure(
            f"{base}/extra",
            result.extra,
            "of calls",
            _at_most(_MAX_EXTRA_ATTEMPTS),
        ),
        report.Figure(
            f"{base}/probes", result.probes, "/s service", _at_most(0)
        ),
        report.Figure(f"{base}/messages", result.messages, "per call"),
        report.Figure(f"{base}/control", result.kilobytes, "kB/s entry"),
    ]


def _scenario_figures(
    base: str, run: Run, result: Results
) -> list[report.Figure]:
    match run.scenario:
        case routing_scenarios.Scenario.DRAIN:
            return [
                report.Figure(
                    f"{base}/late-to-draining",
                    result.late_to_draining,
                    "attempts",
                    _at_most(0),
                )
            ]
        case routing_scenarios.Scenario.FAIL_FAST:
            targets = len(run.deployment.services)
            bound = _at_most(_MAX_ERRORS_PER_TARGET)
        case routing_scenarios.Scenario.HALF_FAILING:
            targets = sum(s.targets for s in run.deployment.services) // 2
            bound = _at_most(_MAX_ERRORS_PER_TARGET)
        case (
            routing_scenarios.Scenario.REPLACED
            | routing_scenarios.Scenario.STORE_OUTAGE
        ):
            # The calls that were open at an entry when it crashed.
            unanswered = result.unanswered
            return [report.Figure(f"{base}/lost", unanswered, "calls")]
        case _:
            return []
    value = result.errors / targets
    return [report.Figure(f"{base}/errors", value, "per target", bound)]


def _ratio_figures(
    base: str, run: Run, result: Results, results: dict[Run, Results]
) -> list[report.Figure]:
    baselines = {
        policy: results[Run(policy, run.scenario, run.deployment)].p99
        for policy in BASELINES
    }
    omniscient = baselines.pop("omniscient")
    best = min(baselines.values())
    steady = run.scenario is routing_scenarios.Scenario.STEADY_70
    limit = _MAX_P99_TO_OMNISCIENT_STEADY if steady else _MAX_P99_TO_OMNISCIENT
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
                _at_most(_MAX_P99_TO_BEST_BASELINE),
            )
        )
    return figures
