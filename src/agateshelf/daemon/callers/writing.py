"""Writing the final word of a call to its caller."""

import contextlib
import socket
import struct

import curio
import h11

from agateshelf.daemon import certificates
from agateshelf.daemon import messages
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.targets import answers

_BODILESS_STATUSES = frozenset({204, 304})
_PIECE_BYTES = 262144
_END = h11.EndOfMessage()
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def write_whole(
    conn: reading.CallerConnection,
    word: problems.Reply | answers.Answer,
    *,
    head_only: bool,
    close: bool,
) -> None:
    """Write an answer that is held whole, a target's or this entry's own.

    Raises:
        OSError: The connection is broken.
    """
    lines = list(word.headers)
    has_body = not head_only and word.status not in _BODILESS_STATUSES
    if has_body:
        lines = [pair for pair in lines if pair[0] != b"content-length"]
        lines.append((b"content-length", b"%d" % len(word.body)))
    if close:
        lines.append((b"connection", b"close"))
    head = h11.Response(
        status_code=word.status,
        headers=messages.headers_to_h11(lines),
        reason=word.reason,
    )
    parts = [conn.protocol.send(head)]
    if word.body and has_body:
        parts.append(conn.protocol.send(h11.Data(data=word.body)))
    parts.append(conn.protocol.send(_END))
    await _send(conn, b"".join(parts))


async def _send(conn: reading.CallerConnection, data: bytes) -> None:
    """Send bytes in pieces, each a sign that the caller still reads."""
    if len(data) <= _PIECE_BYTES:
        await conn.sock.sendall(data)
        return
    view = memoryview(data)
    for at in range(0, len(data), _PIECE_BYTES):
        await conn.sock.sendall(view[at : at + _PIECE_BYTES])
        conn.steps += 1


async def write_stream(
    conn: reading.CallerConnection, answer: answers.Answer, *, close: bool
) -> None:
    """Pass a streaming answer on until it ends.

    Raises:
        h11.RemoteProtocolError: The target broke the answer off.
        curio.TaskTimeout: The target sent nothing for too long.
        OSError: Either connection is broken.
    """
    source = answer.source
    if source is None:
        raise ValueError("the answer does not stream")
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
        async with curio.timeout_after(conn.limits.idle_seconds):
            event = await source.next_event()
        conn.enter(reading.Phase.WRITING)
        if not isinstance(event, h11.Data):
            break
        await _send(conn, conn.protocol.send(h11.Data(data=event.data)))
    await _send(conn, conn.protocol.send(_END))


def reset_on_close(conn: reading.CallerConnection) -> None:
    """Have the close reset the connection, so that it can't seem a clean end.

    An answer to an HTTP/1.0 caller may have no other end than the close.
    """
    with contextlib.suppress(OSError):
        conn.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


async def linger(conn: reading.CallerConnection) -> None:
    """End a connection from this side, letting the caller read the answer.

    Closing at once with bytes of the caller unread would reset the connection
    and could take the answer with it.
    """
    certificates.send_close_notify(conn.sock)
    with contextlib.suppress(OSError):
        certificates.shutdown(conn.sock, socket.SHUT_WR)
        async with curio.ignore_after(const.LINGER_SECONDS):
            while await conn.sock.recv(const.READ_BYTES):
                pass
