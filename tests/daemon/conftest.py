"""Fixtures: an entry and a scripted target on one loop in virtual time."""

import dataclasses
import socket

import curio
import curio.network
import h11
import pytest

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.daemon import main as daemon_main
from agateshelf.daemon.callers import memory
from agateshelf.daemon.callers import server
from agateshelf.documents import settings

PEER = ("203.0.113.9", 4711)


def http_response(body=b"ok", *, status=200, extra=b""):
    """Return the bytes of a response with a `Content-Length`."""
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n"
    return head % (status, len(body), extra) + body


@dataclasses.dataclass
class ReceivedRequest:
    """A request as received by the target."""

    method: bytes
    target: bytes
    headers: list
    body: bytes
    connection: int

    def header(self, name):
        return [value for key, value in self.headers if key == name]


class ScriptedTarget:
    """A target that responds to each request with the bytes from a script.

    The script is called with a `ReceivedRequest` and the socket. If it returns
    None, the connection is closed.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0
        self.closed = 0
        self.address = ""

    async def start(self):
        sock = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=64)
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        await curio.spawn(self._accept, sock, daemon=True)

    async def _accept(self, sock):
        while True:
            conn, _ = await sock.accept()
            # Virtual time would pass the real time of a delayed segment by.
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections += 1
            await curio.spawn(self._serve, conn, self.connections, daemon=True)

    async def _serve(self, sock, number):
        protocol = h11.Connection(h11.SERVER)
        async with sock:
            while True:
                request = await self._read(sock, protocol, number)
                if request is None:
                    break
                self.requests.append(request)
                response = await self.script(request, sock)
                if response is None:
                    break
                await sock.sendall(response)
                protocol = h11.Connection(h11.SERVER)
        self.closed += 1

    async def _read(self, sock, protocol, number):
        head, body = None, b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await sock.recv(65536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return ReceivedRequest(
                    bytes(head.method),
                    bytes(head.target),
                    list(head.headers),
                    body,
                    number,
                )
            else:
                return None


class Caller:
    """The caller's side of a connection."""

    def __init__(self, sock):
        self.sock = sock
        self.received = b""

    async def send(self, data):
        await self.sock.sendall(data)

    async def read_responses(self, count=1):
        """Read until a number of complete responses have been received."""
        while True:
            responses = split_responses(self.received)
            if len(responses) >= count:
                return responses
            data = await self.sock.recv(65536)
            if not data:
                raise EOFError(self.received[:200])
            self.received += data

    async def read_to_end(self):
        """Read until the connection is closed."""
        while data := await self.sock.recv(65536):
            self.received += data
        return self.received

    async def request(self, data):
        await self.send(data)
        (response,) = await self.read_responses(1)
        return response


@dataclasses.dataclass
class ReceivedResponse:
    """A response as received by the caller."""

    status: int
    head: bytes
    body: bytes


def split_responses(data):
    """Return the complete responses at the start of `data`."""
    responses = []
    while True:
        end = data.find(b"\r\n\r\n")
        if end < 0:
            return responses
        head, rest = data[: end + 2], data[end + 4 :]
        status = int(head.split()[1])
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        if status < 200:
            length = 0
        if len(rest) < length:
            return responses
        responses.append(ReceivedResponse(status, head, rest[:length]))
        data = rest[length:]


class Rig:
    """An entry and its target on one loop."""

    def __init__(self, target, driver, caller_server, budget):
        self.target = target
        self.driver = driver
        self.server = caller_server
        self.budget = budget
        self.open = 0

    async def caller(self):
        """Connect a caller."""
        caller_side, entry_side = curio.socket.socketpair()
        await curio.spawn(self._serve, entry_side, daemon=True)
        return Caller(caller_side)

    async def _serve(self, sock):
        self.open += 1
        try:
            async with sock:
                await self.server.serve(sock, PEER)
        finally:
            self.open -= 1


def create_service(address, **changes):
    values = {
        "name": "bookings",
        "team": "harborline",
        "prefix": "/",
        "targets": (models.Target("t0", address, "boston"),),
        "non_idempotent": frozenset({"POST"}),
        "priority": models.Priority.URGENT,
        "timeout": 5.0,
        "attempt_timeout": 2.0,
        "refusal_marks": (),
        "probe_rate": 0.0,
        "probe_bytes": 0.0,
        "retry_share": 0.05,
        "slots": 2,
        "queue": 64,
        "callers": (),
        "store_outage_policy": models.StoreOutagePolicy.RUN_UNCLAIMED,
        "claim_lifetime": 600.0,
        "poison_crashes": 2,
    }
    return models.Service(**{**values, **changes})


async def create_rig(
    script, limits=None, wrap=lambda driver: driver, **service
):
    """Start an entry and a scripted target."""
    target = ScriptedTarget(script)
    await target.start()
    cfg = settings.Settings(
        entry="entry-0",
        failure_domain="boston",
        callers=settings.SecureListen(port=0),
        administration=settings.AdministrationListen(port=0),
        platform=settings.Platform(store="127.0.0.1:9"),
        limits=settings.Limits(**(limits or {})),
    )
    budget = memory.Budget(cfg.limits.held_total_bytes)
    driver = wrap(daemon_main.create_driver(cfg, 1, budget))
    caller_server = server.create_server(driver, cfg, budget)
    await curio.spawn(driver.run_timers, daemon=True)
    await curio.spawn(driver.targets.run_deadlines, daemon=True)
    await curio.spawn(driver.targets.connections.run, daemon=True)
    await curio.spawn(caller_server.watcher.run, daemon=True)
    policy = create_service(target.address, **service)
    configuration = models.Configuration(1, {policy.name: policy})
    await driver.post(events.ConfigurationRead(configuration))
    return Rig(target, driver, caller_server, budget)


@pytest.fixture
def serve(virtual_run):
    """Run a test's coroutine with a rig whose target follows a script."""

    def run(script, test, limits=None, **service):
        async def body():
            rig = await create_rig(script, limits, **service)
            return await test(rig)

        return virtual_run(body)

    return run
