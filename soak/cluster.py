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
import threading
import time
from typing import Any

import curio

from agateshelf_standins import member
from agateshelf_standins import system
from soak import callers
from soak import faults
from soak import history as history_lib
from soak import invariants
from soak import late_requests
from soak import links
from soak import payouts
from soak import quotas
from soak import workspaces as workspaces_lib

DOMAINS = ("boston", "hartford")
DRAIN_MS = 3500.0
# Time for which a target counts as cold that was unreachable.
WARMUP_SECONDS = 6.0
# Exit status of a target that a request crashed.
CRASH_STATUS = 1
_READY_SECONDS = 15.0


def domain_of(target: int) -> str:
    """Return the failure domain of a target, by its number."""
    return DOMAINS[target // 2 % len(DOMAINS)]


@dataclasses.dataclass(eq=False)
class Entry:
    """An entry process and its links.

    Attributes:
        number: Number of the entry, from 0.
        settings: Its settings document.
        caller_address: `HOST:PORT` on which it serves callers.
        store_link: Link from the entry to the store.
        peer_link: Link from the other entries to this one.
        popen: Its process; None before its first start.
        down: Whether it is stopping or stopped.
        source: Source tree that it is run from; None for that of the cluster.
    """

    number: int
    settings: dict[str, Any]
    caller_address: str
    store_link: links.Link
    peer_link: links.Link
    popen: subprocess.Popen[bytes] | None = None
    down: bool = False
    source: pathlib.Path | None = None

    @property
    def process_id(self) -> int:
        """Identifier of the process; 0 before the first start."""
        return 0 if self.popen is None else self.popen.pid


@dataclasses.dataclass(eq=False)
class Target:
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
class Cluster:
    """All processes of a run.

    Attributes:
        directory: Directory of settings, logs and the ledger.
        source: Source tree that the entries are run from.
        history: History of the run.
        stand_ins: Processes of all stand-ins.
        store: Process of the store's stand-in.
        entries: The entries, by number.
        targets: The targets, by number.
        rate_factor: Factor on the callers' request rate; set by `Burst`, but no
            caller reads it.
        store_era: How often the store came back from an older copy.
        evacuated: Failure domains that are evacuated now.
        workspaces: Number of workspaces; 0 if requests need no key.
        quota: Quota of one more workspace; None if there is none.
        withdrawn: Keys that are no longer in the configuration.
        payout_timeouts: Timeouts of further routes of payouts, by prefix.
        writing: Held while the route table is written, as versions count up.
        earlier_source: `Plan.earlier_source`.
    """

    directory: pathlib.Path
    source: pathlib.Path
    history: history_lib.History
    stand_ins: system.System
    store: system.Process
    entries: list[Entry] = dataclasses.field(default_factory=list)
    targets: list[Target] = dataclasses.field(default_factory=list)
    rate_factor: float = 1.0
    store_era: int = 0
    evacuated: set[str] = dataclasses.field(default_factory=set)
    workspaces: int = 0
    quota: quotas.Quota | None = None
    withdrawn: set[str] = dataclasses.field(default_factory=set)
    payout_timeouts: dict[str, float] = dataclasses.field(default_factory=dict)
    writing: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    earlier_source: pathlib.Path | None = None

    @property
    def ledger_path(self) -> pathlib.Path:
        """Path of the targets' ledger."""
        return self.directory / "ledger.jsonl"

    def write_table(self) -> None:
        """Write the next version of the route table to the store."""
        with self.writing:
            version = max(self.history.table_written_at, default=0) + 1
            table = self._create_table(version)
            member.write_route_table(self.store.address, table)
            self.history.table_written_at[version] = time.time()

    def withdraw_key(self, key: str) -> None:
        """Write a route table without a key."""
        self.withdrawn.add(key)
        self.write_table()
        self.history.withdrawn_at[key] = time.time()

    def set_quota(self, rate: float) -> None:
        """Write a route table with another quota of the limited workspace."""
        self.quota = quotas.Quota(rate, rate)
        self.write_table()
        who = quotas.credentials(self.workspaces)
        self.history.limited_workspace = who.workspace
        self.history.quotas.append((time.time(), self.quota))

    def set_payout_timeout(self, prefix: str, seconds: float) -> None:
        """Write a route table with another timeout of a route of payouts."""
        self.payout_timeouts[prefix] = seconds
        self.write_table()

    def rewrite_table(self) -> None:
        """Write the latest version of the route table again."""
        with self.writing:
            version = max(self.history.table_written_at)
            table = self._create_table(version)
            member.write_route_table(self.store.address, table)

    def _create_table(self, version: int) -> dict[str, Any]:
        table = _create_table(version, dict(self.payout_timeouts))
        if self.earlier_source is not None:
            # An earlier build sends to cold targets what their slots take.
            for service in table["services"]:
                del service["warmup_per_s"]
        if self.workspaces:
            table["tenants"] = workspaces_lib.documents(
                self.workspaces, self.withdrawn
            )
        if self.quota is not None:
            limited = quotas.document(self.workspaces, self.quota)
            table["tenants"].append(limited)
        return table

    def expire_registrations(self) -> None:
        """Delete the registrations of targets that are not running."""
        running = {target.name for target in self.targets if not target.down}
        for key in system.read_keys(self.store.address, "servers/"):
            if key.removeprefix("servers/") not in running:
                system.write_key(self.store.address, key, None)

    def count_store_reads(self) -> int:
        """Return the number of reads and watches that the store got."""
        _, body = system.request(self.store.address, "GET", "/control/calls")
        counts: dict[str, int] = json.loads(body)
        return sum(counts.get(kind, 0) for kind in ("get", "range", "watch"))

    def save_metrics(self) -> None:
        """Write the metrics of all entries that answer into files."""
        for entry in self.entries:
            address = entry.settings["metrics"]["address"]
            try:
                _, body = system.request(address, "GET", "/metrics")
            except OSError:
                continue
            path = self.directory / f"metrics-{entry.number}.txt"
            path.write_bytes(body)

    def add_fault_window(self, kind: str, index: int, begin: float) -> None:
        """Record a fault that ends now."""
        end = time.time()
        self.history.fault_windows.append(
            history_lib.FaultWindow(kind, index, begin, end)
        )

    def start_target(self, target: Target) -> None:
        """Start a target and wait until it listens."""
        target.process = self.stand_ins.start_stand_in(
            "member",
            *("--id", target.name, "--store", self.store.address),
            *("--service", "status" if target.number % 2 == 0 else "bookings"),
            *("--domain", domain_of(target.number)),
            *(
                "--advertised",
                target.link.address,
                "--ledger",
                str(self.ledger_path),
            ),
            *("--slots", "4", "--drain-ms", str(DRAIN_MS)),
            *("--crash-mark", invariants.CRASH_MARK),
            *("--long-mark", late_requests.LONG_MARK),
            *("--long-ms", str(late_requests.LONG_SECONDS * 1000)),
        )
        target.link.upstream = target.process.address
        target.down = False

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry, without waiting until it is ready."""
        path = self.directory / f"entry-{entry.number}.json"
        # It may be a pipe that nobody reads any more.
        path.unlink(missing_ok=True)
        path.write_text(json.dumps(entry.settings))
        log = (self.directory / f"entry-{entry.number}.log").open("ab")
        command = [sys.executable, "-m", "agateshelf.daemon.main"]
        source = entry.source or self.source
        environment = {**os.environ, "PYTHONPATH": str(source)}
        with log:
            entry.popen = subprocess.Popen(
                [*command, "--settings", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        entry.down = False

    def last_line_of(self, entry: Entry) -> str:
        """Return the last line that an entry wrote; empty if there is none."""
        log = self.directory / f"entry-{entry.number}.log"
        return (log.read_text(errors="replace").splitlines() or [""])[-1]

    async def stop(self) -> None:
        """Stop all links, and kill all processes."""
        for entry in self.entries:
            await entry.store_link.stop()
            await entry.peer_link.stop()
        for target in self.targets:
            await target.link.stop()
        self._kill_processes()

    def _kill_processes(self) -> None:
        for entry in self.entries:
            if entry.popen is not None and entry.popen.poll() is None:
                entry.popen.send_signal(signal.SIGCONT)
                entry.popen.kill()
                entry.popen.wait()
        for process in self.stand_ins.processes:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
            process.popen.wait()


def _create_table(
    version: int, payout_timeouts: dict[str, float]
) -> dict[str, Any]:
    """Create a route table with a marker route for each version so far."""

    def route(name: str, prefix: str, service: str, **more: Any) -> Any:
        values = {
            "name": name,
            "host": callers.HOST,
            "prefix": prefix,
            "kind": "safe",
            "timeout": callers.LOOKUP_TIMEOUT_SECONDS * 1000,
            "target_latency": 300,
            "max_attempts": 2,
            "priority": 2,
            "service": service,
        }
        return {**values, **more}

    booking = {
        "kind": "unsafe",
        "timeout": callers.BOOKING_TIMEOUT_SECONDS * 1000,
    }
    timeouts = {payouts.PREFIX: payouts.TIMEOUT_SECONDS, **payout_timeouts}
    markers = [
        route(f"m{n}", f"/m{n}/", "status") for n in range(1, version + 1)
    ]
    return {
        "version": version,
        "routes": [
            route("lookups", "/vin/", "status"),
            route("bookings", "/book/", "bookings", **booking, priority=1),
            route(
                "reports",
                late_requests.LONG_PREFIX,
                "bookings",
                kind="unsafe",
                timeout=late_requests.LONG_TIMEOUT_SECONDS * 1000,
                target_latency=late_requests.LONG_SECONDS * 1000,
            ),
            *(
                route(
                    f"payouts-{prefix.strip('/').replace('/', '-')}",
                    prefix,
                    "bookings",
                    kind="unsafe",
                    timeout=seconds * 1000,
                )
                for prefix, seconds in timeouts.items()
            ),
            *markers,
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "warmup": WARMUP_SECONDS,
                "warmup_per_s": invariants.WARMUP_RATE,
            }
            for name in ("status", "bookings")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": 3000,
            "idle_timeout": 15000,
        },
    }


async def create_cluster(
    plan: faults.Plan, directory: pathlib.Path, source: pathlib.Path
) -> Cluster:
    """Start a system of the size that a plan gives.

    Returns once all entries are ready.

    Raises:
        system.StartError: A process did not start, or an entry is not ready in
            time.
    """
    stand_ins = system.System(directory)
    store = stand_ins.start_stand_in("store", "--port", "0")
    cluster = Cluster(
        directory,
        source,
        history_lib.History(),
        stand_ins,
        store,
        workspaces=plan.workspaces,
        earlier_source=plan.earlier_source,
    )
    cluster.ledger_path.touch()
    if plan.quota:
        cluster.set_quota(plan.quota)
    else:
        cluster.write_table()
    for number in range(plan.targets):
        link = links.Link()
        await link.start()
        target = Target(number, f"t{number}", link)
        cluster.targets.append(target)
        await curio.run_in_thread(cluster.start_target, target)
    ports = [system.free_port() for _ in range(plan.entries)]
    for number, port in enumerate(ports):
        seeds = [f"127.0.0.1:{other}" for other in ports if other != port]
        cluster.entries.append(
            await _create_entry(cluster, number, port, seeds)
        )
    for entry in cluster.entries:
        cluster.start_entry(entry)
    for entry in cluster.entries:
        await await_ready(entry)
    return cluster


async def _create_entry(
    cluster: Cluster, number: int, port: int, seeds: list[str]
) -> Entry:
    store_link = links.Link(cluster.store.address)
    peer_link = links.Link(f"127.0.0.1:{port}")
    if cluster.workspaces:
        peer_link.record = cluster.directory / f"peers-{number}.bin"
    await store_link.start()
    await peer_link.start()
    caller_address = f"127.0.0.1:{system.free_port()}"
    settings: dict[str, Any] = {
        "entry": f"entry-{number}",
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "callers": {"address": caller_address},
        "readiness": {"address": f"127.0.0.1:{system.free_port()}"},
        "metrics": {"address": f"127.0.0.1:{system.free_port()}"},
        "platform": {"store": store_link.address},
        "target_source": links.source_of(number),
        "peers": {
            "listen": {"address": f"127.0.0.1:{port}"},
            "advertised": peer_link.address,
            "relay": {"address": f"127.0.0.1:{system.free_port()}"},
            "seeds": seeds,
        },
        "routes": {
            "repeat_share": invariants.RETRY_SHARE,
            "repeat_slack": invariants.RETRY_SLACK,
            "repeat_seconds": invariants.RETRY_WINDOW_SECONDS,
            "probes_per_second": 40,
            "grace_seconds": late_requests.GRACE_SECONDS,
        },
        "logs": {"json_lines": True},
    }
    if workspaces_lib.IS_STRICT and cluster.earlier_source is None:
        bound = workspaces_lib.REVOCATION_SECONDS * 1000
        settings["routes"]["revocation_ms"] = bound
    return Entry(
        number,
        settings,
        caller_address,
        store_link,
        peer_link,
        source=cluster.earlier_source,
    )


async def await_ready(entry: Entry) -> None:
    """Wait until an entry is ready.

    Raises:
        system.StartError: It exits, or is not ready in time.
    """
    end = time.monotonic() + _READY_SECONDS
    ready = entry.settings["readiness"]["address"]
    while time.monotonic() < end:
        if entry.popen is not None and entry.popen.poll() is not None:
            raise system.StartError(
                f"entry {entry.number} exited with status"
                f" {entry.popen.returncode} before it was ready"
            )
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
