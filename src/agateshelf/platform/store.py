"""Carries out the core's store requests on the platform's key-value store."""

import dataclasses

import curio
import logbook
import msgspec

from agateshelf import decoding
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import storage
from agateshelf.daemon import fetching
from agateshelf.daemon import posting
from agateshelf.platform import client as platform_client
from agateshelf.platform import const
from agateshelf.platform import items

_log = logbook.Logger("store")

_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
_MIN_CLIENT_ERROR = 400
_MIN_SERVER_ERROR = 500
_NO_LEASE = 0


@dataclasses.dataclass(slots=True)
class StoreClient:
    """Sends requests of the core to the store, each in a task of its own.

    Attributes:
        client: Client of the store.
    """

    client: platform_client.Client

    async def send(
        self, effect: effects.SendStoreRequest, post: posting.Post
    ) -> None:
        """Start to send a request; `StoreAnswered` is posted at the end."""
        await curio.spawn(self._post_answer, effect, post, daemon=True)

    async def _post_answer(
        self, effect: effects.SendStoreRequest, post: posting.Post
    ) -> None:
        answer: storage.StoreAnswer = storage.NoAnswer()
        try:
            answer = await self.execute(effect.body, effect.timeout)
        except Exception:
            _log.exception("Unexpected error in a request to the store.")
        await post(events.StoreAnswered(effect.request, answer))

    async def execute(
        self, body: storage.StoreRequest, timeout: float
    ) -> storage.StoreAnswer:
        """Send a request and return its answer, `NoAnswer` after a timeout."""
        match body:
            case storage.Read():
                return await self._read(body, timeout)
            case storage.Range():
                return await self._read_range(body, timeout)
            case storage.CompareAndSwap() | storage.Delete():
                return await self._change(body, timeout)
            case storage.Watch():
                return await self._watch(body, timeout)
            case storage.GrantLease():
                return await self._grant(body, timeout)
            case storage.RenewLease():
                return await self._renew(body, timeout)

    async def _read(
        self, body: storage.Read, timeout: float
    ) -> storage.StoreAnswer:
        answer = await self.client.read_key(body.key, timeout)
        if platform_client.has_status(answer, _NOT_FOUND):
            return storage.NotFound()
        item = platform_client.decode(answer, items.ItemResponse)
        if isinstance(item, fetching.NoResponse):
            return _to_failure(answer, item.reason)
        return storage.Found(_to_key_value(item))

    async def _read_range(
        self, body: storage.Range, timeout: float
    ) -> storage.StoreAnswer:
        page = await self.client.read_range(
            body.prefix,
            timeout,
            after=body.after,
            limit=body.limit,
            stale=body.stale,
        )
        if isinstance(page, fetching.NoResponse):
            return _to_failure(page, page.reason)
        key_values = tuple(_to_key_value(item) for item in page.items)
        return storage.RangePage(page.current_rev, key_values, page.has_more)

    async def _change(
        self, body: storage.CompareAndSwap | storage.Delete, timeout: float
    ) -> storage.StoreAnswer:
        answer = await self.client.post(
            const.PATH_CHANGE, _to_change(body), timeout
        )
        if platform_client.has_status(answer, _NOT_FOUND):
            return storage.NotFound()
        if platform_client.has_status(answer, _PRECONDITION_FAILED):
            return _to_conflict(answer, body.key)
        changed = platform_client.decode(answer, items.ChangeResponse)
        if isinstance(changed, fetching.NoResponse):
            return _to_failure(answer, changed.reason)
        return storage.Swapped(changed.revision)

    async def _watch(
        self, body: storage.Watch, timeout: float
    ) -> storage.StoreAnswer:
        answer = await self.client.watch(
            body.prefix, body.after, body.timeout, timeout
        )
        changes = platform_client.decode(answer, items.Events)
        if isinstance(changes, fetching.NoResponse):
            return _to_failure(answer, changes.reason)
        keys = tuple(item.key for item in changes.events)
        return storage.Changes(changes.current_rev, keys)

    async def _grant(
        self, body: storage.GrantLease, timeout: float
    ) -> storage.StoreAnswer:
        request = items.LeaseRequest(
            int(body.ttl * const.MILLISECONDS_PER_SECOND)
        )
        answer = await self.client.post(const.PATH_LEASE, request, timeout)
        lease = platform_client.decode(answer, items.LeaseResponse)
        if isinstance(lease, fetching.NoResponse):
            return _to_failure(answer, lease.reason)
        return storage.LeaseGranted(str(lease.lease))

    async def _renew(
        self, body: storage.RenewLease, timeout: float
    ) -> storage.StoreAnswer:
        path = const.PATH_RENEW + body.lease
        answer = await self.client.post(path, None, timeout)
        if platform_client.has_status(answer, _NOT_FOUND):
            return storage.NotFound()
        renewed = platform_client.decode(answer, items.RenewalResponse)
        if isinstance(renewed, fetching.NoResponse):
            return _to_failure(answer, renewed.reason)
        return storage.LeaseGranted(body.lease)


def _to_change(body: storage.CompareAndSwap | storage.Delete) -> items.Change:
    precondition = items.Precondition(body.key, body.expected)
    match body:
        case storage.CompareAndSwap():
            lease = _NO_LEASE if body.lease is None else int(body.lease)
            write = items.Write(body.key, items.encode_value(body.value), lease)
            return items.Change([precondition], writes=[write])
        case storage.Delete():
            return items.Change([precondition], deletes=[body.key])


def _to_conflict(answer: fetching.Response, key: str) -> storage.StoreAnswer:
    """Return a conflict with the key's current version, 0 if it is absent.

    If the body is invalid, the answer is `Rejected`, as nothing was written
    in this case either.
    """
    try:
        failure = msgspec.json.decode(
            answer.body, type=items.PreconditionFailure
        )
    except decoding.ERRORS as exc:
        _log.warning(
            "Invalid answer to a refused change of key {}: {}.", key, exc
        )
        return storage.Rejected()
    for item in failure.items:
        if item.key == key and not item.tombstone:
            return storage.Conflict(item.revision)
    return storage.Conflict(0)


def _to_key_value(item: items.Item) -> storage.KeyValue:
    value = items.decode_value(item)
    return storage.KeyValue(item.key, item.revision, value or b"")


def _to_failure(
    answer: fetching.Response | fetching.NoResponse, reason: str
) -> storage.StoreAnswer:
    """Convert a failed request into an answer to the core.

    A refused request had no effect. Without a valid answer, a change may have
    taken effect or may still do so.
    """
    _log.debug("A request to the store failed: {}.", reason)
    if isinstance(answer, fetching.Response) and _is_refusal(answer.status):
        return storage.Rejected()
    return storage.NoAnswer()


def _is_refusal(status: int) -> bool:
    if status == _UNAVAILABLE:
        return True
    return _MIN_CLIENT_ERROR <= status < _MIN_SERVER_ERROR
