"""The system under test: stand-ins, entries and the links between them.

All of them are real processes on loopback, so that the faults of a plan can be
injected from outside.
"""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import curio

from agateshelf_standins import member
from agateshelf_standins import system
from soak import callers
from soak import faults
from soak import links
from soak import promises
from soak import records

DOMAINS = ("boston", "hartford")
GRACE_SECONDS = 4.0
DRAIN_MS = 3500.0
_READY_SECONDS = 15.0


@dataclasses.dataclass(eq=False)
class Entry:
    """An entry process and its links.

    Attributes:
        number: Number of the entry, from 0.
        settings: Its settings document.
        front: `HOST:PORT` on which it serves callers.
        store: Link from the entry to the store.
        peers: Link from the other entries to this one.
        popen: Its process; None before its first start.
        down: Whether it is stopping or stopped.
    """

    number: int
    settings: dict[str, Any]
    front: str
    store: links.Link
    peers: links.Link
    popen: subprocess.Popen[bytes] | None = None
    down: bool = False

    @property
    def process_id(self) -> int:
        """Identifier of the process; 0 before the first start."""
        return 0 if self.popen is None else self.popen.pid


@dataclasses.dataclass(eq=False)
class Member:
    """A target process and the link in front of it.

    Attributes:
        number: Number of the target, from 0.
        name: Name by which it registers.
        link: Link from the entries to the target.
        process: Its process; None before its first start.
        down: Whether it is stopping or stopped.
    """

    number: int
    name: str
    link: links.Link
    process: system.Process | None = None
    down: bool = False


