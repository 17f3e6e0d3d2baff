"""Prints the results of all routing policies, for docs/ROUTING.md."""

import multiprocessing

from bench import deployments
from bench import routing
from bench import routing_policies
from bench import routing_scenarios

_SCENARIOS = (
    routing_scenarios.Scenario.STEADY_70,
    routing_scenarios.Scenario.NOISY,
)
_PROCESSES = 3


def main() -> None:
    """Simulate all policies in two scenarios and both deployments."""
    policies = [routing.PRODUCT, *routing.BASELINES, *routing_policies.POLICIES]
    plan = [
        routing.Run(policy, scenario, deployment)
        for deployment in deployments.DEPLOYMENTS
        for scenario in _SCENARIOS
        for policy in policies
    ]
    with multiprocessing.Pool(_PROCESSES) as pool:
        results = pool.map(routing.measure, plan, chunksize=1)
    for run, result in zip(plan, results, strict=True):
        print(
            f"{run.deployment.name:<11} {run.scenario.value:<17}"
            f" {run.policy:<17}"
            f" {result.p50 * 1000:7.1f} {result.p99 * 1000:7.1f}"
            f" {result.p999 * 1000:7.1f} ms {result.probes:7.1f} probes/s"
            f" {result.messages:6.2f} messages/call"
            f" {result.kilobytes:7.1f} kB/s"
        )


if __name__ == "__main__":
    main()
