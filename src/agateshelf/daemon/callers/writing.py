"""Writes the final response of a call to its caller."""

import contextlib
import socket
import struct

import curio
import h11

from agateshelf.daemon import certificates
from agateshelf.daemon import clock
from agateshelf.daemon import messages
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.targets import answers

_BODILESS_STATUSES = frozenset({204, 304})
_SEND_CHUNK_BYTES = 262144
_END_OF_MESSAGE = h11.EndOfMessage()
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def write_buffered(
    conn: reading.CallerConnection,
    response: problems.Reply | answers.Answer,
    *,
    head_only: bool,
    close: bool,
) -> None:
    """Write a buffered response, a target's or this entry's own.

    Raises:
        OSError: The connection is broken.
    """
    headers = list(response.headers)
    has_body = not head_only and response.status not in _BODILESS_STATUSES
    if has_body:
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        headers.append((b"content-length", b"%d" % len(response.body)))
    if close:
        headers.append((b"connection", b"close"))
    head = h11.Response(
        status_code=response.status,
        headers=messages.headers_to_h11(headers),
        reason=response.reason,
    )
    parts = [conn.protocol.send(head)]
    if response.body and has_body:
        parts.append(conn.protocol.send(h11.Data(data=response.body)))
    parts.append(conn.protocol.send(_END_OF_MESSAGE))
    await _send(conn, b"".join(parts))


async def _send(conn: reading.CallerConnection, data: bytes) -> None:
    """Send bytes in chunks; each one sent counts as progress of the caller."""
    if len(data) <= _SEND_CHUNK_BYTES:
        await conn.sock.sendall(data)
        return
    view = memoryview(data)
    for offset in range(0, len(data), _SEND_CHUNK_BYTES):
        await conn.sock.sendall(view[offset : offset + _SEND_CHUNK_BYTES])
        conn.progress_count += 1


async def write_stream(
    conn: reading.CallerConnection, answer: answers.Answer, *, close: bool
) -> None:
    """Forward a streamed answer until it ends.

    Raises:
        h11.RemoteProtocolError: The target's answer is incomplete.
        curio.TaskTimeout: The target did not send all of the answer within the
            call's timeout, or nothing within the idle timeout to a caller that
            has left.
        OSError: Either connection is broken.
    """
    source = answer.source
    if source is None:
        raise ValueError(
            "answer is buffered and has no connection to stream from"
        )
    headers = list(answer.headers)
    if close:
        headers.append((b"connection", b"close"))
    head = h11.Response(
        status_code=answer.status,
        headers=messages.headers_to_h11(headers),
        reason=answer.reason,
    )
    await _send(conn, conn.protocol.send(head))
    await _send(conn, conn.protocol.send(h11.Data(data=answer.body)))
    while True:
        conn.enter(reading.Phase.WAITING)
        left = answer.expires_at - clock.now()
        if left <= 0:
            raise curio.TaskTimeout("the call's timeout passed")
        seconds = min(conn.limits.idle_seconds, left)
        async with curio.ignore_after(seconds) as silence:
            event = await source.next_event()
        if silence.expired:
            if conn.disconnected:
                raise curio.TaskTimeout("the caller left a silent target")
            continue
        conn.enter(reading.Phase.WRITING)
        if not isinstance(event, h11.Data):
            break
        await _send(conn, conn.protocol.send(h11.Data(data=event.data)))
    await _send(conn, conn.protocol.send(_END_OF_MESSAGE))


def reset_on_close(conn: reading.CallerConnection) -> None:
    """Make the close reset the connection, so that it isn't taken for clean.

    The end of a response to an HTTP/1.0 caller may be marked only by the close.
    """
    with contextlib.suppress(OSError):
        conn.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


async def linger(conn: reading.CallerConnection) -> None:
    """Shut down writing and discard input until the caller closes.

    Closing at once with unread bytes would reset the connection, and the caller
    could lose the response.
    """
    certificates.send_close_notify(conn.sock)
    with contextlib.suppress(OSError):
        certificates.shutdown(conn.sock, socket.SHUT_WR)
        async with curio.ignore_after(const.LINGER_SECONDS):
            while await conn.sock.recv(const.READ_BYTES):
                # Lets the timeout end the loop while a fast caller sends.
                await curio.sleep(0)
