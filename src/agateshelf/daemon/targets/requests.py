"""Encodes requests for targets."""

import math
from typing import TYPE_CHECKING

import h11

from agateshelf import const
from agateshelf.core import effects
from agateshelf.core.retries import deadlines
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages
from agateshelf.daemon.targets import attempts
from agateshelf.daemon.targets import connection

if TYPE_CHECKING:
    from opentelemetry import trace

_NO_RETRY = const.HEADER_NO_RETRY.encode()
_TRACEPARENT = const.HEADER_TRACEPARENT.encode()
_RELAY_TARGET = const.HEADER_RELAY_TARGET.encode()
_RELAY_WORKSPACE = const.HEADER_RELAY_WORKSPACE.encode()
_REPLACED_HEADERS = frozenset(
    {b"content-length", b"expect", _NO_RETRY, _RELAY_TARGET, _RELAY_WORKSPACE}
)
_MILLISECONDS_PER_SECOND = 1000
_END_OF_MESSAGE = h11.EndOfMessage()
_METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


def encode_request(
    conn: connection.TargetConnection,
    running: attempts.RunningAttempt,
    via: bytes,
    dialect: daemon_dialect.Dialect = daemon_dialect.DEFAULT,
) -> bytes:
    """Return the bytes of an attempt's request, head and body.

    Raises:
        h11.LocalProtocolError: The request can't be encoded as HTTP/1.1.
    """
    request = running.request
    head = h11.Request(
        method=request.method,
        target=request.path,
        headers=messages.headers_to_h11(_headers(running, via, dialect)),
    )
    conn.head_only = request.method == b"HEAD"
    parts = [conn.protocol.send(head)]
    if request.body:
        parts.append(conn.protocol.send(h11.Data(data=request.body)))
    parts.append(conn.protocol.send(_END_OF_MESSAGE))
    return b"".join(parts)


def _milliseconds_left(effect: effects.StartAttempt) -> int:
    """Return the timeout that a target or a relay is told.

    A relay gets all the time that is left, as its own answer at the end of it
    would be taken for a failure before the caller's time is over.
    """
    if effect.relay:
        return math.ceil(effect.timeout * _MILLISECONDS_PER_SECOND)
    return deadlines.propagated_timeout_ms(effect.timeout - effect.told_less)


def _headers(
    running: attempts.RunningAttempt,
    via: bytes,
    dialect: daemon_dialect.Dialect,
) -> list[tuple[bytes, bytes]]:
    effect = running.effect
    request = running.request
    replaced = _REPLACED_HEADERS | {dialect.timeout_ms, dialect.expected_target}
    if effect.workspace is not None:
        replaced |= {dialect.key, dialect.workspace}
    headers = [pair for pair in request.headers if pair[0] not in replaced]
    host = messages.header(headers, b"host")
    if host is None:
        host = effect.address.encode()
        headers.append((b"host", host))
    headers.append((dialect.timeout_ms, b"%d" % _milliseconds_left(effect)))
    if effect.relay:
        headers.append((_RELAY_TARGET, effect.target.encode()))
    elif dialect.expected_target:
        headers.append((dialect.expected_target, effect.target.encode()))
    if effect.workspace is not None:
        _add_workspace(headers, effect.workspace, dialect, relay=effect.relay)
    if effect.no_retry:
        headers.append((_NO_RETRY, b"1"))
    if request.body or request.method in _METHODS_WITH_BODY:
        headers.append((b"content-length", b"%d" % len(request.body)))
    if running.span is not None:
        headers = [pair for pair in headers if pair[0] != _TRACEPARENT]
        headers.append((_TRACEPARENT, traceparent(running.span)))
    if dialect.adds_proxy_headers:
        headers.append((b"via", b"%b %b" % (request.http_version, via)))
        headers.append((b"forwarded", _forwarded(request, host)))
    return headers


def _add_workspace(
    headers: list[tuple[bytes, bytes]],
    workspace: str,
    dialect: daemon_dialect.Dialect,
    *,
    relay: str,
) -> None:
    """Name the workspace to the target, or to the entry that relays.

    A relay is told in a header of its own, even that there is no workspace: the
    one for targets may come from the caller, by an entry of an earlier version
    or without workspaces. A relay of an earlier version passes that one on.
    """
    if relay:
        headers.append((_RELAY_WORKSPACE, workspace.encode()))
    if workspace and dialect.workspace:
        headers.append((dialect.workspace, workspace.encode()))


def traceparent(span: "trace.Span") -> bytes:
    """Return the W3C `traceparent` header for downstream hops."""
    context = span.get_span_context()
    text = f"00-{context.trace_id:032x}-{context.span_id:016x}"
    return f"{text}-{context.trace_flags:02x}".encode()


def _forwarded(request: messages.Request, host: bytes) -> bytes:
    peer = request.peer.encode()
    if b":" in peer:
        peer = b'"[%b]"' % peer
    return b'for=%b;host="%b";proto=%b' % (peer, host, request.scheme)
