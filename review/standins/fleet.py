"""Starts entries with the command of the deploy file, and their stand-ins."""

import asyncio
from collections import abc
import dataclasses
import itertools
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import Any

from standins import http
from standins import member
from standins import record
from standins import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Exit statuses of the scripts.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
START_SECONDS = 20.0
GRACE_SECONDS = 6.0
ROUTE_HOST = "shop.example"
# Below the ports that the kernel gives to outgoing connections.
_FIRST_PORT = 20_000
_PORT_COUNT = 12_000

BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_slack": 56,
    "budget_window": 10,
    "probes_per_s": 60,
    "grace": GRACE_SECONDS,
    "drain": 2.0,
    "config_apply": 2.0,
}


def _iterate_ports() -> abc.Iterator[int]:
    """Yield each port once, from a random one."""
    first = secrets.randbelow(_PORT_COUNT)
    for number in range(first, first + _PORT_COUNT):
        yield _FIRST_PORT + number % _PORT_COUNT


_ports = _iterate_ports()


def free_port() -> int:
    """Return a port that nothing listens on, another one on each call."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
    raise OSError("no port is free")


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry of the system, as a process of its own."""

    name: str
    zone: str
    front: int
    ready: int
    control: int
    relay: int
    metrics: int
    popen: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the address at which it serves clients."""
        return HOST, self.front


@dataclasses.dataclass(slots=True)
class Fleet:
    """Entries, the store and servers of one small deployment."""

    directory: pathlib.Path
    log: record.Record
    store: store_lib.Store
    store_port: int
    zones: tuple[str, ...]
    entries: list[Entry] = dataclasses.field(default_factory=list)
    members: list[member.Member] = dataclasses.field(default_factory=list)
    revoke_ms: int | None = None
    store_port_of: dict[str, int] = dataclasses.field(default_factory=dict)

    def add_entries(self, count: int) -> None:
        """Add entries, in turn in each zone."""
        for number in range(count):
            ports = [free_port() for _ in range(5)]
            zone = self.zones[number % len(self.zones)]
            self.entries.append(Entry(f"edge-{number}", zone, *ports))

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry."""
        path = self.directory / f"{entry.name}.json"
        path.write_text(json.dumps(self.settings_of(entry)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["AGATESHELF_NODE_FILE"] = str(path)
        with (self.directory / f"{entry.name}.log").open("ab") as output:
            entry.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.log.add("start", entry=entry.name)

    def settings_of(self, entry: Entry) -> dict[str, Any]:
        """Return what the template of the deploy file renders."""
        routes: dict[str, Any] = {
            "repeat_share": BOUNDS["retry_budget_ratio"],
            "repeat_slack": BOUNDS["budget_slack"],
            "repeat_seconds": BOUNDS["budget_window"],
            "probes_per_second": BOUNDS["probes_per_s"],
            "regions": dict.fromkeys(self.zones, "region"),
            "grace_seconds": BOUNDS["grace"],
        }
        if self.revoke_ms is not None:
            routes["revocation_ms"] = self.revoke_ms
        store_port = self.store_port_of.get(entry.name, self.store_port)
        return {
            "entry": entry.name,
            "failure_domain": entry.zone,
            "callers": {"address": f"{HOST}:{entry.front}"},
            "readiness": {"address": f"{HOST}:{entry.ready}"},
            "metrics": {"address": f"{HOST}:{entry.metrics}"},
            "platform": {"store": f"{HOST}:{store_port}"},
            "peers": {
                "listen": {"address": f"{HOST}:{entry.control}"},
                "relay": {"address": f"{HOST}:{entry.relay}"},
                "seeds": [f"{HOST}:{e.control}" for e in self.entries[:3]],
            },
            "routes": routes,
            "capacity": {
                "core_share": 0.86,
                "core_speed": 1,
                "link_megabits": 1000.0,
            },
            "limits": {"connections": 1500, "kept_target_connections": 8},
            "logs": {"json_lines": True},
        }

    async def wait_ready(self, entry: Entry) -> bool:
        """Wait until an entry says that it is ready."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + START_SECONDS
        while loop.time() < ends:
            if await self.is_ready(entry):
                self.log.add("ready", entry=entry.name)
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, entry: Entry) -> bool:
        """Return whether an entry answers `/ready` with 200."""
        answer = await http.send(
            (HOST, entry.ready), "GET", "/ready", {"Host": "r"}, timeout=1.0
        )
        return answer.status == 200

    async def add_member(self, service: str, **options: Any) -> member.Member:
        """Start a server of a service."""
        number = len(self.members)
        added = member.Member(
            f"i-{number:04d}",
            service,
            self.zones[number % len(self.zones)],
            HOST,
            free_port(),
            self.store,
            self.log,
            **options,
        )
        self.members.append(added)
        await added.start()
        return added

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for entry in self.entries:
            if entry.popen is not None and entry.popen.poll() is None:
                entry.popen.send_signal(signal.SIGCONT)
                entry.popen.kill()
                entry.popen.wait()
        for one in self.members:
            await one.close()
        if self.store.server is not None:
            await self.store.server.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)


def route(
    prefix: str, service: str, kind: str = "safe", **more: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": ROUTE_HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout": 3000,
        "target_latency": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> bytes:
    """Return a configuration as the operator writes it."""
    names = sorted({one["service"] for one in routes})
    document: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 240,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": 3000,
            "idle_timeout": 15000,
        },
    }
    if tenants is not None:
        document["tenants"] = tenants
    return json.dumps(document).encode()


async def create_fleet(
    case: pathlib.Path, entries: int, zones: tuple[str, ...] = ("zone-a",)
) -> Fleet:
    """Start a store, and prepare entries that aren't started yet."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="agateshelf-review-"))
    store = store_lib.Store()
    port = free_port()
    await store.start(HOST, port)
    log = record.Record(case / "record.txt")
    fleet = Fleet(directory, log, store, port, zones)
    fleet.add_entries(entries)
    return fleet


_request_ids = itertools.count(1)


async def ask(
    fleet: Fleet,
    entry: Entry,
    path: str,
    *,
    method: str = "GET",
    deadline_ms: int = 3000,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> http.Answer:
    """Send one request of a client and record it with its answer."""
    request_id = f"{next(_request_ids):016x}"
    sent = {
        "Host": ROUTE_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    fleet.log.add("sent", entry=entry.name, id=request_id, path=path)
    answer = await http.send(
        entry.address, method, path, sent, body, deadline_ms / 1000 + 0.2
    )
    fleet.log.add(
        "answer",
        entry=entry.name,
        id=request_id,
        status=answer.status,
        error=answer.error,
        seconds=round(answer.seconds, 3),
    )
    answer.request_id = request_id
    return answer


Play = abc.Callable[..., abc.Awaitable[int]]


def run_case(case: pathlib.Path, play: Play, *, entries: int) -> int:
    """Play a case once; return the exit status of its script.

    Args:
        case: Folder of the case, in which `record.txt` is written.
        play: Plays it with a fleet, and with or without its trouble.
        entries: Number of entries.
    """

    async def run() -> int:
        fleet = await create_fleet(case, entries)
        task = asyncio.current_task()
        if task is not None:
            # A script that takes too long ends its processes as well.
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await play(fleet, trouble=os.environ.get("TROUBLE") != "0")
        finally:
            await fleet.stop()
            fleet.log.write()

    try:
        return asyncio.run(run())
    except (OSError, asyncio.CancelledError):
        return CANNOT_RUN
