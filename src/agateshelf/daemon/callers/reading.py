"""Reading one request of a caller, whole and within its limits."""

import dataclasses
import enum

import curio
import h11

from agateshelf.daemon import messages
from agateshelf.daemon.callers import checks
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import memory
from agateshelf.documents import settings

BadRequestError = checks.BadRequestError

_HEAD_END = b"\r\n\r\n"


class Phase(enum.Enum):
    """What a caller's connection is at."""

    IDLE = "idle"
    READING = "reading"
    WAITING = "waiting"
    WRITING = "writing"


@dataclasses.dataclass(slots=True)
class CallerConnection:
    """A caller's connection.

    Attributes:
        sock: The socket.
        protocol: The state of HTTP on it.
        peer: Address of the caller.
        limits: What it may take.
        budget: The entry's budget of held bytes, if it is counted.
        buffer: Bytes read and not yet given to the protocol.
        held: Bytes counted in the budget for the present request.
        phase: What it is at.
        steps: Counts each sign of getting on, for the watcher.
        watched: Whether a watcher keeps its deadlines.
        expired: Whether it stood still for too long.
        call: Number of the call whose final word it waits for.
        left: Whether the caller has closed its side.
        scheme: `http`, or `https` on an encrypted connection.
        deaf: Whether this side has ended reading.
        fresh: Whether no byte of a request has come on it yet.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    peer: str
    limits: settings.Limits
    budget: memory.Budget | None = None
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    held: int = 0
    phase: Phase = Phase.IDLE
    steps: int = 0
    watched: bool = False
    expired: bool = False
    call: int | None = None
    left: bool = False
    deaf: bool = False
    fresh: bool = True
    scheme: bytes = b"http"

    def enter(self, phase: Phase) -> None:
        """Go over to another phase."""
        self.phase = phase
        self.steps += 1
        if phase is not Phase.IDLE:
            self.fresh = False

    async def fill(self) -> bool:
        """Read more bytes; return whether there were any.

        Raises:
            OSError: The connection is broken.
        """
        data = await self.sock.recv(const.READ_BYTES)
        self.buffer += data
        return bool(data)

    def hold(self, size: int) -> None:
        """Count bytes of the request as held.

        Raises:
            BadRequestError: The budget is spent; the request was not taken.
        """
        if self.budget is None:
            return
        if not self.budget.reserve(size):
            raise BadRequestError(
                const.STATUS_UNAVAILABLE,
                "no-memory",
                "This entry has no memory for the request now.",
                const.RETRY_AFTER_SECONDS,
            )
        self.held += size

    def release(self) -> None:
        """Count the request as no longer held."""
        if self.budget is not None:
            self.budget.release(self.held)
        self.held = 0

    def has_more(self) -> bool:
        """Return whether bytes of a next request were read already."""
        return bool(self.buffer or self.protocol.trailing_data[0])

    def take_back(self) -> None:
        """Take back bytes of the next request that the protocol has read."""
        rest = self.protocol.trailing_data[0]
        if rest:
            self.buffer[:0] = rest
            self.protocol = create_protocol()


def create_protocol() -> h11.Connection:
    """Create the state of HTTP on a connection of a caller."""
    return h11.Connection(h11.SERVER)


async def read_request(
    conn: CallerConnection,
) -> messages.Request | None:
    """Return the next request, or None if the caller sends no more.

    Raises:
        BadRequestError: The request can't be taken.
        OSError: The connection is broken.
    """
    if conn.watched:
        return await _read_request(conn)
    seconds = conn.limits.idle_seconds
    try:
        async with curio.timeout_after(seconds):
            return await _read_request(conn)
    except curio.TaskTimeout:
        if conn.phase is Phase.READING:
            raise _too_slow() from None
        return None


async def _read_request(conn: CallerConnection) -> messages.Request | None:
    conn.enter(Phase.IDLE)
    data = await _read_head(conn)
    if data is None:
        return None
    checks.check_lines(data)
    try:
        conn.protocol.receive_data(data)
        head = conn.protocol.next_event()
        if not isinstance(head, h11.Request):
            raise checks.malformed()
        headers = messages.headers_from_h11(head.headers)
        checks.check_request(head, headers)
        conn.hold(len(data))
        body = await _read_body(conn, headers)
    except h11.RemoteProtocolError as exc:
        raise checks.malformed() from exc
    return messages.Request(
        method=bytes(head.method),
        path=bytes(head.target),
        headers=messages.end_to_end(headers),
        body=body,
        peer=conn.peer,
        http_version=bytes(head.http_version),
        scheme=conn.scheme,
    )


async def _read_head(conn: CallerConnection) -> bytes | None:
    """Return the raw head of the next request, None at a clean end."""
    conn.take_back()
    buffer = conn.buffer
    limit = conn.limits.header_bytes
    searched = 0
    while True:
        if buffer[:2] == b"\r\n":
            del buffer[:2]
        if buffer and conn.phase is Phase.IDLE:
            conn.enter(Phase.READING)
        end = buffer.find(_HEAD_END, max(0, searched - len(_HEAD_END)))
        if end >= 0:
            break
        if len(buffer) > limit:
            raise _headers_too_large()
        checks.check_beginning(buffer)
        searched = len(buffer)
        if not await conn.fill():
            if conn.expired and buffer:
                raise _too_slow()
            return None
    size = end + len(_HEAD_END)
    if size > limit:
        raise _headers_too_large()
    data = bytes(buffer[:size])
    del buffer[:size]
    return data


async def _read_body(
    conn: CallerConnection, headers: messages.Headers
) -> bytes:
    length = checks.body_length(headers)
    if length is None:
        return await _read_chunks(conn)
    if length > conn.limits.request_body_bytes:
        raise _too_large()
    if length:
        conn.hold(length)
        await _send_continue(conn)
    parts: list[bytes] = []
    missing = length
    while missing:
        data = await _next_bytes(conn, missing)
        missing -= len(data)
        conn.protocol.receive_data(data)
        parts.append(data)
        _expect(conn, h11.Data)
    _expect(conn, h11.EndOfMessage)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _expect(conn: CallerConnection, kind: type[h11.Event]) -> None:
    if not isinstance(conn.protocol.next_event(), kind):
        raise checks.malformed()


async def _read_chunks(conn: CallerConnection) -> bytes:
    await _send_continue(conn)
    parts: list[bytes] = []
    size = 0
    tail = b""
    while True:
        event = conn.protocol.next_event()
        if event is h11.NEED_DATA:
            data = await _next_bytes(conn, const.READ_BYTES)
            conn.protocol.receive_data(data)
            tail = tail[-len(_HEAD_END) :] + data
            continue
        if not isinstance(event, h11.Data):
            break
        size += len(event.data)
        if size > conn.limits.request_body_bytes:
            raise _too_large()
        conn.hold(len(event.data))
        parts.append(bytes(event.data))
    unread = len(conn.protocol.trailing_data[0])
    if not tail[: len(tail) - unread].endswith(_HEAD_END):
        raise checks.malformed("The chunked body does not end in CR LF.")
    return b"".join(parts)


async def _next_bytes(conn: CallerConnection, limit: int) -> bytes:
    if not conn.buffer and not await conn.fill():
        if conn.expired:
            raise _too_slow()
        raise checks.malformed("The body was cut short.")
    data = bytes(conn.buffer[:limit])
    del conn.buffer[:limit]
    return data


async def _send_continue(conn: CallerConnection) -> None:
    if not conn.protocol.they_are_waiting_for_100_continue or conn.buffer:
        return
    go_on = h11.InformationalResponse(status_code=100, headers=[])
    await conn.sock.sendall(conn.protocol.send(go_on))


def _too_large() -> BadRequestError:
    return BadRequestError(
        const.STATUS_BODY_TOO_LARGE,
        "body-too-large",
        "The body is larger than allowed.",
    )


def _headers_too_large() -> BadRequestError:
    return BadRequestError(
        const.STATUS_HEADERS_TOO_LARGE,
        "headers-too-large",
        "The headers are too large.",
    )


def _too_slow() -> BadRequestError:
    return BadRequestError(
        const.STATUS_REQUEST_TIMEOUT,
        "request-timeout",
        "The request came too slowly.",
    )
