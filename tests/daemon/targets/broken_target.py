"""A stand-in of a target that answers with any bytes, and a caller of it."""

import contextlib
import dataclasses
import enum
import fcntl
import socket
import struct
import termios
import threading

import curio
import h11
from tests.core import routed_fleet
from tests.daemon import conftest
from tests.daemon import test_routes

from agateshelf.core.reach import models as reach_models
from agateshelf.core.reach import relays
from agateshelf.daemon import clock
from agateshelf.daemon import listening
from agateshelf.documents import settings

TIMEOUT_SECONDS = 4.0
MAX_UPLOAD_BYTES = 16 << 20
# Larger bodies of answers are streamed.
BUFFERED_BYTES = 1 << 20
# Small, so that the upload is still being sent when its answer comes.
_RECEIVE_BUFFER_BYTES = 4096
_HEAD_BYTES = 1024
_FLOOD_REPEATS = 1000
# What a caller keeps of a body.
_MAX_KEPT_BYTES = 2 << 20
_RESET = struct.pack("ii", 1, 0)


class End(enum.Enum):
    """What the target does after its answer."""

    FLOOD = "flood"
    RESET = "reset"
    # The reset comes when all of the answer and its end have arrived.
    CLOSE_THEN_RESET = "close, then reset"
    CLOSE = "close"
    KEEP = "keep"


@dataclasses.dataclass
class Answer:
    """How the target answers a request.

    Attributes:
        data: The bytes.
        end: What it does then.
        pause: Seconds between both.
        reads_all: Whether it reads the whole request first.
        again: What it sends without end in a flood.
    """

    data: bytes
    end: End = End.KEEP
    pause: float = 0.0
    reads_all: bool = False
    again: bytes = b""


class BrokenTarget:
    """Answers the first requests of each connection well, the next as told.

    It runs on threads, so that its answer comes while the entry still sends.

    Attributes:
        answer: How it answers.
        good: Number of requests of a connection that are answered well.
        runs: Number of requests that were answered as told.
        address: `HOST:PORT` that it accepts connections at.
    """

    def __init__(self, answer, good=0):
        self.answer = answer
        self.good = good
        self.runs = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        if not answer.reads_all:
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.stopped = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.stopped.set()
        self.listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for _ in range(self.good):
                head = _read_request(sock)
                sock.sendall(conftest.http_response(extra=signed_like(head)))
            self._break(sock)

    def _break(self, sock):
        if self.answer.reads_all:
            head = _read_request(sock)
        else:
            head = sock.recv(_HEAD_BYTES)
        if not head:
            return
        self.runs += 1
        sock.sendall(self.answer.data)
        self.stopped.wait(self.answer.pause)
        match self.answer.end:
            case End.FLOOD:
                block = self.answer.again * _FLOOD_REPEATS
                while not self.stopped.is_set():
                    sock.sendall(block)
            case End.RESET:
                _reset_on_close(sock)
            case End.CLOSE_THEN_RESET:
                sock.shutdown(socket.SHUT_WR)
                self._wait_until_acknowledged(sock)
                _reset_on_close(sock)
            case End.KEEP:
                self.stopped.wait()

    def _wait_until_acknowledged(self, sock):
        # A reset would drop what has not been sent yet.
        while _unacknowledged_bytes(sock) and not self.stopped.is_set():
            self.stopped.wait(0.001)


def _unacknowledged_bytes(sock):
    left = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", left)[0]


