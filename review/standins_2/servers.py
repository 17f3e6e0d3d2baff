"""Stand-in of a server: sound unless a case makes it fail."""

import asyncio
import dataclasses
import hashlib
import time

from standins_2 import http
from standins_2 import store

_HEARTBEAT_SECONDS = 1.5
_CHUNK_BYTES = 65536


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a server has begun to work on.

    Attributes:
        request: Its `X-Request-Id`.
        path: Its path.
        server: Identifier of the server.
        at: When it began, on the steady clock.
        status: Status of the answer.
    """

    request: str
    path: str
    server: str
    at: float
    status: int = 0


def body_of(request: str, size: int) -> bytes:
    """Return the whole body of the answer to a request."""
    block = hashlib.sha256(request.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def signature_of(request: str, status: int) -> str:
    """Return the signature of an answer."""
    return f"{hashlib.sha256(request.encode()).hexdigest()[:8]}.{status}"


def _refusal_headers(head: http.Head) -> str:
    request = head.headers.get("x-request-id", "")
    return f"X-Request-Id: {request}\r\nX-Not-Executed: 1\r\n"


def _answer_headers(request: str, status: int) -> str:
    signature = signature_of(request, status)
    return f"X-Request-Id: {request}\r\nX-Response-Signature: {signature}\r\n"


class Server:
    """A server that registers itself and records its runs."""

    def __init__(
        self,
        platform: store.Store,
        identifier: str,
        service: str,
        zone: str,
        *,
        slots: int = 3,
        work_seconds: float = 0.2,
        answer_bytes: int = 600,
    ) -> None:
        """Create a server that isn't started yet."""
        self.platform = platform
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.answer_bytes = answer_bytes
        self.address = ""
        self.runs: list[Run] = []
        self.running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port of an address and register."""
        server = await asyncio.start_server(
            self._serve, host, 0, limit=http.STREAM_LIMIT
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmup_left": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            self.platform.put(f"servers/{self.identifier}", entry)
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def hold(self, writer: asyncio.StreamWriter) -> None:
        """Wait while the link to the peer of a connection is cut."""
        del writer

    def load(self) -> str:
        """Return the value of `X-Server-Load`."""
        return f"{self.running},0,{self.slots}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self.hold(writer)
                head = await http.read_head(reader)
                await self.hold(writer)
                if early := self.early_status(head):
                    request = head.headers.get("x-request-id", "")
                    headers = _answer_headers(request, early)
                    await self.send(writer, early, headers, b"")
                    await http.read_body(reader, head.headers)
                    continue
                body = await http.read_body(reader, head.headers)
                if head.start[1] == "/health":
                    self.note_check(writer)
                    await self.send(writer, 200, "", b"")
                elif head.headers.get("x-target-instance") != self.identifier:
                    await self.send(writer, 421, "X-Not-Executed: 1\r\n", b"")
                else:
                    await self._run(writer, head, body)
        except (http.BrokenMessageError, OSError):
            pass
        finally:
            writer.close()

    def early_status(self, head: http.Head) -> int:
        """Return with what a request is answered before its body is read.

        It is 0 for a request whose body is read first.
        """
        del head
        return 0

    def note_check(self, writer: asyncio.StreamWriter) -> None:
        """Note a health check."""
        del writer

    async def _run(
        self, writer: asyncio.StreamWriter, head: http.Head, body: bytes
    ) -> None:
        del body
        request = head.headers.get("x-request-id", "")
        if self.running >= self.slots:
            await self.send(writer, 503, _refusal_headers(head), b"")
            return
        run = Run(request, head.start[1], self.identifier, time.monotonic())
        self.runs.append(run)
        self.running += 1
        try:
            await self.work(run)
        finally:
            self.running -= 1
        await self.hold(writer)
        run.status = self.status_of(run)
        await self.send(
            writer,
            run.status,
            _answer_headers(request, run.status),
            body_of(request, self.size_of(run)),
        )

    async def work(self, run: Run) -> None:
        """Work on a request."""
        del run
        await asyncio.sleep(self.work_seconds)

    def size_of(self, run: Run) -> int:
        """Return the size of the body of an answer."""
        del run
        return self.answer_bytes

    def status_of(self, run: Run) -> int:
        """Return the status of the answer to a request that has run."""
        del run
        return 200

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: str,
        body: bytes,
    ) -> None:
        """Send an answer."""
        head = (
            f"HTTP/1.1 {status} Answer\r\n{headers}"
            f"X-Instance-Id: {self.identifier}\r\n"
            f"X-Server-Load: {self.load()}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode())
        for begin in range(0, len(body), _CHUNK_BYTES):
            await self.pace(begin, len(body))
            await self.hold(writer)
            writer.write(body[begin : begin + _CHUNK_BYTES])
            await writer.drain()
        await writer.drain()

    async def pace(self, sent: int, size: int) -> None:
        """Wait before the next part of a body is sent."""
        del sent, size
