"""Reads a caller's requests completely, within size and time limits."""

import dataclasses
import enum
from typing import TYPE_CHECKING

import curio
import h11

from agateshelf.core.outcomes import const as outcome_const
from agateshelf.daemon import fairness
from agateshelf.daemon import messages
from agateshelf.daemon.callers import checks
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import memory
from agateshelf.documents import settings

if TYPE_CHECKING:
    from agateshelf.daemon.callers import calls

BadRequestError = checks.BadRequestError

HEAD_END = b"\r\n\r\n"
# What a receive and a request cost, in steps of a turn.
_RECEIVE_WEIGHT = 4
_REQUEST_WEIGHT = 8


class Phase(enum.Enum):
    """Phase of a caller's connection."""

    IDLE = "idle"
    READING = "reading"
    WAITING = "waiting"
    WRITING = "writing"


@dataclasses.dataclass(slots=True)
class CallerConnection:
    """A caller's connection.

    Attributes:
        sock: The socket.
        protocol: HTTP state of the connection.
        peer: IP address of the caller.
        limits: Size and time limits.
        budget: Memory budget; None if its requests are not counted.
        buffer: Bytes read and not yet passed to the protocol.
        reserved: Bytes reserved in the budget for the current request.
        phase: Current phase.
        progress_count: Incremented whenever the connection makes progress, so
            that the watcher can detect stalled ones.
        watched: Whether a watcher enforces its timeouts.
        timed_out: Whether it made no progress within its timeout.
        call: Number of the call whose final response it waits for.
        disconnected: Whether the caller closed its side.
        read_shut: Whether this side shut down reading.
        is_new: Whether no byte of a request has arrived on it yet.
        turn: Lets other tasks run while a fast caller sends.
        scheme: `http`, or `https` on an encrypted connection.
        request: The request whose final response it waits for, on connections
            whose further requests may begin meanwhile.
        ahead: Calls that began behind that request, in the order of arrival.
        blocked: Whether no further request may begin before all responses to
            the earlier ones are written.
        pipelines: Whether the caller has sent a request before the response
            to the one before.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    peer: str
    limits: settings.Limits
    budget: memory.Budget | None = None
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    reserved: int = 0
    phase: Phase = Phase.IDLE
    progress_count: int = 0
    watched: bool = False
    timed_out: bool = False
    call: int | None = None
    disconnected: bool = False
    read_shut: bool = False
    is_new: bool = True
    turn: fairness.Turn = dataclasses.field(default_factory=fairness.Turn)
    scheme: bytes = b"http"
    request: messages.Request | None = None
    ahead: "list[calls.BegunCall]" = dataclasses.field(default_factory=list)
    blocked: bool = False
    pipelines: bool = False

    def enter(self, phase: Phase) -> None:
        """Enter a phase, which counts as progress."""
        self.phase = phase
        self.progress_count += 1
        if phase is not Phase.IDLE:
            self.is_new = False

    async def read_more(self) -> bool:
        """Read bytes into the buffer; return False at the end of the stream.

        Raises:
            OSError: The connection is broken.
        """
        data = await self.sock.recv(const.READ_BYTES)
        self.buffer += data
        await self.turn.step(_RECEIVE_WEIGHT)
        return bool(data)

    def reserve(self, size: int) -> None:
        """Reserve bytes of the budget for the current request.

        Raises:
            BadRequestError: The budget is exhausted; the request is rejected.
        """
        if self.budget is None:
            return
        if not self.budget.reserve(size):
            raise BadRequestError(
                const.STATUS_UNAVAILABLE,
                "no-memory",
                "This entry has no memory left to buffer the request.",
                const.RETRY_AFTER_SECONDS,
            )
        self.reserved += size

    def release(self) -> None:
        """Release the bytes reserved for the current request."""
        if self.budget is not None:
            self.budget.release(self.reserved)
        self.reserved = 0

    def has_pipelined_data(self) -> bool:
        """Return whether a pipelined request was already read, or a part."""
        return bool(self.ahead or self.buffer or self.protocol.trailing_data[0])

    def reclaim_trailing_data(self) -> None:
        """Move bytes of a pipelined request from the protocol to the buffer."""
        rest = self.protocol.trailing_data[0]
        if rest:
            self.buffer[:0] = rest
            self.protocol = create_protocol()


def create_protocol() -> h11.Connection:
    """Create the HTTP state of a caller's connection."""
    return h11.Connection(h11.SERVER)


