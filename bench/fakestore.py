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
            return storage.Overloaded()

    def _answer(
        self, req: storage.StoreRequest, now: float
    ) -> storage.StoreAnswer:
        keys = self.backend
        match req:
            case storage.Read():
                entry = keys.get(req.key, now=now)
                if entry is None:
                    return storage.NotFound()
                return storage.Found(_entry(entry))
            case storage.Range():
                found, more = keys.range(
                    req.prefix, now=now, after=req.after, limit=req.limit
                )
                entries = tuple(_entry(e) for e in found)
                return storage.RangePage(keys.revision, entries, more)
            case storage.CompareAndSwap():
                version = keys.put(
                    req.key,
                    req.value,
                    if_version=req.expected,
                    now=now,
                    lease=req.lease,
                )
                return storage.Swapped(version)
            case storage.Delete():
                version = keys.delete(req.key, if_version=req.expected, now=now)
                return storage.Swapped(version)
            case storage.Watch():
                changes = keys.changes(req.prefix, after=req.after, now=now)
                names = tuple(key for key, _ in changes)
                return storage.Changes(keys.revision, names)
            case storage.GrantLease():
                return storage.LeaseGranted(keys.grant(ttl_s=req.ttl, now=now))
            case storage.RenewLease():
                keys.renew(req.lease, now=now)
                return storage.LeaseGranted(req.lease)


def _entry(entry: keyvalue.Entry) -> storage.KeyValue:
    return storage.KeyValue(entry.key, entry.version, entry.value)
