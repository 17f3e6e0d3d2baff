"""What the core asks of a store, asked of the platform's."""

import dataclasses

import curio
import logbook
import msgspec

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
_UNMET = 412
_UNAVAILABLE = 503
_FIRST_CALLERS_ERROR = 400
_FIRST_SERVERS_ERROR = 500
_NO_LEASE = 0


@dataclasses.dataclass(slots=True)
class StoreClient:
    """Carries requests of the core to the store, each on a task of its own.

    Attributes:
        client: Client of the store.
    """

    client: platform_client.Client

    async def ask(
        self, effect: effects.SendStoreRequest, post: posting.Post
    ) -> None:
        """Send a request; its answer is posted as an event."""
        await curio.spawn(self._ask, effect, post, daemon=True)

    async def _ask(
        self, effect: effects.SendStoreRequest, post: posting.Post
    ) -> None:
        answer = await self.answer_to(effect.body, effect.timeout)
        await post(events.StoreAnswered(effect.request, answer))

    async def answer_to(
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
        item = platform_client.decode(answer, items.ItemAnswer)
        if isinstance(item, fetching.NoResponse):
            return _failure(answer, item.reason)
        return storage.Found(_entry_of(item))

    async def _read_range(
        self, body: storage.Range, timeout: float
    ) -> storage.StoreAnswer:
        found = await self.client.read_range(
            body.prefix, timeout, after=body.after, limit=body.limit
        )
        if isinstance(found, fetching.NoResponse):
            return _failure(found, found.reason)
        entries = tuple(_entry_of(item) for item in found.items)
        return storage.RangePage(found.current_rev, entries, found.has_more)

    async def _change(
        self, body: storage.CompareAndSwap | storage.Delete, timeout: float
    ) -> storage.StoreAnswer:
        answer = await self.client.post(
            const.PATH_CHANGE, _change_of(body), timeout
        )
        if platform_client.has_status(answer, _NOT_FOUND):
            return storage.NotFound()
        if platform_client.has_status(answer, _UNMET):
            return _conflict_of(answer, body.key)
        changed = platform_client.decode(answer, items.Changed)
        if isinstance(changed, fetching.NoResponse):
            return _failure(answer, changed.reason)
        return storage.Swapped(changed.revision)

    async def _watch(
        self, body: storage.Watch, timeout: float
    ) -> storage.StoreAnswer:
        answer = await self.client.watch(
            body.prefix, body.after, body.timeout, timeout
        )
        changes = platform_client.decode(answer, items.Events)
        if isinstance(changes, fetching.NoResponse):
            return _failure(answer, changes.reason)
        keys = tuple(item.key for item in changes.events)
        return storage.Changes(changes.current_rev, keys)

    async def _grant(
        self, body: storage.GrantLease, timeout: float
    ) -> storage.StoreAnswer:
        wanted = items.LeaseWanted(int(body.ttl * const.MILLISECONDS))
        answer = await self.client.post(const.PATH_LEASE, wanted, timeout)
        lease = platform_client.decode(answer, items.Lease)
        if isinstance(lease, fetching.NoResponse):
            return _failure(answer, lease.reason)
        return storage.LeaseGranted(str(lease.lease))

    async def _renew(
        self, body: storage.RenewLease, timeout: float
    ) -> storage.StoreAnswer:
        path = const.PATH_RENEW + body.lease
        answer = await self.client.post(path, None, timeout)
        if platform_client.has_status(answer, _NOT_FOUND):
            return storage.NotFound()
        renewed = platform_client.decode(answer, items.Renewed)
        if isinstance(renewed, fetching.NoResponse):
            return _failure(answer, renewed.reason)
        return storage.LeaseGranted(body.lease)


def _change_of(body: storage.CompareAndSwap | storage.Delete) -> items.Change:
    row = items.Row(body.key, body.expected)
    match body:
        case storage.CompareAndSwap():
            lease = _NO_LEASE if body.lease is None else int(body.lease)
            write = items.Write(body.key, items.text_of(body.value), lease)
            return items.Change([row], writes=[write])
        case storage.Delete():
            return items.Change([row], deletes=[body.key])


def _conflict_of(answer: fetching.Response, key: str) -> storage.StoreAnswer:
    """Return the key's present version; 0 if it does not exist."""
    try:
        unmet = msgspec.json.decode(answer.body, type=items.Unmet)
    except (msgspec.MsgspecError, UnicodeError) as exc:
        _log.warning("A refused change of {} is unreadable: {}.", key, exc)
        return storage.Overloaded()
    for item in unmet.items:
        if item.key == key and not item.tombstone:
            return storage.Conflict(item.revision)
    return storage.Conflict(0)


def _entry_of(item: items.Item) -> storage.KeyValue:
    value = items.value_of(item)
    return storage.KeyValue(item.key, item.revision, value or b"")


def _failure(
    answer: fetching.Response | fetching.NoResponse, reason: str
) -> storage.StoreAnswer:
    """Return what a failed request may have done.

    A refusal says that nothing was done; without an answer that can be read,
    a change may have been made, or may yet be.
    """
    _log.debug("The store gave no good answer: {}.", reason)
    if isinstance(answer, fetching.Response) and _is_refusal(answer.status):
        return storage.Overloaded()
    return storage.NoAnswer()


def _is_refusal(status: int) -> bool:
    if status == _UNAVAILABLE:
        return True
    return _FIRST_CALLERS_ERROR <= status < _FIRST_SERVERS_ERROR
