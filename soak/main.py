"""Runs soak tests: systems of real processes under faults drawn from seeds."""

import pathlib
import random
import secrets
import shutil
import sys
import tempfile
import time

import click
import curio

from agateshelf_standins import member
from soak import builds
from soak import callers
from soak import cluster as cluster_lib
from soak import faults
from soak import history as history_lib
from soak import injection
from soak import invariants
from soak import loop_delays
from soak import quotas
from soak import workspaces

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Time between the readiness of all entries and the first request.
_STARTUP_SECONDS = 2.0
# Lookups that callers send at once which send nothing else, and their mean
# pause after the last answer.
_PIPELINED = 6
# Entries of the plans with two builds: one of each failure domain and another.
_UPGRADED_ENTRIES = 4
_PIPELINING_PAUSE_SECONDS = 0.5


def run_plan(
    plan: faults.Plan, directory: pathlib.Path, source: pathlib.Path
) -> history_lib.History:
    """Run a plan; return the history of the run."""
    history: history_lib.History = curio.run(_run, plan, directory, source)
    return history


async def _run(
    plan: faults.Plan, directory: pathlib.Path, source: pathlib.Path
) -> history_lib.History:
    cluster = await cluster_lib.create_cluster(plan, directory, source)
    history = cluster.history
    try:
        await curio.sleep(_STARTUP_SECONDS)
        await curio.spawn(loop_delays.measure, history, daemon=True)
        tasks = [
            await curio.spawn(caller.run, daemon=True)
            for caller in _create_callers(plan, cluster)
        ]
        if plan.quota:
            tasks += await quotas.start_callers(cluster, plan.seed)
        await _inject_faults(plan, cluster)
        history.faults_over_at = time.time()
        await curio.sleep(plan.recovery_seconds)
        for task in tasks:
            await task.cancel()
        history.ended_at = time.time()
        history.store_calls = cluster.count_store_reads()
        _record_exits(cluster)
        if plan.workspaces:
            await curio.run_in_thread(cluster.save_metrics)
    finally:
        await cluster.stop()
    history.ledger = member.read_ledger(cluster.ledger_path)
    history.files_with_keys = workspaces.files_with_keys(
        directory, plan.workspaces + bool(plan.quota)
    )
    return history


def _create_callers(
    plan: faults.Plan, cluster: cluster_lib.Cluster
) -> list[callers.Caller]:
    usual = [
        callers.Caller(
            cluster, cluster.history, random.Random(f"{plan.seed}/{n}")
        )
        for n in range(plan.callers)
    ]
    pipelining = [
        callers.Caller(
            cluster,
            cluster.history,
            random.Random(f"{plan.seed}/pipelining/{n}"),
            _PIPELINING_PAUSE_SECONDS,
            line_share=1.0,
            line_lengths=(_PIPELINED, _PIPELINED),
        )
        for n in range(plan.pipelining_callers)
    ]
    return usual + pipelining


async def _inject_faults(
    plan: faults.Plan, cluster: cluster_lib.Cluster
) -> None:
    begin = time.monotonic()
    async with curio.TaskGroup() as group:
        for at, fault in plan.faults:
            await curio.sleep(max(0.0, begin + at - time.monotonic()))
            await group.spawn(injection.inject, cluster, fault)
        await curio.sleep(max(0.0, begin + plan.seconds - time.monotonic()))


def _record_exits(cluster: cluster_lib.Cluster) -> None:
    """Record the entries that exited although no fault stopped them."""
    for entry in cluster.entries:
        if entry.popen is not None and entry.popen.poll() is not None:
            cluster.history.exit_errors.append(
                f"entry {entry.number} exited unexpectedly,"
                f" with status {entry.popen.returncode}:"
                f" {cluster.last_line_of(entry)}"
            )


def run_seed(seed: int, seconds: float, source: pathlib.Path) -> list[str]:
    """Run the soak test of a seed; return the violations that it found."""
    return _check_plan(faults.create_plan(seed, seconds), source)


def run_series(seed: int, entries: int, source: pathlib.Path) -> list[str]:
    """Run a seed's plan of stops in series; return the violations."""
    return _check_plan(faults.create_series(seed, entries), source)


def run_upgrade(seed: int, source: pathlib.Path) -> list[str]:
    """Upgrade from the production build and back; return the violations."""
    with tempfile.TemporaryDirectory(prefix="soak-build-") as directory:
        earlier = builds.extract(pathlib.Path(directory))
        if earlier is None:
            print("not run: the history lacks the production build", flush=True)
            return []
        plan = faults.create_upgrade(seed, _UPGRADED_ENTRIES, earlier)
        return _check_plan(plan, source)


def _check_plan(plan: faults.Plan, source: pathlib.Path) -> list[str]:
    """Run a plan; return the violations that were found.

    If there are any, the directory with settings, logs and ledger is kept.
    """
    seed = plan.seed
    print(f"seed {seed}: {len(plan.faults)} faults", flush=True)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    history = run_plan(plan, directory, source)
    violations = invariants.find_violations(history)
    served = sum(call.status == 200 for call in history.calls)
    print(
        f"seed {seed}: {len(history.calls)} calls, {served} served, "
        f"{len(violations)} violations",
        flush=True,
    )
    if not violations:
        shutil.rmtree(directory, ignore_errors=True)
        return []
    for line in violations[:20]:
        print(f"  {line}")
    for at, fault in plan.faults:
        print(f"  at {at:5.2f} {fault}")
    print(f"  logs in {directory}", flush=True)
    return violations


@click.command()
@click.argument("seeds", nargs=-1, type=int)
@click.option("--fresh", default=0, help="Number of random seeds to run.")
@click.option("--seconds", default=15.0, help="Duration of the fault phase.")
@click.option(
    "--upgrade",
    is_flag=True,
    help="Replace the production build by this one, and back, without faults.",
)
@click.option(
    "--series",
    default=0,
    help="Number of entries that are stopped in turn, without other faults.",
)
@click.option(
    "--source",
    type=click.Path(path_type=pathlib.Path),
    default=ROOT / "src",
    help="Source tree that the entries are run from.",
)
def main(
    seeds: tuple[int, ...],
    fresh: int,
    seconds: float,
    upgrade: bool,
    series: int,
    source: pathlib.Path,
) -> None:
    """Run the soak test of SEEDS; fail if an invariant was violated."""
    drawn = [secrets.randbelow(10**9) for _ in range(fresh)]
    failed = []
    for seed in (*seeds, *drawn):
        if upgrade:
            found = run_upgrade(seed, source)
        elif series:
            found = run_series(seed, series, source)
        else:
            found = run_seed(seed, seconds, source)
        failed += [seed] if found else []
    print(f"{len(seeds) + fresh} soak tests, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