async def read_request(
    conn: CallerConnection,
) -> messages.Request | None:
    """Return the next request, or None if the caller sends no more.

    Raises:
        BadRequestError: The request is rejected.
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
            raise _request_timeout() from None
        return None


async def _read_request(conn: CallerConnection) -> messages.Request | None:
    conn.enter(Phase.IDLE)
    data = await _read_head(conn)
    if data is None:
        return None
    try:
        head, headers = parse_head(conn.protocol, data)
        conn.reserve(len(data))
        body = await _read_body(conn, headers)
    except h11.RemoteProtocolError as exc:
        raise checks.malformed() from exc
    return create_request(conn, head, headers, body)


def parse_head(
    protocol: h11.Connection, data: bytes
) -> tuple[h11.Request, messages.Headers]:
    """Parse and check the head of a request.

    Raises:
        BadRequestError: The request is rejected.
        h11.RemoteProtocolError: The head is malformed.
    """
    checks.check_raw_head(data)
    protocol.receive_data(data)
    head = protocol.next_event()
    if not isinstance(head, h11.Request):
        raise checks.malformed()
    headers = messages.headers_from_h11(head.headers)
    checks.check_request(head, headers)
    return head, headers


def create_request(
    conn: CallerConnection,
    head: h11.Request,
    headers: messages.Headers,
    body: bytes,
) -> messages.Request:
    """Return a request of a connection from its parts."""
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
    """Return the raw head of the next request, None at a clean close."""
    conn.reclaim_trailing_data()
    await conn.turn.step(_REQUEST_WEIGHT)
    buffer = conn.buffer
    limit = conn.limits.header_bytes
    searched = 0
    while True:
        if buffer[:2] == b"\r\n":
            del buffer[:2]
        if buffer and conn.phase is Phase.IDLE:
            conn.enter(Phase.READING)
        end = buffer.find(HEAD_END, max(0, searched - len(HEAD_END)))
        if end >= 0:
            break
        if len(buffer) > limit:
            raise _headers_too_large()
        checks.check_partial_head(buffer)
        searched = len(buffer)
        if not await conn.read_more():
            if conn.timed_out and buffer:
                raise _request_timeout()
            return None
    size = end + len(HEAD_END)
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
        raise _body_too_large()
    if length:
        conn.reserve(length)
        await _send_continue(conn)
    parts: list[bytes] = []
    remaining = length
    while remaining:
        data = await _next_bytes(conn, remaining)
        remaining -= len(data)
        conn.protocol.receive_data(data)
        parts.append(data)
        _expect_event(conn, h11.Data)
    _expect_event(conn, h11.EndOfMessage)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _expect_event(conn: CallerConnection, kind: type[h11.Event]) -> None:
    if not isinstance(conn.protocol.next_event(), kind):
        raise checks.malformed()


async def _read_chunks(conn: CallerConnection) -> bytes:
    await _send_continue(conn)
    body = bytearray()
    tail = b""
    while True:
        await conn.turn.step()
        event = conn.protocol.next_event()
        if event is h11.NEED_DATA:
            data = await _next_bytes(conn, const.READ_BYTES)
            conn.protocol.receive_data(data)
            tail = tail[-len(HEAD_END) :] + data
            continue
        if not isinstance(event, h11.Data):
            break
        if len(body) + len(event.data) > conn.limits.request_body_bytes:
            raise _body_too_large()
        conn.reserve(len(event.data))
        body += event.data
    unread = len(conn.protocol.trailing_data[0])
    if not tail[: len(tail) - unread].endswith(HEAD_END):
        raise checks.malformed(
            "The chunked body does not end in an empty line."
        )
    return bytes(body)


async def _next_bytes(conn: CallerConnection, limit: int) -> bytes:
    if not conn.buffer and not await conn.read_more():
        if conn.timed_out:
            raise _request_timeout()
        if conn.read_shut:
            raise _stopping()
        raise checks.malformed(
            "The connection closed before the body was complete."
        )
    data = bytes(conn.buffer[:limit])
    del conn.buffer[:limit]
    return data


async def _send_continue(conn: CallerConnection) -> None:
    if not conn.protocol.they_are_waiting_for_100_continue or conn.buffer:
        return
    continue_response = h11.InformationalResponse(status_code=100, headers=[])
    await conn.sock.sendall(conn.protocol.send(continue_response))


def _body_too_large() -> BadRequestError:
    return BadRequestError(
        const.STATUS_BODY_TOO_LARGE,
        "body-too-large",
        "The request body exceeds the size limit.",
    )


def _headers_too_large() -> BadRequestError:
    return BadRequestError(
        const.STATUS_HEADERS_TOO_LARGE,
        "headers-too-large",
        "The request headers exceed the size limit.",
    )


def _stopping() -> BadRequestError:
    return BadRequestError(
        const.STATUS_UNAVAILABLE,
        outcome_const.REASON_STOPPING,
        "This entry is stopping and reads no further.",
        const.RETRY_AFTER_SECONDS,
    )


def _request_timeout() -> BadRequestError:
    return BadRequestError(
        const.STATUS_REQUEST_TIMEOUT,
        "request-timeout",
        "The request was not received within the time limit.",
    )
