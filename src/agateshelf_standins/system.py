"""Runs entries and stand-ins as separate processes on the loopback interface.

The demonstration, the soak, the live benches and the tests with real processes
share it.
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

START_TIMEOUT_SECONDS = 15.0
# Request header that tells the stand-in of the store that the platform writes.
PLATFORM_HEADER = "Platform-Writer"
STOP_TIMEOUT_SECONDS = 15.0
_POLL_SECONDS = 0.02
# Below the ports that Linux assigns to outgoing connections by default, which
# start at 32768.
_FIRST_PORT = 12_000
_BLOCK_PORTS = 500
_BLOCKS = 40


class StartError(Exception):
    """A process failed to start."""


def _iterate_ports() -> Iterator[int]:
    """Yield ports from blocks that no other process takes ports from.

    A port stays with its system while the process that listens on it is down
    for a restart.
    """
    start = secrets.randbelow(_BLOCKS)
    for number in range(start, start + _BLOCKS):
        first = _FIRST_PORT + number % _BLOCKS * _BLOCK_PORTS
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        yield from range(first + 1, first + _BLOCK_PORTS)


# Sockets bound to the first port of each block that this process has claimed.
_claims: list[socket.socket] = []
_ports = _iterate_ports()


@dataclasses.dataclass(slots=True)
class Process:
    """A process started by a `System`.

    Attributes:
        name: Module of the stand-in or name of the entry.
        popen: Handle of the process.
        address: `HOST:PORT` it listens on.
    """

    name: str
    popen: subprocess.Popen[str]
    address: str

    def stop(self, signo: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait for the exit and return the exit status.

        A process that does not exit in time is killed.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signo)
        try:
            return self.popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry.

    Attributes:
        process: Its process; the address is the one for callers.
        admin: `HOST:PORT` for administration.
        settings: Its settings document.
    """

    process: Process
    admin: str
    settings: dict[str, Any]


@dataclasses.dataclass(slots=True)
class System:
    """The processes of one local system.

    Attributes:
        directory: Directory to which settings files are written.
        processes: All processes, in the order in which they were started.
    """

    directory: pathlib.Path
    processes: list[Process] = dataclasses.field(default_factory=list)

    def start_stand_in(self, module: str, *options: str) -> Process:
        """Start a stand-in and wait until it prints its address.

        Args:
            module: Module of `agateshelf_standins` to run.
            *options: Its command-line options.

        Raises:
            StartError: It printed something else or exited.
        """
        command = [sys.executable, "-m", f"agateshelf_standins.{module}"]
        popen = subprocess.Popen(
            [*command, *options],
            stdout=subprocess.PIPE,
            text=True,
            env=_environment(),
        )
        process = Process(module, popen, "")
        self.processes.append(process)
        first_line = popen.stdout.readline() if popen.stdout else ""
        if not first_line.startswith("listening on "):
            raise StartError(
                f"stand-in {module} printed {first_line!r}, not its address"
            )
        process.address = first_line.split()[-1]
        return process

    def start_entry(self, settings: dict[str, Any]) -> Entry:
        """Start an entry and wait until `/health` answers 200.

        Raises:
            StartError: It exited or did not answer in time.
        """
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
        """Stop all processes, the last started first."""
        for process in reversed(self.processes):
            process.stop()


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPair:
    """CURVE key pair that all entries of a system share."""

    public: str
    secret: str


