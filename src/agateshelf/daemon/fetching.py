"""One HTTP request to another service, on a connection of its own."""

import dataclasses

import curio
import h11
from returns import result

from agateshelf.daemon.targets import connection

_MAX_BODY_BYTES = 8 << 20
_CONNECT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """A service gave no whole answer; what it did is not known.

    Attributes:
        reason: What went wrong, for logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A service's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to a service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


async def fetch(
    address: str,
    request: Request,
    timeout: float,
    *,
    notices_silence: bool = False,
) -> result.Result[Answer, NoAnswer]:
    """Send a request; return its answer, or none after a timeout.

    Args:
        address: `HOST:PORT` of the service.
        request: The request.
        timeout: Seconds after which it counts as unanswered.
        notices_silence: Whether a connection that has gone silent is noticed
            within seconds, also while a long answer is awaited.
    """
    try:
        async with curio.timeout_after(timeout):
            answer = await _exchange(address, request, notices_silence)
    except (OSError, curio.TaskTimeout, h11.ProtocolError) as exc:
        return result.Failure(NoAnswer(f"{address}: {type(exc).__name__}"))
    return result.Success(answer)


async def _exchange(
    address: str, request: Request, notices_silence: bool
) -> Answer:
    conn = connection.create_connection(address)
    try:
        if notices_silence:
            connection.enable_keepalive(conn.sock)
        async with curio.timeout_after(_CONNECT_SECONDS):
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


async def _read(conn: connection.TargetConnection) -> Answer:
    head = await conn.next_event()
    if not isinstance(head, h11.Response):
        raise h11.RemoteProtocolError("no answer")
    parts: list[bytes] = []
    size = 0
    while True:
        event = await conn.next_event()
        if not isinstance(event, h11.Data):
            break
        size += len(event.data)
        if size > _MAX_BODY_BYTES:
            raise h11.RemoteProtocolError("answer too large")
        parts.append(bytes(event.data))
    return Answer(head.status_code, tuple(head.headers), b"".join(parts))
