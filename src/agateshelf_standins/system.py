"""A small whole system of separate processes on loopback.

The demonstration, the tests on real processes and the live bench share it.
"""

import base64
from collections.abc import Iterator
import dataclasses
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
import urllib.error
import urllib.parse
import urllib.request

import zmq

from agateshelf.core.configuration import content
from agateshelf.core.configuration import records
from agateshelf.documents import configuration

START_SECONDS = 15.0
# Tells the stand-in store that the platform itself writes.
PLATFORM_HEADER = "Platform-Writer"
STOP_SECONDS = 15.0
_POLL_SECONDS = 0.02
# Linux gives outgoing connections 32768 and above by default.
_FIRST_PORT = 20_000
_PORTS = 12_000


class StartError(Exception):
    """A process did not come up."""


def _ports_in_turn() -> Iterator[int]:
    """Yield ports in turn, from one at random: other runs begin elsewhere."""
    first = secrets.randbelow(_PORTS)
    for number in range(first, first + _PORTS):
        yield _FIRST_PORT + number % _PORTS


_ports = _ports_in_turn()


@dataclasses.dataclass(slots=True)
class Process:
    """A process that this system started.

    Attributes:
        name: What it is.
        popen: The process.
        address: `HOST:PORT` it listens on.
    """

    name: str
    popen: subprocess.Popen[str]
    address: str

    def stop(self, how: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait for the end and return the exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(how)
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry instance of the product.

    Attributes:
        process: Its process; the address is the callers' one.
        admin: Administration address.
        settings: Its settings document.
    """

    process: Process
    admin: str
    settings: dict[str, Any]


@dataclasses.dataclass(slots=True)
class System:
    """All processes of one small system.

    Attributes:
        directory: Where settings files are written.
        processes: Everything started, in order.
    """

    directory: pathlib.Path
    processes: list[Process] = dataclasses.field(default_factory=list)

    def start_stand_in(self, module: str, *options: str) -> Process:
        """Start a stand-in and wait until it says where it listens."""
        command = [sys.executable, "-m", f"agateshelf_standins.{module}"]
        popen = subprocess.Popen(
            [*command, *options],
            stdout=subprocess.PIPE,
            text=True,
            env=_environment(),
        )
        process = Process(module, popen, "")
        self.processes.append(process)
        line = popen.stdout.readline() if popen.stdout else ""
        if not line.startswith("listening on "):
            raise StartError(f"{module} said {line!r}")
        process.address = line.split()[-1]
        return process

    def start_entry(self, settings: dict[str, Any]) -> Entry:
        """Start an entry; `start_entry` returns once it answers `/health`."""
        limits = settings.setdefault("limits", {})
        limits.setdefault("unready_seconds", 0)
        path = self.directory / f"{settings['entry']}.json"
        path.write_text(json.dumps(settings))
        popen = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "agateshelf.daemon.main",
                "--settings",
                str(path),
            ],
            text=True,
            env=_environment(),
        )
        callers = settings["callers"]
        admin = settings["administration"]
        process = Process(
            settings["entry"], popen, f"127.0.0.1:{callers['port']}"
        )
        self.processes.append(process)
        entry = Entry(process, f"127.0.0.1:{admin['port']}", settings)
        wait_for(entry.admin, "/health", popen)
        return entry

    def stop(self) -> None:
        """Stop everything, the last started first."""
        for process in reversed(self.processes):
            process.stop()


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """The system's key pair, shared by all its entries."""

    public: str
    secret: str


def create_keys() -> Keys:
    """Create the key pair of a system."""
    public, secret = zmq.curve_keypair()
    return Keys(public.decode(), secret.decode())


def connect_peers(settings: list[dict[str, Any]]) -> None:
    """Add to entries' settings what lets them speak to each other."""
    keys = create_keys()
    seeds = [
        {"entry": one["entry"], "address": f"127.0.0.1:{free_port()}"}
        for one in settings
    ]
    for one, seed in zip(settings, seeds, strict=True):
        port = int(seed["address"].rpartition(":")[2])
        one["peers"] = {
            "listen": {"port": port},
            "public_key": keys.public,
            "secret_key": keys.secret,
            "seeds": [other for other in seeds if other is not seed],
        }


def _environment() -> dict[str, str]:
    """Return an environment whose Python runs the code of this very tree."""
    source = pathlib.Path(__file__).resolve().parent.parent
    return {**os.environ, "PYTHONPATH": str(source)}


def create_system() -> System:
    """Create a system with no process yet."""
    return System(pathlib.Path(tempfile.mkdtemp(prefix="agateshelf-")))


def wait_for(address: str, path: str, popen: subprocess.Popen[str]) -> None:
    """Wait until an address answers a path with 200.

    Raises:
        StartError: It ended or did not answer in time.
    """
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        if popen.poll() is not None:
            raise StartError(f"ended with status {popen.returncode}")
        try:
            status, _ = request(address, "GET", path)
        except OSError:
            status = 0
        if status == 200:
            return
        time.sleep(_POLL_SECONDS)
    raise StartError(f"{address}{path} did not answer")


def request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request; return its status and body.

    Raises:
        OSError: There was no answer.
    """
    req = urllib.request.Request(
        f"http://{address}{path}", body, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(req, timeout=10.0) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


def put_configuration(store: str, document: dict[str, Any]) -> None:
    """Put a first configuration into an empty store.

    Args:
        store: Address of the store.
        document: Services and teams; it becomes version 1.

    Raises:
        ValueError: The store refused it.
    """
    parts = configuration.to_parts(document)
    for record in records.create_initial_records(
        content.create_content(1, parts)
    ):
        write_key(store, record.key, record.value, 0)


def read_key(store: str, key: str) -> tuple[bytes, int]:
    """Return the value and the revision of a key.

    Raises:
        ValueError: The store has no such key, or refused.
    """
    query = urllib.parse.urlencode({"key": key})
    status, text = request(store, "GET", f"/kv-key?{query}")
    if status != 200:
        raise ValueError(text.decode())
    item = json.loads(text)
    return base64.b64decode(item["value"]), item["revision"]


def write_key(
    store: str, key: str, value: bytes | None, revision: int | None = None
) -> int:
    """Write a key as the platform does; return the store's revision.

    Args:
        store: Address of the store.
        key: The key.
        value: Its value; None deletes it.
        revision: Revision that it must have, 0 for none; None for any.

    Raises:
        ValueError: The store refused it.
    """
    change: dict[str, Any] = {"precondition": [], "writes": [], "deletes": []}
    if revision is not None:
        change["precondition"] = [{"key": key, "revision": revision}]
    if value is None:
        change["deletes"] = [key]
    else:
        encoded = base64.b64encode(value).decode()
        change["writes"] = [{"key": key, "value": encoded, "lease": 0}]
    status, text = request(
        store,
        "POST",
        "/kv-txn",
        json.dumps(change).encode(),
        {PLATFORM_HEADER: "1"},
    )
    if status != 200:
        raise ValueError(text.decode())
    return int(json.loads(text)["revision"])


def control(process: Process, **options: Any) -> None:
    """Change options of a stand-in."""
    body = json.dumps(options).encode()
    status, text = request(process.address, "POST", "/control", body)
    if status != 200:
        raise ValueError(text.decode())


def free_port() -> int:
    """Return a port that nothing listens on now, each time another one.

    It lies below the ports that the kernel gives to outgoing connections: one
    of these could take it before the process that it is meant for does.
    """
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise StartError("no port is free")
