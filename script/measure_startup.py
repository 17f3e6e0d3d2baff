"""Measures the start of an entry as a real process, until its first answer.

Starts it as in production (`-OO -S`, precompiled bytecode) before a stand-in of
the store and one target, while a caller sends all the time. For each step it
prints the wall time since the process was started and the processor time that
the process had used by then. The share of a core is kept by SIGSTOP.
"""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import statistics
import subprocess
import sys
import threading
import time
from typing import Any
from typing import Final

import click

from agateshelf_standins import member
from agateshelf_standins import system

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
# Short against the start, so that the stops don't round its time.
_PERIOD_SECONDS: Final = 0.01
_POLL_SECONDS: Final = 0.0005
_TIMEOUT_SECONDS: Final = 30.0
_REQUEST: Final = (
    b"GET /vin/1 HTTP/1.1\r\nHost: recall.example\r\n"
    b"X-Request-Id: r%d\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
)
_HANDLERS: Final = "handlers of signals"
_RESPONSE: Final = "first response"
_ANSWER: Final = "first answer of a target"
# Steps by the text of the log line that ends them.
_STEPS: Final = {
    "accepts callers": "listeners accept",
    "routes.adopted": "routes read",
    "target.registration": "targets read",
}
_TABLE: Final = {
    "version": 1,
    "routes": [
        {
            "name": "lookups",
            "host": "recall.example",
            "prefix": "/vin/",
            "kind": "safe",
            "service": "status",
            "timeout": 1000,
            "target_latency": 300,
            "max_attempts": 2,
            "priority": 1,
        }
    ],
    "services": [{"name": "status", "health_path": "/health"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": 3000,
        "idle_timeout": 15000,
    },
}


@dataclasses.dataclass
class Start:
    """One start of an entry.

    Attributes:
        popen: Its process.
        began: Monotonic time at which it was started, in seconds.
        steps: Wall and processor seconds by step.
        ended: Whether it is no longer measured.
    """

    popen: subprocess.Popen[bytes]
    began: float
    steps: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    ended: bool = False

    def reach(self, step: str) -> None:
        """Record a step, the first time."""
        wall = time.monotonic() - self.began
        self.steps.setdefault(step, (wall, self.processor_seconds()))

    def processor_seconds(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        path = pathlib.Path(f"/proc/{self.popen.pid}/schedstat")
        return int(path.read_text().split()[0]) / 1e9


def _keep_share(start: Start, share: float) -> None:
    """Let the process use a share of a core, by stopping it."""
    earned_from = time.monotonic()
    used_from = start.processor_seconds()
    while not start.ended:
        earned = (time.monotonic() - earned_from) * share
        used = start.processor_seconds() - used_from
        if used > earned + _PERIOD_SECONDS * share:
            os.kill(start.popen.pid, signal.SIGSTOP)
            time.sleep((used - earned) / share)
            os.kill(start.popen.pid, signal.SIGCONT)
        time.sleep(_POLL_SECONDS)


def _read_log(start: Start) -> None:
    assert start.popen.stdout is not None
    for line in start.popen.stdout:
        for text, step in _STEPS.items():
            if text.encode() in line and not start.ended:
                start.reach(step)


def _await_handlers(start: Start) -> None:
    path = pathlib.Path(f"/proc/{start.popen.pid}/status")
    while not start.ended:
        caught = path.read_text().partition("SigCgt:")[2].split()[0]
        if int(caught, 16) & 1 << signal.SIGHUP - 1:
            start.reach(_HANDLERS)
            return
        time.sleep(_POLL_SECONDS)


def _call(address: tuple[str, int], number: int) -> int:
    """Send a request; return the status of its response, or 0."""
    try:
        with socket.create_connection(address, 2.0) as sock:
            sock.sendall(_REQUEST % number)
            head = sock.recv(4096)
    except OSError:
        return 0
    return int(head.split()[1]) if head else 0


def _environment(cache: pathlib.Path, tree: pathlib.Path) -> dict[str, str]:
    """Return the environment of an entry: no site packages but by path."""
    libraries = pathlib.Path(str(click.__file__)).parent.parent
    path = f"{tree / 'src'}:{libraries}"
    kept = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
    return {**kept, "PYTHONPATH": path, "PYTHONPYCACHEPREFIX": str(cache)}


def measure(settings: pathlib.Path, env: dict[str, str], share: float) -> Start:
    """Start an entry and send requests until a target has answered one."""
    port = json.loads(settings.read_text())["callers"]["port"]
    began = time.monotonic()
    popen = subprocess.Popen(
        [sys.executable, "-OO", "-S", "-m", "agateshelf.daemon.main"],
        env={**env, "AGATESHELF_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    start = Start(popen, began)
    threads = [threading.Thread(target=_read_log, args=(start,))]
    threads.append(threading.Thread(target=_await_handlers, args=(start,)))
    if share < 1.0:
        arguments = (start, share)
        threads.append(threading.Thread(target=_keep_share, args=arguments))
    for thread in threads:
        thread.start()
    number = 0
    while time.monotonic() - began < _TIMEOUT_SECONDS:
        if popen.poll() is not None:
            raise system.StartError(f"entry exited with {popen.returncode}")
        number += 1
        status = _call(("127.0.0.1", port), number)
        if status:
            start.reach(_RESPONSE)
        if status == 200:
            start.reach(_ANSWER)
            break
        time.sleep(_POLL_SECONDS)
    start.ended = True
    for thread in threads[1:]:
        thread.join()
    popen.kill()
    popen.wait()
    threads[0].join()
    return start


def _write_settings(
    local: system.System, store: str, entries: int
) -> list[pathlib.Path]:
    """Write the settings of entries that follow routes; return the files."""
    ports = [system.free_port() for _ in range(entries)]
    seeds = [f"127.0.0.1:{port}" for port in ports[:3]]
    paths = []
    for index, port in enumerate(ports):
        document: dict[str, Any] = {
            "entry": f"entry-{index}",
            "failure_domain": f"domain-{index % 3}",
            "callers": {"port": system.free_port()},
            "readiness": {"port": system.free_port()},
            "metrics": {"port": system.free_port()},
            "platform": {"store": store},
            "peers": {"listen": {"port": port}, "seeds": seeds},
            "routes": {"grace_seconds": 1.0},
            "logs": {"json_lines": True},
        }
        path = local.directory / f"entry-{index}.json"
        path.write_text(json.dumps(document))
        paths.append(path)
    return paths


def _start_other(
    path: pathlib.Path, env: dict[str, str]
) -> subprocess.Popen[bytes]:
    """Start an entry that runs beside the measured one."""
    return subprocess.Popen(
        [sys.executable, "-OO", "-S", "-m", "agateshelf.daemon"],
        env={**env, "AGATESHELF_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def _report(starts: list[Start]) -> None:
    names = (_HANDLERS, *_STEPS.values(), _RESPONSE, _ANSWER)
    for name in names:
        reached = [s.steps[name] for s in starts if name in s.steps]
        if not reached:
            continue
        wall, processor = (
            statistics.median(values) for values in zip(*reached, strict=True)
        )
        fastest = min(value for value, _ in reached)
        print(
            f"{name:26} {wall * 1000:7.0f} ms (least {fastest * 1000:5.0f}), "
            f"processor {processor * 1000:5.0f} ms, {len(reached)} starts"
        )


@click.command()
@click.option("--share", default=0.43, help="Share of a core.")
@click.option("--starts", default=7, help="Number of starts.")
@click.option("--others", default=0, help="Entries that run beside it.")
@click.option(
    "--tree",
    default=_ROOT,
    type=click.Path(path_type=pathlib.Path),
    help="Checkout whose entry is measured.",
)
def main(share: float, starts: int, others: int, tree: pathlib.Path) -> None:
    """Print the median wall and processor time of each step."""
    local = system.create_system()
    running: list[subprocess.Popen[bytes]] = []
    try:
        store = local.start_stand_in("store").address
        ledger = local.directory / "ledger"
        options = ("--id", "t0", "--service", "status", "--domain", "domain-0")
        place = ("--store", store, "--ledger", str(ledger), "--slots", "4")
        local.start_stand_in("member", *options, *place)
        member.write_route_table(store, _TABLE)
        time.sleep(1.0)
        first, *rest = _write_settings(local, store, 1 + others)
        env = _environment(local.directory / "bytecode", tree)
        running.extend(_start_other(path, env) for path in rest)
        measure(first, env, 1.0)
        _report([measure(first, env, share) for _ in range(starts)])
    finally:
        for popen in running:
            popen.kill()
            popen.wait()
        local.stop()


if __name__ == "__main__":
    main()
