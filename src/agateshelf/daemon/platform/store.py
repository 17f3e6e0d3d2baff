"""Client of the platform's key-value service, by docs/PLATFORM.md."""

import base64
from collections import abc
import dataclasses
import urllib.parse

import curio
import msgspec
from returns import result

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import storage
from agateshelf.daemon import messages
from agateshelf.daemon.platform import http

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_VERSION = b"version"

Post = abc.Callable[[events.Event], abc.Awaitable[None]]


class _EntryRow(msgspec.Struct):
    key: str
    version: int
    value: str = ""


class _RangeBody(msgspec.Struct):
    revision: int
    entries: list[_EntryRow]
    more: bool = False


class _WatchBody(msgspec.Struct):
    revision: int
    changes: list[_EntryRow]


class _LeaseBody(msgspec.Struct):
    lease: str


@dataclasses.dataclass(slots=True)
class StoreClient:
    """Sends requests to the store, each on a task and connection of its own.

    Attributes:
        address: `HOST:PORT` of the store.
    """

    address: str

    async def ask(self, effect: effects.AskStore, post: Post) -> None:
        """Send a request; its answer is posted as an event."""
        await curio.spawn(self._ask, effect, post, daemon=True)

    async def _ask(self, effect: effects.AskStore, post: Post) -> None:
        answer = await self.answer_to(effect.body, effect.timeout)
        await post(events.StoreAnswered(effect.request, answer))

    async def answer_to(
        self, body: storage.StoreRequest, timeout: float
    ) -> storage.StoreAnswer:
        """Send a request and return its answer, `NoAnswer` after a timeout."""
        fetched = await http.fetch(self.address, request_of(body), timeout)
        match fetched:
            case result.Success(answer):
                return _read_or_none(body, answer)
            case _:
                return storage.NoAnswer()


def _read_or_none(
    body: storage.StoreRequest, answer: http.PlatformAnswer
) -> storage.StoreAnswer:
    try:
        return read_answer(body, answer)
    except (msgspec.MsgspecError, ValueError):
        return storage.NoAnswer()


def request_of(body: storage.StoreRequest) -> http.PlatformRequest:
    """Return the HTTP request that carries a request of the core."""
    match body:
        case storage.Read():
            return http.PlatformRequest("GET", _key_path(body.key))
        case storage.Range():
            query = {
                "prefix": body.prefix,
                "after": body.after,
                "limit": body.limit,
            }
            return _get("/v1/range", query)
        case storage.Swap():
            headers = [("if-version", str(body.expected))]
            if body.lease is not None:
                headers.append(("lease", body.lease))
            return http.PlatformRequest(
                "PUT", _key_path(body.key), tuple(headers), body.value
            )
        case storage.Delete():
            version = ("if-version", str(body.expected))
            return http.PlatformRequest(
                "DELETE", _key_path(body.key), (version,)
            )
        case storage.Watch():
            query = {
                "prefix": body.prefix,
                "after": body.after,
                "timeout_ms": int(body.timeout * 1000),
            }
            return _get("/v1/watch", query)
        case storage.GrantLease():
            text = msgspec.json.encode({"ttl_ms": int(body.ttl * 1000)})
            return http.PlatformRequest("POST", "/v1/leases", (), text)
        case storage.RenewLease():
            path = f"/v1/leases/{urllib.parse.quote(body.lease)}/renew"
            return http.PlatformRequest("POST", path)


def _key_path(key: str) -> str:
    return "/v1/kv/" + urllib.parse.quote(key)


def _get(path: str, query: dict[str, object]) -> http.PlatformRequest:
    return http.PlatformRequest(
        "GET", f"{path}?{urllib.parse.urlencode(query)}"
    )


def read_answer(
    body: storage.StoreRequest, answer: http.PlatformAnswer
) -> storage.StoreAnswer:
    """Return the core's form of an answer.

    Raises:
        msgspec.MsgspecError: The body is not what the protocol says.
        ValueError: A version or a value is malformed.
    """
    if answer.status == _NOT_FOUND:
        return storage.Missing()
    if answer.status == _CONFLICT:
        return storage.Conflict(_version_of(answer))
    if answer.status != _OK:
        return storage.Overloaded()
    match body:
        case storage.Read():
            entry = storage.Entry(body.key, _version_of(answer), answer.body)
            return storage.Found(entry)
        case storage.Range():
            return _entries_of(answer)
        case storage.Swap() | storage.Delete():
            return storage.Swapped(_version_of(answer))
        case storage.Watch():
            changes = msgspec.json.decode(answer.body, type=_WatchBody)
            keys = tuple(row.key for row in changes.changes)
            return storage.Changes(changes.revision, keys)
        case storage.GrantLease():
            lease = msgspec.json.decode(answer.body, type=_LeaseBody)
            return storage.LeaseGranted(lease.lease)
        case storage.RenewLease():
            return storage.LeaseGranted(body.lease)


def _entries_of(answer: http.PlatformAnswer) -> storage.Entries:
    decoded = msgspec.json.decode(answer.body, type=_RangeBody)
    entries = tuple(
        storage.Entry(row.key, row.version, base64.b64decode(row.value))
        for row in decoded.entries
    )
    return storage.Entries(decoded.revision, entries, decoded.more)


def _version_of(answer: http.PlatformAnswer) -> int:
    value = messages.header(answer.headers, _VERSION)
    if value is None:
        raise ValueError("answer without a version")
    return int(value)