@dataclasses.dataclass(eq=False)
class Scene:
    """All processes of a run.

    Attributes:
        directory: Directory of settings, logs and the ledger.
        source: Source tree that the entries are run from.
        record: History of the run.
        running: Processes of all stand-ins.
        store: Process of the store's stand-in.
        entries: The entries, by number.
        members: The targets, by number.
        faster: Factor on the callers' request rate; set by `Burst`, but no
            caller reads it.
    """

    directory: pathlib.Path
    source: pathlib.Path
    record: records.Record
    running: system.System
    store: system.Process
    entries: list[Entry] = dataclasses.field(default_factory=list)
    members: list[Member] = dataclasses.field(default_factory=list)
    faster: float = 1.0

    @property
    def ledger(self) -> pathlib.Path:
        """Path of the targets' ledger."""
        return self.directory / "ledger.jsonl"

    def write_table(self) -> None:
        """Write the next version of the route table to the store."""
        version = max(self.record.tables, default=0) + 1
        table = _create_table(version)
        member.write_table(self.store.address, table)
        self.record.tables[version] = time.time()

    def disturb(self, what: str, index: int, begin: float) -> None:
        """Record a fault that ends now."""
        end = time.time()
        self.record.disturbances.append(
            records.Disturbance(what, index, begin, end)
        )

    def start_member(self, target: Member) -> None:
        """Start a target and wait until it listens."""
        target.process = self.running.start_stand_in(
            "member",
            *("--id", target.name, "--store", self.store.address),
            *("--service", "status" if target.number % 2 == 0 else "bookings"),
            *("--domain", DOMAINS[target.number // 2 % len(DOMAINS)]),
            *(
                "--advertised",
                target.link.address,
                "--ledger",
                str(self.ledger),
            ),
            *("--slots", "4", "--drain-ms", str(DRAIN_MS)),
        )
        target.link.upstream = target.process.address
        target.down = False

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry, without waiting until it is ready."""
        path = self.directory / f"entry-{entry.number}.json"
        path.write_text(json.dumps(entry.settings))
        log = (self.directory / f"entry-{entry.number}.log").open("ab")
        command = [sys.executable, "-m", "agateshelf.daemon.main"]
        environment = {**os.environ, "PYTHONPATH": str(self.source)}
        with log:
            entry.popen = subprocess.Popen(
                [*command, "--settings", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        entry.down = False

    async def stop(self) -> None:
        """Stop all links, and kill all processes."""
        for entry in self.entries:
            await entry.store.stop()
            await entry.peers.stop()
        for target in self.members:
            await target.link.stop()
        self._kill_processes()

    def _kill_processes(self) -> None:
        for entry in self.entries:
            if entry.popen is not None and entry.popen.poll() is None:
                entry.popen.send_signal(signal.SIGCONT)
                entry.popen.kill()
                entry.popen.wait()
        for process in self.running.processes:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
            process.popen.wait()


def _create_table(version: int) -> dict[str, Any]:
    """Create a route table with a marker route for each version so far."""

    def route(name: str, prefix: str, service: str, **more: Any) -> Any:
        values = {
            "name": name,
            "host": callers.HOST,
            "prefix": prefix,
            "kind": "safe",
            "timeout": callers.LOOKUP_SECONDS * 1000,
            "target_latency": 300,
            "max_attempts": 2,
            "priority": 2,
            "service": service,
        }
        return {**values, **more}

    booking = {"kind": "unsafe", "timeout": callers.BOOKING_SECONDS * 1000}
    markers = [
        route(f"m{n}", f"/m{n}/", "status") for n in range(1, version + 1)
    ]
    return {
        "version": version,
        "routes": [
            route("lookups", "/vin/", "status"),
            route("bookings", "/book/", "bookings", **booking, priority=1),
            *markers,
        ],
        "services": [
            {"name": name, "health_path": "/health"}
            for name in ("status", "bookings")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": 3000,
            "idle_timeout": 15000,
        },
    }


async def create_scene(
    plan: faults.Plan, directory: pathlib.Path, source: pathlib.Path
) -> Scene:
    """Start a system of the size that a plan gives.

    Returns once all entries are ready.

    Raises:
        system.StartError: A process did not start, or an entry is not ready in
            time.
    """
    running = system.System(directory)
    store = running.start_stand_in("store", "--port", "0")
    scene = Scene(directory, source, records.Record(), running, store)
    scene.ledger.touch()
    scene.write_table()
    for number in range(plan.targets):
        link = links.Link()
        await link.start()
        target = Member(number, f"t{number}", link)
        scene.members.append(target)
        await curio.run_in_thread(scene.start_member, target)
    ports = [system.free_port() for _ in range(plan.entries)]
    for number, port in enumerate(ports):
        seeds = [f"127.0.0.1:{other}" for other in ports if other != port]
        scene.entries.append(await _create_entry(scene, number, port, seeds))
    for entry in scene.entries:
        scene.start_entry(entry)
    for entry in scene.entries:
        await _await_ready(entry)
    return scene


async def _create_entry(
    scene: Scene, number: int, port: int, seeds: list[str]
) -> Entry:
    store = links.Link(scene.store.address)
    peers = links.Link(f"127.0.0.1:{port}")
    await store.start()
    await peers.start()
    front = f"127.0.0.1:{system.free_port()}"
    settings = {
        "entry": f"entry-{number}",
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "callers": {"address": front},
        "readiness": {"address": f"127.0.0.1:{system.free_port()}"},
        "metrics": {"address": f"127.0.0.1:{system.free_port()}"},
        "platform": {"store": store.address},
        "peers": {
            "listen": {"address": f"127.0.0.1:{port}"},
            "advertised": peers.address,
            "seeds": seeds,
        },
        "routes": {
            "repeat_share": promises.REPEAT_SHARE,
            "repeat_slack": promises.REPEAT_SLACK,
            "repeat_seconds": promises.REPEAT_SECONDS,
            "probes_per_second": 40,
            "grace_seconds": GRACE_SECONDS,
        },
        "logs": {"json_lines": True},
    }
    return Entry(number, settings, front, store, peers)


async def _await_ready(entry: Entry) -> None:
    end = time.monotonic() + _READY_SECONDS
    ready = entry.settings["readiness"]["address"]
    while time.monotonic() < end:
        try:
            status, _ = await curio.run_in_thread(
                system.request, ready, "GET", "/ready"
            )
        except OSError:
            status = 0
        if status == 200:
            return
        await curio.sleep(0.05)
    raise system.StartError(
        f"entry {entry.number} is not ready after {_READY_SECONDS} s"
    )
