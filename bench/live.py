"""Measures the latency and the capacity of a real entry; sets no bounds.

The processes run on loopback: a plain target, a bare pass-through proxy as the
baseline, and an entry. Proxy and entry are measured alternately within one
run, so that noise of the machine affects both.
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
_KIBIBYTES_PER_MEBIBYTE = 1024.0
_MILLISECONDS_PER_SECOND = 1000.0
_MICROSECONDS_PER_SECOND = 1e6


@dataclasses.dataclass(slots=True)
class Bench:
    """The processes under measurement.

    Attributes:
        target: Target that answers at once.
        passthrough: Proxy that forwards each request to the target unchanged.
        entry: Entry whose targets are all that target.
    """

    target: system.Process
    passthrough: system.Process
    entry: system.Entry


def start_module(
    local_system: system.System, name: str, *arguments: str
) -> system.Process:
    """Start a module as a process and read its address from its first line."""
    popen = subprocess.Popen(
        [sys.executable, "-m", name, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    process = system.Process(name, popen, "")
    local_system.processes.append(process)
    line = popen.stdout.readline() if popen.stdout else ""
    process.address = line.split()[-1]
    return process


def start(local_system: system.System) -> Bench:
    """Start the target, the proxy, the store and the entry."""
    target = start_module(local_system, "bench.plaintarget")
    passthrough = start_module(
        local_system, "bench.passthrough", target.address
    )
    store = local_system.start_stand_in("store", "--port", "0")
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
    entry = local_system.start_entry(settings)
    system.wait_for(entry.admin, "/ready", entry.process.popen)
    return Bench(target, passthrough, entry)


def cpu_seconds(process: system.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mebibytes(process: system.Process) -> float:
    """Return the resident memory of a process, in MiB."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    (line,) = [x for x in text.splitlines() if x.startswith("VmRSS")]
    return int(line.split()[1]) / _KIBIBYTES_PER_MEBIBYTE


def measure_overhead(bench: Bench) -> list[report.Figure]:
    """Measure the latency added at a moderate load, against direct calls."""
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
            overhead = runs[name].quantile(share) - runs["direct"].quantile(
                share
            )
            label = f"live/{name}/added-p{share * 100:.0f}"
            figures.append(
                report.Figure(label, overhead * _MILLISECONDS_PER_SECOND, "ms")
            )
    return figures


def measure_capacity(bench: Bench) -> list[report.Figure]:
    """Measure calls per second on one core, as medians over all rounds."""
    processes = {
        "passthrough": bench.passthrough,
        "entry": bench.entry.process,
    }
    rates: dict[str, list[float]] = {name: [] for name in processes}
    costs: dict[str, list[float]] = {name: [] for name in processes}
    for _ in range(_ROUNDS):
        for name, process in processes.items():
            used_before = cpu_seconds(process)
            run = loopback.run_saturated(
                process.address, _CONNECTIONS, _SATURATED_SECONDS
            )
            used = cpu_seconds(process) - used_before
            rates[name].append(len(run.latencies) / run.seconds)
            costs[name].append(
                used / len(run.latencies) * _MICROSECONDS_PER_SECOND
            )
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
    """Run the bench and print its figures."""
    local_system = system.create_system()
    try:
        bench = start(local_system)
        figures = measure_overhead(bench)
        figures.extend(measure_capacity(bench))
        memory = resident_mebibytes(bench.entry.process)
        figures.append(report.Figure("live/entry/resident", memory, "MiB"))
    finally:
        local_system.stop()
        shutil.rmtree(local_system.directory, ignore_errors=True)
    for figure in figures:
        print(f"{figure.name:<36} {figure.value:>12.3f} {figure.unit}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
