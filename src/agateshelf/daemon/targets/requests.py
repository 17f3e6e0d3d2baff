"""The bytes of a request as a target gets it."""

from typing import TYPE_CHECKING

import h11

from agateshelf import const
from agateshelf.core.retries import deadlines
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import progress

if TYPE_CHECKING:
    from opentelemetry import trace

_NO_RETRY = const.HEADER_NO_RETRY.encode()
_TRACEPARENT = const.HEADER_TRACEPARENT.encode()
_REPLACED = frozenset({b"content-length", b"expect", _NO_RETRY})
_END = h11.EndOfMessage()
_METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


def request_bytes(
    conn: connection.TargetConnection,
    begun: progress.Progress,
    via: bytes,
    dialect: daemon_dialect.Dialect = daemon_dialect.DEFAULT,
) -> bytes:
    """Return the whole request of an attempt.

    Raises:
        h11.LocalProtocolError: The request can't be said in HTTP/1.1.
    """
    request = begun.request
    head = h11.Request(
        method=request.method,
        target=request.path,
        headers=messages.headers_to_h11(_headers(begun, via, dialect)),
    )
    conn.head_only = request.method == b"HEAD"
    parts = [conn.protocol.send(head)]
    if request.body:
        parts.append(conn.protocol.send(h11.Data(data=request.body)))
    parts.append(conn.protocol.send(_END))
    return b"".join(parts)


def _headers(
    begun: progress.Progress, via: bytes, dialect: daemon_dialect.Dialect
) -> list[tuple[bytes, bytes]]:
    effect = begun.effect
    request = begun.request
    replaced = _REPLACED | {dialect.timeout_ms, dialect.expected_target}
    headers = [pair for pair in request.headers if pair[0] not in replaced]
    host = messages.header(headers, b"host")
    if host is None:
        host = effect.address.encode()
        headers.append((b"host", host))
    milliseconds = deadlines.propagated_timeout_ms(effect.timeout)
    headers.append((dialect.timeout_ms, b"%d" % milliseconds))
    if dialect.expected_target:
        headers.append((dialect.expected_target, effect.target.encode()))
    if effect.no_retry:
        headers.append((_NO_RETRY, b"1"))
    if request.body or request.method in _METHODS_WITH_BODY:
        headers.append((b"content-length", b"%d" % len(request.body)))
    if begun.span is not None:
        headers = [pair for pair in headers if pair[0] != _TRACEPARENT]
        headers.append((_TRACEPARENT, parent_header(begun.span)))
    if dialect.adds_proxy_headers:
        headers.append((b"via", b"%b %b" % (request.http_version, via)))
        headers.append((b"forwarded", _forwarded(request, host)))
    return headers


def parent_header(span: "trace.Span") -> bytes:
    """Return the W3C `traceparent` that hops below continue from."""
    context = span.get_span_context()
    text = f"00-{context.trace_id:032x}-{context.span_id:016x}"
    return f"{text}-{context.trace_flags:02x}".encode()


def _forwarded(request: messages.Request, host: bytes) -> bytes:
    peer = request.peer.encode()
    if b":" in peer:
        peer = b'"[%b]"' % peer
    return b'for=%b;host="%b";proto=%b' % (peer, host, request.scheme)