def create_key_pair() -> KeyPair:
    """Create a CURVE key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


def add_peer_settings(settings: list[dict[str, Any]]) -> None:
    """Add the `peers` section to the settings of entries.

    They share a key pair, and each has all others as seeds.
    """
    key_pair = create_key_pair()
    seeds = [
        {"entry": document["entry"], "address": f"127.0.0.1:{free_port()}"}
        for document in settings
    ]
    for document, seed in zip(settings, seeds, strict=True):
        port = int(seed["address"].rpartition(":")[2])
        document["peers"] = {
            "listen": {"port": port},
            "public_key": key_pair.public,
            "secret_key": key_pair.secret,
            "seeds": [other for other in seeds if other is not seed],
        }


def _environment() -> dict[str, str]:
    """Return an environment in which Python imports this source tree."""
    source = pathlib.Path(__file__).resolve().parent.parent
    return {**os.environ, "PYTHONPATH": str(source)}


def create_system() -> System:
    """Create a system without processes, in a new temporary directory."""
    return System(pathlib.Path(tempfile.mkdtemp(prefix="agateshelf-")))


def wait_for(address: str, path: str, popen: subprocess.Popen[str]) -> None:
    """Wait until a GET of a path is answered with 200.

    Args:
        address: `HOST:PORT` that the process listens on.
        path: The path.
        popen: The process.

    Raises:
        StartError: The process exited or did not answer in time.
    """
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if popen.poll() is not None:
            raise StartError(f"process exited with status {popen.returncode}")
        try:
            status, _ = request(address, "GET", path)
        except OSError:
            status = 0
        if status == 200:
            return
        time.sleep(_POLL_SECONDS)
    raise StartError(f"{address}{path} was not ready in time")


def request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send a request and return the status and body of the response.

    Raises:
        OSError: There was no response.
    """
    http_request = urllib.request.Request(
        f"http://{address}{path}", body, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(http_request, timeout=10.0) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


def put_configuration(store: str, document: dict[str, Any]) -> None:
    """Write the initial configuration to an empty store.

    Args:
        store: `HOST:PORT` of the store.
        document: Services and teams; it becomes version 1.

    Raises:
        ValueError: The store rejected it.
    """
    parts = configuration.to_parts(document)
    for record in records.create_initial_records(
        content.create_content(1, parts)
    ):
        write_key(store, record.key, record.value, 0)


def read_key(store: str, key: str) -> tuple[bytes, int]:
    """Return the value and the revision of a key.

    Raises:
        ValueError: The key does not exist, or the store rejected the request.
    """
    query = urllib.parse.urlencode({"key": key})
    status, response_body = request(store, "GET", f"/kv-key?{query}")
    if status != 200:
        raise ValueError(response_body.decode())
    item = json.loads(response_body)
    return base64.b64decode(item["value"]), item["revision"]


def write_key(
    store: str, key: str, value: bytes | None, revision: int | None = None
) -> int:
    """Write a key as the platform does; return the store's new revision.

    Args:
        store: `HOST:PORT` of the store.
        key: The key.
        value: Its new value; None deletes it.
        revision: Revision that it must have; 0 if it must not exist, None for
            any.

    Raises:
        ValueError: The store rejected it.
    """
    change: dict[str, Any] = {"precondition": [], "writes": [], "deletes": []}
    if revision is not None:
        change["precondition"] = [{"key": key, "revision": revision}]
    if value is None:
        change["deletes"] = [key]
    else:
        encoded = base64.b64encode(value).decode()
        change["writes"] = [{"key": key, "value": encoded, "lease": 0}]
    status, response_body = request(
        store,
        "POST",
        "/kv-txn",
        json.dumps(change).encode(),
        {PLATFORM_HEADER: "1"},
    )
    if status != 200:
        raise ValueError(response_body.decode())
    return int(json.loads(response_body)["revision"])


def read_keys(store: str, prefix: str) -> list[str]:
    """Return the first keys of the store under a prefix.

    Raises:
        ValueError: The store rejected it.
    """
    path = f"/kv-range?prefix={urllib.parse.quote(prefix)}"
    status, body = request(store, "GET", path, headers={PLATFORM_HEADER: "1"})
    if status != 200:
        raise ValueError(body.decode())
    return [item["key"] for item in json.loads(body)["items"]]


def set_options(process: Process, **options: Any) -> None:
    """Change options of a running stand-in.

    Raises:
        ValueError: An option is unknown or its value is invalid.
    """
    body = json.dumps(options).encode()
    status, response_body = request(process.address, "POST", "/control", body)
    if status != 200:
        raise ValueError(response_body.decode())


def free_port() -> int:
    """Return a free port, a different one on each call.

    It is below the range from which the kernel assigns ports to outgoing
    connections; otherwise such a connection could take the port before the
    process for which it is meant binds it.
    """
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise StartError("no free port is left")
