"""Real processes: peers that send bytes without end, fast or slowly.

Guards against loops over received bytes that never give the processor back: an
entry that read interim responses without end answered nobody any more.
"""

import contextlib
import pathlib
import socket
import threading
import time

import pytest
from tests.daemon import small_system

from agateshelf_standins import system

TIMEOUT_SECONDS = 1.0
# A response may come half a second after the route's timeout.
MARGIN_SECONDS = 0.5
# Time in which other callers of the entry get their answers meanwhile.
MAX_OTHER_SECONDS = 0.5
FLOOD_SECONDS = 2.0
MAX_GROWTH_KIB = 64 * 1024
# Pauses between the bytes of a fast and of a slow target.
PAUSES = (0.0, 0.01)
OTHER = ("other", 0.0)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
# First bytes, and those that follow again and again.
KINDS = {
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "status-line": (b"HTTP/1.1 200 ", b"OK"),
    "head": (HEAD, b"X-More: more\r\n"),
    "header": (HEAD + b"X-More: ", b"more"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "large-chunks": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "chunk-size": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"1;", b"a=b;"),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: more\r\n"),
    "length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x" * 0x4000),
    "after-answer": (WHOLE, b"more"),
    "answers": (WHOLE, WHOLE),
}
# Answers that are complete before the endless bytes begin.
COMPLETE = {"after-answer", "answers"}


class EndlessTarget:
    """A target on a thread; paths with `endless` get bytes without end."""

    def __init__(self, first, again, pause):
        self.first, self.again, self.pause = first, again, pause
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.closed = threading.Event()
        self.began = threading.Event()
        self.stopped = False
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            data = b""
            while received := sock.recv(65536):
                data += received
                if b"\r\n\r\n" not in data:
                    continue
                if b"/endless" in data:
                    self._flood(sock)
                    return
                sock.sendall(WHOLE)
                data = b""

    def _flood(self, sock):
        self.began.set()
        size = 1 if self.pause else max(1, 8192 // len(self.again))
        block = self.again * size
        try:
            sock.sendall(self.first)
            while not self.stopped:
                sock.sendall(block)
                if self.pause:
                    time.sleep(self.pause)
        except OSError:
            self.closed.set()

    def close(self):
        self.stopped = True
        self.listener.close()


class Running:
    """An entry with a service and a target for each kind and pause."""

    def __init__(self, created):
        self.targets = {
            (kind, pause): EndlessTarget(first, again, pause)
            for kind, (first, again) in KINDS.items()
            for pause in PAUSES
        }
        self.targets[OTHER] = EndlessTarget(b"", b"", 0.0)
        store = created.start_stand_in("store", "--port", "0")
        document = {
            "services": {
                f"service-{number}": create_service(number, target.address)
                for number, target in enumerate(self.targets.values())
            }
        }
        system.put_configuration(store.address, document)
        settings = {
            "entry": "entry-0",
            "failure_domain": "boston",
            "callers": {"port": system.free_port()},
            "administration": {"port": system.free_port()},
            "platform": {"store": store.address},
            "limits": {"request_seconds": 1},
        }
        self.entry = created.start_entry(settings)
        system.wait_for(self.entry.admin, "/ready", self.entry.process.popen)

    def path(self, key):
        return f"/{list(self.targets).index(key)}/"

    def connect(self):
        return small_system.SmallSystem(self.entry, None).connect()


def create_service(number, address):
    return {
        "team": "harborline",
        "prefix": f"/{number}/",
        "targets": [
            {"id": f"t{number}", "address": address, "failure_domain": "boston"}
        ],
        "timeout": TIMEOUT_SECONDS,
        "attempt_timeout": TIMEOUT_SECONDS,
        "store_away": "run-unclaimed",
        "slots": 8,
    }


@pytest.fixture(scope="module")
def running():
    """Yield one running system for all tests of this module."""
    created = system.create_system()
    started = Running(created)
    yield started
    for target in started.targets.values():
        target.close()
    created.stop()


def request(path):
    return (
        f"GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode()
    )


def resident_kib(process):
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


def fetch(running, path):
    """Return the bytes until the connection ends, and the seconds taken."""
    began = time.monotonic()
    with running.connect() as sock:
        sock.sendall(request(path))
        parts = []
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(1 << 20):
                parts.append(data[:100])
    return b"".join(parts), time.monotonic() - began


def other_callers(running, until):
    """Return the slowest answer of other callers while something goes on."""
    slowest = 0.0
    while not until.is_set():
        got, seconds = fetch(running, running.path(OTHER))
        assert got.endswith(b"ok"), got
        slowest = max(slowest, seconds)
        time.sleep(0.02)
    return slowest


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("kind", KINDS)
def test_a_target_that_sends_without_end(kind, pause, running):
    target = running.targets[kind, pause]
    path = running.path((kind, pause))
    assert fetch(running, path)[0].endswith(b"ok")
    before = resident_kib(running.entry.process)
    done = threading.Event()
    found = []

    def endless():
        try:
            found.append(fetch(running, f"{path}endless"))
            target.closed.wait(3.0)
        finally:
            done.set()

    threading.Thread(target=endless, daemon=True).start()
    slowest = other_callers(running, done)
    got, seconds = found[0]
    assert seconds <= TIMEOUT_SECONDS + MARGIN_SECONDS
    assert slowest <= MAX_OTHER_SECONDS
    if kind in COMPLETE:
        assert got.endswith(b"ok")
    else:
        assert not got.endswith((b"ok", b"0\r\n\r\n"))
    assert target.closed.wait(3.0)
    growth = resident_kib(running.entry.process) - before
    assert growth <= MAX_GROWTH_KIB


HEAD_OF_POST = (
    b"POST /0/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CALLERS = {
    "refused": (
        b"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n",
        b"more bytes ",
    ),
    "chunks": (HEAD_OF_POST, b"1\r\nx\r\n"),
    "pipelined": (b"", b"GET /gone HTTP/1.1\r\nHost: h\r\n\r\n"),
    "empty-lines": (b"", b"\r\n"),
}


@pytest.mark.parametrize("kind", CALLERS)
def test_a_caller_that_sends_without_end(kind, running):
    first, again = CALLERS[kind]
    done = threading.Event()

    def flood():
        end = time.monotonic() + FLOOD_SECONDS
        with contextlib.suppress(OSError), running.connect() as sock:
            sock.settimeout(0.2)
            with contextlib.suppress(TimeoutError):
                sock.sendall(first)
                while time.monotonic() < end:
                    sock.sendall(again * 512)
        done.set()

    threading.Thread(target=flood, daemon=True).start()
    assert other_callers(running, done) <= MAX_OTHER_SECONDS
