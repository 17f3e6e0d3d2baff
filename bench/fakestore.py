"""In-memory store of the platform for benches and tests in virtual time.

It answers the store requests of the core from the key-value state of the store
stand-in, without a process or a network.
"""

import dataclasses

from agateshelf.core import storage
from agateshelf_standins import keyvalue


@dataclasses.dataclass(slots=True)
class FakeStore:
    """A key-value store; the caller simulates its latency and outages.

    Attributes:
        backend: Key-value state of the stand-in.
        latency: Seconds that a simulation takes to deliver its answer.
        unavailable: Whether a simulation has the store in an outage.
        calls: Number of requests sent to it.
    """

    backend: keyvalue.KeyValueStore = dataclasses.field(
        default_factory=keyvalue.KeyValueStore
    )
    latency: float = 0.002
    unavailable: bool = False
    calls: int = 0

    def answer(
        self, req: storage.StoreRequest, now: float
    ) -> storage.StoreAnswer:
        """Answer a request, with storage errors translated to answers."""
        try:
            return self._answer(req, now)
        except keyvalue.VersionConflictError as exc:
            return storage.Conflict(exc.version)
        except (keyvalue.MissingKeyError, keyvalue.UnknownLeaseError):
            return storage.NotFound()
        except keyvalue.KeyValueError:
            return storage.Rejected()

    def _answer(
        self, req: storage.StoreRequest, now: float
    ) -> storage.StoreAnswer:
        backend = self.backend
        match req:
            case storage.Read():
                entry = backend.get(req.key, now=now)
                if entry is None:
                    return storage.NotFound()
                return storage.Found(_to_key_value(entry))
            case storage.Range():
                page, more = backend.range(
                    req.prefix, now=now, after=req.after, limit=req.limit
                )
                key_values = tuple(_to_key_value(entry) for entry in page)
                return storage.RangePage(backend.revision, key_values, more)
            case storage.CompareAndSwap():
                version = backend.put(
                    req.key,
                    req.value,
                    if_version=req.expected,
                    now=now,
                    lease=req.lease,
                )
                return storage.Swapped(version)
            case storage.Delete():
                version = backend.delete(
                    req.key, if_version=req.expected, now=now
                )
                return storage.Swapped(version)
            case storage.Watch():
                changes = backend.changes(req.prefix, after=req.after, now=now)
                changed = tuple(key for key, _ in changes)
                return storage.Changes(backend.revision, changed)
            case storage.GrantLease():
                return storage.LeaseGranted(
                    backend.grant(ttl_s=req.ttl, now=now)
                )
            case storage.RenewLease():
                backend.renew(req.lease, now=now)
                return storage.LeaseGranted(req.lease)


def _to_key_value(entry: keyvalue.KeyValue) -> storage.KeyValue:
    return storage.KeyValue(entry.key, entry.version, entry.value)
