"""Converts a caller's HTTP request into the event for the reducer."""

import hashlib

from agateshelf import const
from agateshelf.core import events
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages

_CALLER = const.HEADER_CALLER.encode()
_IDEMPOTENCY_KEY = const.HEADER_IDEMPOTENCY_KEY.encode()
_RELAY_TARGET = const.HEADER_RELAY_TARGET.encode()
_RELAY_WORKSPACE = const.HEADER_RELAY_WORKSPACE.encode()
_NO_RETRY = const.HEADER_NO_RETRY.encode()
_EMPTY_DIGEST = hashlib.sha256(b"").digest()
_MAX_TIMEOUT_DIGITS = 9


def event_of(
    call: int,
    request: messages.Request,
    dialect: daemon_dialect.Dialect = daemon_dialect.DEFAULT,
    *,
    is_relayed: bool = False,
    waited: float = 0.0,
) -> events.RequestArrived:
    """Return the event for a completely read request.

    Args:
        call: Number of the call.
        request: The request.
        dialect: Names of the headers.
        is_relayed: Whether another entry sent it, for a target that it names.
        waited: Seconds that it may have waited in its socket.
    """
    caller = b""
    key: bytes | None = None
    no_retry = False
    timeout: float | None = None
    host = b""
    request_id = b""
    relay_target = b""
    relay_workspace: bytes | None = None
    credentials: bytes | None = None
    is_repeated = False
    for name, value in request.headers:
        if name == _CALLER:
            caller = value
        elif name == _IDEMPOTENCY_KEY:
            key = value
        elif name == _NO_RETRY:
            no_retry = True
        elif name == dialect.timeout_ms:
            timeout = _parse_timeout(value)
        elif name == b"host":
            host = value
        elif name == dialect.request_id:
            request_id = value
        elif name == dialect.key:
            is_repeated = credentials is not None
            credentials = value
        elif name == _RELAY_TARGET and is_relayed:
            relay_target = value
        elif name == _RELAY_WORKSPACE and is_relayed:
            relay_workspace = value
    digest = ""
    if credentials is not None and not is_repeated:
        digest = _key_digest(credentials, dialect)
    return events.RequestArrived(
        call=call,
        caller=(caller or _peer_address(request, dialect)).decode("latin-1"),
        method=request.method.decode("ascii"),
        path=request.path.decode("latin-1"),
        idempotency_key=key.decode("latin-1") if key else None,
        timeout=timeout,
        no_retry=no_retry,
        body_digest=_digest(request.body),
        host=host.decode("latin-1"),
        request_id=request_id.decode("latin-1"),
        relay_target=relay_target.decode("latin-1"),
        key_digest=digest,
        key_malformed=credentials is not None and not digest,
        relay_workspace=_decode_workspace(relay_workspace),
        waited=waited,
    )


def _peer_address(
    request: messages.Request, dialect: daemon_dialect.Dialect
) -> bytes:
    """Return the peer's IP address, or nothing if callers name themselves.

    A dialect with a request identifier has no header for the caller's name.
    """
    return request.peer.encode() if dialect.request_id else b""


def _key_digest(credentials: bytes, dialect: daemon_dialect.Dialect) -> str:
    """Return the digest of a key, or nothing if it is malformed.

    From here on the key is known by its digest alone.
    """
    key = dialect.parse_key(credentials)
    return "" if key is None else hashlib.sha256(key).hexdigest()


def _decode_workspace(name: bytes | None) -> str | None:
    return None if name is None else name.decode("utf-8", "replace")


def _digest(body: bytes) -> bytes:
    if not body:
        return _EMPTY_DIGEST
    return hashlib.sha256(body).digest()


def _parse_timeout(value: bytes) -> float | None:
    if not value.isdigit() or len(value) > _MAX_TIMEOUT_DIGITS:
        return None
    return int(value) / 1000.0
