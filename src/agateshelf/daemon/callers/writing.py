"""Writing the final word of a call to its caller."""

import h11

from agateshelf.daemon import messages
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.targets import answers

_BODILESS_STATUSES = frozenset({204, 304})


async def write_reply(
    conn: reading.CallerConnection,
    reply: problems.Reply,
    *,
    head_only: bool,
    close: bool,
) -> None:
    """Write an answer of this entry's own.

    Raises:
        OSError: The connection is broken.
    """
    await _write_whole(
        conn,
        reply.status,
        reply.reason,
        reply.headers,
        reply.body,
        head_only=head_only,
        close=close,
    )


async def write_answer(
    conn: reading.CallerConnection,
    answer: answers.Answer,
    via: bytes,
    *,
    head_only: bool,
    close: bool,
) -> None:
    """Write a target's answer that is held whole.

    Raises:
        OSError: The connection is broken.
    """
    await _write_whole(
        conn,
        answer.status,
        answer.reason,
        (*answer.headers, (b"via", b"1.1 " + via)),
        answer.body,
        head_only=head_only,
        close=close,
    )


async def _write_whole(
    conn: reading.CallerConnection,
    status: int,
    reason: bytes,
    headers: messages.Headers,
    body: bytes,
    *,
    head_only: bool,
    close: bool,
) -> None:
    lines = list(headers)
    if not head_only and status not in _BODILESS_STATUSES:
        lines = [pair for pair in lines if pair[0] != b"content-length"]
        lines.append((b"content-length", b"%d" % len(body)))
    if close:
        lines.append((b"connection", b"close"))
    head = h11.Response(status_code=status, headers=lines, reason=reason)
    parts = [conn.protocol.send(head) or b""]
    if body and not head_only and status not in _BODILESS_STATUSES:
        parts.append(conn.protocol.send(h11.Data(data=body)) or b"")
    parts.append(conn.protocol.send(h11.EndOfMessage()) or b"")
    await conn.sock.sendall(b"".join(parts))


async def write_stream(
    conn: reading.CallerConnection,
    answer: answers.Answer,
    via: bytes,
) -> None:
    """Pass a streaming answer on until it ends.

    Raises:
        h11.RemoteProtocolError: The target broke the answer off.
        OSError: Either connection is broken.
    """
    source = answer.source
    if source is None:
        raise ValueError("the answer does not stream")
    headers = [*answer.headers, (b"via", b"1.1 " + via)]
    head = h11.Response(
        status_code=answer.status, headers=headers, reason=answer.reason
    )
    await conn.sock.sendall(conn.protocol.send(head) or b"")
    await _write_data(conn, answer.body)
    while True:
        event = await source.next_event()
        if not isinstance(event, h11.Data):
            break
        await _write_data(conn, bytes(event.data))
    await conn.sock.sendall(conn.protocol.send(h11.EndOfMessage()) or b"")


async def _write_data(conn: reading.CallerConnection, data: bytes) -> None:
    await conn.sock.sendall(conn.protocol.send(h11.Data(data=data)) or b"")
