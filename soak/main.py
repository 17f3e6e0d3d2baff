"""Run soaks: whole systems of real processes under faults drawn from seeds."""

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
from soak import callers
from soak import deeds
from soak import faults
from soak import promises
from soak import records
from soak import scene as scenes

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLERS = 8
_SETTLE_SECONDS = 2.0
_LAST_SECONDS = 8.0


def run(
    plan: faults.Plan, directory: pathlib.Path, source: pathlib.Path
) -> records.Record:
    """Run one soak; return what was seen of it."""
    record: records.Record = curio.run(_run, plan, directory, source)
    return record


async def _run(
    plan: faults.Plan, directory: pathlib.Path, source: pathlib.Path
) -> records.Record:
    scene = await scenes.create_scene(plan, directory, source)
    record = scene.record
    try:
        await curio.sleep(_SETTLE_SECONDS)
        calling = [
            await curio.spawn(one.run, daemon=True)
            for one in _callers(plan, scene)
        ]
        await _do_all(plan, scene)
        record.calm_from = time.time()
        await curio.sleep(_LAST_SECONDS)
        for task in calling:
            await task.cancel()
        record.over = time.time()
        _note_ends(scene)
    finally:
        await scene.stop()
    record.runs = member.read_ledger(scene.ledger)
    return record


def _callers(plan: faults.Plan, scene: scenes.Scene) -> list[callers.Caller]:
    return [
        callers.Caller(scene, scene.record, random.Random(f"{plan.seed}/{n}"))
        for n in range(CALLERS)
    ]


async def _do_all(plan: faults.Plan, scene: scenes.Scene) -> None:
    begin = time.monotonic()
    async with curio.TaskGroup() as group:
        for at, fault in plan.faults:
            await curio.sleep(max(0.0, begin + at - time.monotonic()))
            await group.spawn(deeds.do, scene, fault)
        await curio.sleep(max(0.0, begin + plan.seconds - time.monotonic()))


def _note_ends(scene: scenes.Scene) -> None:
    for entry in scene.entries:
        if entry.popen is not None and entry.popen.poll() is not None:
            scene.record.ends.append(f"entry {entry.number} ended by itself")


def soak(seed: int, seconds: float, source: pathlib.Path) -> list[str]:
    """Run the soak of a seed; return what is wrong, and keep its logs then."""
    plan = faults.create_plan(seed, seconds)
    print(f"seed {seed}: {len(plan.faults)} faults", flush=True)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    record = run(plan, directory, source)
    found = promises.faults_of(record)
    served = sum(call.status == 200 for call in record.calls)
    print(
        f"seed {seed}: {len(record.calls)} calls, {served} served, "
        f"{len(found)} broken promises",
        flush=True,
    )
    if not found:
        shutil.rmtree(directory, ignore_errors=True)
        return []
    for line in found[:20]:
        print(f"  {line}")
    for at, fault in plan.faults:
        print(f"  at {at:5.2f} {fault}")
    print(f"  logs in {directory}", flush=True)
    return found


@click.command()
@click.argument("seeds", nargs=-1, type=int)
@click.option("--fresh", default=0, help="Number of seeds drawn just now.")
@click.option("--seconds", default=15.0, help="Length of the time with faults.")
@click.option(
    "--source",
    type=click.Path(path_type=pathlib.Path),
    default=ROOT / "src",
    help="Tree whose product is run.",
)
def main(
    seeds: tuple[int, ...], fresh: int, seconds: float, source: pathlib.Path
) -> None:
    """Run the soaks of some seeds; fail if a promise was broken."""
    drawn = [secrets.randbelow(10**9) for _ in range(fresh)]
    broken = [s for s in (*seeds, *drawn) if soak(s, seconds, source)]
    print(f"{len(seeds) + fresh} soaks, {len(broken)} broken: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
