"""HTTP client that uses a new connection for each request."""

import dataclasses

import curio
import h11
from returns import result

from agateshelf.daemon.targets import connection

_MAX_BODY_BYTES = 8 << 20
_CONNECT_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """No usable response was received; the request may have been processed.

    Attributes:
        reason: Description of the error, for logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


async def fetch(
    address: str,
    request: Request,
    timeout: float,
    *,
    keepalive: bool = False,
) -> result.Result[Response, NoResponse]:
    """Send a request and return its response.

    Args:
        address: `HOST:PORT` of the server.
        request: The request.
        timeout: Seconds until the complete response must have been received.
        keepalive: Whether TCP keep-alives detect a dead connection within
            seconds, even while the server takes long to respond.
    """
    try:
        async with curio.timeout_after(timeout):
            response = await _exchange(address, request, keepalive)
    except (OSError, curio.TaskTimeout, h11.ProtocolError) as exc:
        return result.Failure(NoResponse(f"{address}: {type(exc).__name__}"))
    return result.Success(response)


async def _exchange(
    address: str, request: Request, keepalive: bool
) -> Response:
    conn = connection.create_connection(address)
    try:
        if keepalive:
            connection.enable_keepalive(conn.sock)
        async with curio.timeout_after(_CONNECT_TIMEOUT_SECONDS):
            await conn.connect()
        await conn.send(_request_bytes(conn, address, request))
        return await _read(conn)
    finally:
        await conn.close()


def _request_bytes(
    conn: connection.TargetConnection, address: str, request: Request
) -> bytes:
    headers = [("host", address), *request.headers]
    headers.append(("content-length", str(len(request.body))))
    head = h11.Request(
        method=request.method, target=request.path, headers=headers
    )
    parts = [conn.protocol.send(head) or b""]
    if request.body:
        parts.append(conn.protocol.send(h11.Data(data=request.body)) or b"")
    parts.append(conn.protocol.send(h11.EndOfMessage()) or b"")
    return b"".join(parts)


async def _read(conn: connection.TargetConnection) -> Response:
    head = await conn.read_head()
    body = bytearray()
    while True:
        event = await conn.next_event()
        if not isinstance(event, h11.Data):
            break
        body += event.data
        if len(body) > _MAX_BODY_BYTES:
            raise h11.RemoteProtocolError("response body too large")
    return Response(head.status_code, tuple(head.headers), bytes(body))
