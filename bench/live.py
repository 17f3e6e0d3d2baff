"""What an entry adds to a call and how many it carries; reports only.

Real processes on loopback: a plain target, the bare pass-through and an entry.
The two are measured in turn within one run, so that noise of the machine
meets both.
"""

import dataclasses
import os
import pathlib
import shutil
import statistics
import subprocess
import sys

from agateshelf_standins import system
from bench import loopback
from bench import report

_RATE = 300.0
_STEADY_SECONDS = 2.0
_SATURATED_SECONDS = 0.5
_CONNECTIONS = 16
_ROUNDS = 7
_TARGETS = 4
_MEBIBYTE_IN_KIB = 1024.0
_MILLISECONDS = 1000.0
_MICROSECONDS = 1e6


@dataclasses.dataclass(slots=True)
class Bench:
    """The processes under measurement."""

    target: system.Process
    passthrough: system.Process
    entry: system.Entry


def start_module(
    running: system.System, name: str, *more: str
) -> system.Process:
    """Start a module that prints where it listens."""
    popen = subprocess.Popen(
        [sys.executable, "-m", name, *more], stdout=subprocess.PIPE, text=True
    )
    process = system.Process(name, popen, "")
    running.processes.append(process)
    line = popen.stdout.readline() if popen.stdout else ""
    process.address = line.split()[-1]
    return process


def start(running: system.System) -> Bench:
    """Start everything."""
    target = start_module(running, "bench.plaintarget")
    passthrough = start_module(running, "bench.passthrough", target.address)
    store = running.start_stand_in("store", "--port", "0")
    targets = [
        {
            "id": f"t{number}",
            "address": target.address,
            "failure_domain": "boston",
        }
        for number in range(_TARGETS)
    ]
    service = {
        "team": "harborline",
        "prefix": "/recall/",
        "targets": targets,
        "slots": 64,
        "queue": 256,
    }
    document = {"version": 1, "services": {"recall-lookups": service}}
    system.put_configuration(store.address, document)
    settings = {
        "entry": "entry-0",
        "failure_domain": "boston",
        "callers": {"port": system.free_port()},
        "administration": {"port": system.free_port()},
        "platform": {"store": store.address},
    }
    entry = running.start_entry(settings)
    system.wait_for(entry.admin, "/ready", entry.process.popen)
    return Bench(target, passthrough, entry)


def cpu_seconds(process: system.Process) -> float:
    """Return the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mebibytes(process: system.Process) -> float:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    (line,) = [x for x in text.splitlines() if x.startswith("VmRSS")]
    return int(line.split()[1]) / _MEBIBYTE_IN_KIB


def added(bench: Bench) -> list[report.Figure]:
    """Measure the time added at a moderate load."""
    addresses = {
        "direct": bench.target.address,
        "passthrough": bench.passthrough.address,
        "entry": bench.entry.process.address,
    }
    runs = {
        name: loopback.run_at_rate(address, _RATE, _STEADY_SECONDS)
        for name, address in addresses.items()
    }
    figures = []
    for name in ("passthrough", "entry"):
        for share in (0.5, 0.99):
            extra = runs[name].quantile(share) - runs["direct"].quantile(share)
            label = f"live/{name}/added-p{share * 100:.0f}"
            figures.append(report.Figure(label, extra * _MILLISECONDS, "ms"))
    return figures


def capacity(bench: Bench) -> list[report.Figure]:
    """Measure the calls a second on one core, in turn, by medians."""
    processes = {
        "passthrough": bench.passthrough,
        "entry": bench.entry.process,
    }
    rates: dict[str, list[float]] = {name: [] for name in processes}
    costs: dict[str, list[float]] = {name: [] for name in processes}
    for _ in range(_ROUNDS):
        for name, process in processes.items():
            before = cpu_seconds(process)
            run = loopback.run_saturated(
                process.address, _CONNECTIONS, _SATURATED_SECONDS
            )
            used = cpu_seconds(process) - before
            rates[name].append(len(run.latencies) / run.seconds)
            costs[name].append(used / len(run.latencies) * _MICROSECONDS)
    figures = []
    for name in processes:
        rate = statistics.median(rates[name])
        cost = statistics.median(costs[name])
        figures.append(report.Figure(f"live/{name}/rate", rate, "calls/s"))
        figures.append(report.Figure(f"live/{name}/cpu", cost, "us/call"))
    pairs = zip(rates["entry"], rates["passthrough"], strict=True)
    share = statistics.median(entry / bare for entry, bare in pairs)
    figures.append(report.Figure("live/entry/share", share * 100, "%"))
    return figures


def main() -> int:
    """Run the live bench and print its figures."""
    running = system.create_system()
    try:
        bench = start(running)
        figures = added(bench)
        figures.extend(capacity(bench))
        memory = resident_mebibytes(bench.entry.process)
        figures.append(report.Figure("live/entry/resident", memory, "MiB"))
    finally:
        running.stop()
        shutil.rmtree(running.directory, ignore_errors=True)
    for figure in figures:
        print(f"{figure.name:<36} {figure.value:>12.3f} {figure.unit}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
