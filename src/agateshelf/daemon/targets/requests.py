"""The bytes of a request as a target gets it."""

import h11

from agateshelf import const
from agateshelf.core.retries import deadlines
from agateshelf.daemon import messages
from agateshelf.daemon import tracing
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import progress

_TIMEOUT_MS = const.HEADER_TIMEOUT_MS.encode()
_NO_RETRY = const.HEADER_NO_RETRY.encode()
_TRACEPARENT = const.HEADER_TRACEPARENT.encode()
_REPLACED = frozenset({b"content-length", b"expect", _TIMEOUT_MS, _NO_RETRY})
_END = h11.EndOfMessage()
_METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


def request_bytes(
    conn: connection.TargetConnection, begun: progress.Progress, via: bytes
) -> bytes:
    """Return the whole request of an attempt.

    Raises:
        h11.LocalProtocolError: The request can't be said in HTTP/1.1.
    """
    request = begun.request
    head = h11.Request(
        method=request.method,
        target=request.path,
        headers=messages.sendable(_headers(begun, via)),
    )
    conn.head_only = request.method == b"HEAD"
    parts = [conn.protocol.send(head)]
    if request.body:
        parts.append(conn.protocol.send(h11.Data(data=request.body)))
    parts.append(conn.protocol.send(_END))
    return b"".join(parts)


def _headers(begun: progress.Progress, via: bytes) -> list[tuple[bytes, bytes]]:
    effect = begun.effect
    request = begun.request
    headers = [pair for pair in request.headers if pair[0] not in _REPLACED]
    host = messages.header(headers, b"host")
    if host is None:
        host = effect.address.encode()
        headers.append((b"host", host))
    milliseconds = deadlines.told_milliseconds(effect.timeout)
    headers.append((_TIMEOUT_MS, b"%d" % milliseconds))
    if effect.no_retry:
        headers.append((_NO_RETRY, b"1"))
    if request.body or request.method in _METHODS_WITH_BODY:
        headers.append((b"content-length", b"%d" % len(request.body)))
    if begun.span is not None:
        headers = [pair for pair in headers if pair[0] != _TRACEPARENT]
        headers.append((_TRACEPARENT, tracing.parent_header(begun.span)))
    headers.append((b"via", b"%b %b" % (request.http_version, via)))
    headers.append((b"forwarded", _forwarded(request, host)))
    return headers


def _forwarded(request: messages.Request, host: bytes) -> bytes:
    peer = request.peer.encode()
    if b":" in peer:
        peer = b'"[%b]"' % peer
    return b'for=%b;host="%b";proto=%b' % (peer, host, request.scheme)
