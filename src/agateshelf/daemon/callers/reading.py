"""Reading one request of a caller, whole and within its limits."""

import dataclasses

import curio
import h11

from agateshelf.daemon import messages
from agateshelf.daemon.callers import const
from agateshelf.documents import settings

_STATUS_BAD = 400
_STATUS_TIMEOUT = 408
_STATUS_BODY = 413
_STATUS_HEADERS = 431
_STATUS_NOT_IMPLEMENTED = 501


class BadRequestError(Exception):
    """A request that can't be read; the connection ends after the answer."""

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


@dataclasses.dataclass(slots=True)
class CallerConnection:
    """A caller's connection.

    Attributes:
        sock: The socket.
        protocol: The state of HTTP on it.
        peer: Address of the caller.
        limits: What it may take.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    peer: str
    limits: settings.Limits

    async def next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of a request.

        Raises:
            h11.RemoteProtocolError: The bytes are no proper request.
            OSError: The connection is broken.
        """
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                await self._send_continue()
            data = await self.sock.recv(const.READ_BYTES)
            self.protocol.receive_data(data)

    async def _send_continue(self) -> None:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await self.sock.sendall(self.protocol.send(go_on) or b"")


async def read_request(
    conn: CallerConnection,
) -> messages.Request | None:
    """Return the next request, or None if the caller sends no more.

    Raises:
        BadRequestError: The request can't be taken.
        OSError: The connection is broken.
    """
    try:
        head = await _read_head(conn)
        if head is None:
            return None
        _check_head(head, conn.limits)
        async with curio.timeout_after(conn.limits.request_seconds):
            body = await _read_body(conn)
    except h11.RemoteProtocolError as exc:
        raise _bad_request(exc) from None
    except curio.TaskTimeout:
        raise BadRequestError(
            _STATUS_TIMEOUT, "request-timeout", "The request came too slowly."
        ) from None
    return messages.Request(
        method=bytes(head.method),
        path=bytes(head.target),
        headers=messages.end_to_end(tuple(head.headers)),
        body=body,
        peer=conn.peer,
        http_version=bytes(head.http_version),
    )


async def _read_head(conn: CallerConnection) -> h11.Request | None:
    async with curio.ignore_after(conn.limits.idle_seconds):
        event = await conn.next_event()
        if isinstance(event, h11.Request):
            return event
        return None
    if conn.protocol.trailing_data[0]:
        raise BadRequestError(
            _STATUS_TIMEOUT, "request-timeout", "The request came too slowly."
        )
    return None


def _check_head(head: h11.Request, limits: settings.Limits) -> None:
    length = messages.header(tuple(head.headers), b"content-length")
    if length is not None and int(length) > limits.request_body_bytes:
        raise _too_large()
    if head.method == b"CONNECT":
        raise BadRequestError(
            _STATUS_NOT_IMPLEMENTED, "no-tunnels", "CONNECT is not served."
        )


async def _read_body(conn: CallerConnection) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        event = await conn.next_event()
        if not isinstance(event, h11.Data):
            return b"".join(parts)
        size += len(event.data)
        if size > conn.limits.request_body_bytes:
            raise _too_large()
        parts.append(bytes(event.data))


def _too_large() -> BadRequestError:
    return BadRequestError(
        _STATUS_BODY, "body-too-large", "The body is larger than allowed."
    )


def _bad_request(exc: h11.RemoteProtocolError) -> BadRequestError:
    if exc.error_status_hint == _STATUS_HEADERS:
        return BadRequestError(
            _STATUS_HEADERS, "headers-too-large", "The headers are too large."
        )
    return BadRequestError(
        _STATUS_BAD, "malformed-request", "The request is malformed."
    )