def _reset_on_close(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def _read_request(sock):
    """Return the head of a request after its body has been read."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(65536)
        if not data:
            return b""
        received += data
    head, _, rest = received.partition(b"\r\n\r\n")
    left = int(_field(head, b"content-length") or 0) - len(rest)
    while left > 0:
        data = sock.recv(65536)
        if not data:
            return b""
        left -= len(data)
    return head


def _field(head, name):
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return None


def signed_like(head):
    """Return the headers that an answer to a request has."""
    request_id = _field(head, b"x-request-id") or b"r1"
    return b"X-Request-Id: %b\r\nX-Response-Signature: s\r\n" % request_id


@dataclasses.dataclass
class Received:
    """What a caller got.

    Attributes:
        status: Status of the answer; None without one.
        headers: Its headers.
        body: Its body as far as it came, or the first part of a large one.
        complete: Whether it came to its end.
    """

    status: int | None = None
    headers: tuple = ()
    body: bytes = b""
    complete: bool = False


async def ask(
    address, path, body=b"", request_id=b"r1", timeout=TIMEOUT_SECONDS
):
    """Send a request as a caller, and return what comes back."""
    host, _, port = address.rpartition(":")
    sock = await curio.open_connection(host, int(port))
    protocol = h11.Connection(h11.CLIENT)
    head = h11.Request(
        method="POST" if body else "GET",
        target=path,
        headers=[
            ("Host", "recall.example"),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", f"{1000 * timeout:.0f}"),
            ("Content-Length", str(len(body))),
        ],
    )
    data = protocol.send(head)
    if body:
        data += protocol.send(h11.Data(data=body))
    data += protocol.send(h11.EndOfMessage())
    async with sock:
        sender = await curio.spawn(_send, sock, data, daemon=True)
        received = await _receive(sock, protocol)
        await sender.cancel()
    return received


async def ask_by_http_1_0(address, path, body):
    """Return the bytes that come back, and whether the connection is reset."""
    host, _, port = address.rpartition(":")
    sock = await curio.open_connection(host, int(port))
    head = (
        f"POST {path} HTTP/1.0\r\nHost: recall.example\r\nX-Request-Id: r1\r\n"
        f"X-Deadline-Ms: 4000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    received = b""
    async with sock:
        sender = await curio.spawn(
            _send, sock, head.encode() + body, daemon=True
        )
        try:
            while data := await sock.recv(65536):
                received += data
        except ConnectionResetError:
            return received, True
        finally:
            await sender.cancel()
    return received, False


async def _send(sock, data):
    with contextlib.suppress(OSError):
        await sock.sendall(data)


async def _receive(sock, protocol):
    received = Received()
    body = bytearray()
    with contextlib.suppress(OSError, h11.RemoteProtocolError):
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await sock.recv(65536))
            elif isinstance(event, h11.Response):
                received.status = event.status_code
                received.headers = tuple(event.headers)
            elif isinstance(event, h11.Data):
                if len(body) <= _MAX_KEPT_BYTES:
                    body += event.data
            else:
                received.complete = isinstance(event, h11.EndOfMessage)
                break
    received.body = bytes(body)
    return received


def create_table():
    """Create routes for idempotent and non-idempotent uploads."""
    lookups = routed_fleet.create_route(timeout=TIMEOUT_SECONDS, max_attempts=1)
    bookings = routed_fleet.create_route(
        name="b", prefix="/book/", idempotent=False, timeout=TIMEOUT_SECONDS
    )
    table = routed_fleet.create_table(1, lookups, bookings)
    limits = dataclasses.replace(table.limits, body_bytes=MAX_UPLOAD_BYTES)
    return dataclasses.replace(table, limits=limits)


async def _listen(rig, path):
    listener = listening.create_listener(
        settings.SecureListen(port=0), rig.server.serve, path
    )
    await listener.start()
    return listener.address


@dataclasses.dataclass
class Entry:
    """An entry in front of the stand-in.

    Attributes:
        address: `HOST:PORT` at which it accepts callers.
        rigs: The entry, and the one that relays its requests, if any.
    """

    address: str
    rigs: list


async def start_entry(target, monkeypatch=None):
    """Start an entry; it reaches the target by a relay with `monkeypatch`."""
    rigs = []
    if monkeypatch is not None:
        relay = await _create_rig(target, is_relay=True)
        rigs.append(relay)
        relay_address = await _listen(relay, "/relay")
        monkeypatch.setattr(relays, "choose", lambda *_: "entry-1")
        monkeypatch.setattr(relays, "address_of", lambda *_: relay_address)
    rig = await _create_rig(target)
    rigs.insert(0, rig)
    if monkeypatch is not None:
        state = rig.driver.state
        for service in state.directory.services:
            cut = reach_models.ServiceReach(cut_since=clock.now())
            state.reach.services[service] = cut
    return Entry(await _listen(rig, "/callers"), rigs)


async def _create_rig(target, *, is_relay=False):
    return await test_routes.create_entry_for(
        [target], create_table(), is_relay=is_relay
    )


def run(test, seconds=20):
    """Run a coroutine function in real time, as the kernel's clock does."""

    async def limited():
        async with curio.timeout_after(seconds):
            return await test()

    with curio.Kernel() as kernel:
        return kernel.run(limited)
