"""Runs requests that a caller sends before its earlier ones are answered.

Idempotent requests behind one that waits begin at once and are answered in the
order of arrival. Nothing is taken from the buffer unless it is complete and may
begin; all else stays there and is read, checked and refused in its turn.
"""

import h11

from agateshelf.core.routes import matching
from agateshelf.daemon import certificates
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.callers import calls
from agateshelf.daemon.callers import checks
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import reading

# Calls of one connection that have begun and whose responses are not written.
MAX_CALLS_PER_CONNECTION = 8
# Larger bodies wait their turn, so that an upload doesn't fill the buffer.
MAX_BODY_BYTES = 32768
# What a request costs, in steps of a turn.
_REQUEST_WEIGHT = 8


def can_look_ahead(conn: reading.CallerConnection) -> bool:
    """Return whether a further request may begin now, if there is one."""
    return (
        conn.call is not None
        and not conn.blocked
        and not conn.disconnected
        and len(conn.ahead) < MAX_CALLS_PER_CONNECTION - 1
    )


async def look_ahead(
    driver: daemon_driver.Driver,
    conn: reading.CallerConnection,
    request: messages.Request,
) -> None:
    """Begin the requests that have arrived behind the one that waits.

    It never waits for the caller. Both the connection's task and the watcher
    call it; each takes a request and queues it without a pause in between, so
    that the order of the queue is that of the arrival. It ends when another
    request has become the next, as that one may not be followed by any.

    Args:
        driver: Driver that requests are submitted to.
        conn: The connection.
        request: The request that is answered next.
    """
    if not conn.ahead and not _may_be_followed(driver, conn, request):
        conn.blocked = True
        return
    while conn.request is request and can_look_ahead(conn):
        begun = _take(driver, conn)
        if begun is None:
            # During a stop, what was read is answered, and no more is read.
            may_read = driver.ready and not conn.read_shut
            if conn.blocked or not may_read or not _receive(conn):
                return
            continue
        conn.pipelines = True
        driver.metrics.count("callers.pipelined")
        # It may have been cancelled while other tasks ran.
        if begun.call in driver.exchanges.open:
            await calls.submit(driver, begun)
        await conn.turn.step(_REQUEST_WEIGHT)


async def cancel_ahead(
    driver: daemon_driver.Driver, conn: reading.CallerConnection
) -> None:
    """End all calls behind one whose response closed the connection.

    A call that can't be ended keeps no other one running; its exception is
    raised at the end.
    """
    conn.blocked = True
    if not conn.ahead:
        return
    begun = conn.ahead.pop()
    try:
        await calls.cancel(driver, begun)
    finally:
        _release(conn, begun)
        await cancel_ahead(driver, conn)


def _may_be_followed(
    driver: daemon_driver.Driver,
    conn: reading.CallerConnection,
    request: messages.Request,
) -> bool:
    """Return whether requests behind an unanswered one may begin.

    Not if its answer closes the connection. After a chunked body, bytes of the
    next request may still be in the protocol, where they can't be peeked at.
    """
    return (
        conn.protocol.their_state is h11.DONE
        and not conn.protocol.trailing_data[0]
        and _is_idempotent(driver, request)
    )


def _is_idempotent(
    driver: daemon_driver.Driver, request: messages.Request
) -> bool:
    host = messages.header(request.headers, b"host") or b""
    route = matching.find_route(
        driver.state.routes,
        host.decode("latin-1"),
        request.path.decode("latin-1"),
    )
    return route is not None and route.idempotent


def _receive(conn: reading.CallerConnection) -> bool:
    """Read bytes that have arrived; return whether there were any.

    It is called only while the next request is incomplete, which bounds the
    buffer by the size of such a request and one read.
    """
    data = certificates.receive_now(conn.sock, const.READ_BYTES)
    conn.buffer += data
    return bool(data)


def _take(
    driver: daemon_driver.Driver, conn: reading.CallerConnection
) -> calls.BegunCall | None:
    """Move the next request from the buffer to the queue, if it may begin.

    If it must wait its turn whatever else arrives, it blocks the connection.
    """
    buffer = conn.buffer
    start = len(b"\r\n") if buffer[:2] == b"\r\n" else 0
    found = buffer.find(reading.HEAD_END, start)
    body_at = found + len(reading.HEAD_END)
    if found < 0 or body_at - start > conn.limits.header_bytes:
        conn.blocked = found >= 0 or len(buffer) > conn.limits.header_bytes
        return None
    data = bytes(buffer[start:body_at])
    protocol = reading.create_protocol()
    try:
        head, headers = reading.parse_head(protocol, data)
    except (checks.BadRequestError, h11.RemoteProtocolError):
        conn.blocked = True
        return None
    length = checks.body_length(headers)
    limit = min(MAX_BODY_BYTES, conn.limits.request_body_bytes)
    request = reading.create_request(conn, head, headers, b"")
    if (
        length is None
        or length > limit
        or protocol.they_are_waiting_for_100_continue
        or not _is_idempotent(driver, request)
    ):
        conn.blocked = True
        return None
    size = body_at + length
    if len(buffer) < size:
        return None
    reserved = len(data) + length
    if conn.budget is not None and not conn.budget.reserve(reserved):
        conn.blocked = True
        return None
    if length:
        body = bytes(buffer[body_at:size])
        protocol.receive_data(body)
        protocol.next_event()
        request = reading.create_request(conn, head, headers, body)
    protocol.next_event()
    del buffer[:size]
    # The answer to such a request closes the connection.
    conn.blocked = protocol.their_state is not h11.DONE
    begun = calls.begin(driver, request, protocol, reserved)
    conn.ahead.append(begun)
    return begun


def _release(conn: reading.CallerConnection, begun: calls.BegunCall) -> None:
    if conn.budget is not None:
        conn.budget.release(begun.reserved)
