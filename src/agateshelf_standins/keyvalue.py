"""The state of the key-value service, without input, output or clock."""

import bisect
import dataclasses
import heapq

MAX_VALUE_BYTES = 1_048_576


class KeyValueError(Exception):
    """Base of the refusals of the key-value service; nothing was done."""


class VersionConflictError(KeyValueError):
    """The key has another version than the write expects.

    Attributes:
        version: The present version, 0 if the key does not exist.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"the present version is {version}")
        self.version = version


class MissingKeyError(KeyValueError):
    """The key does not exist."""


class UnknownLeaseError(KeyValueError):
    """The lease does not exist or has lapsed."""


class ValueTooLargeError(KeyValueError):
    """The value is larger than the service takes."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """A key as it is stored."""

    key: str
    version: int
    value: bytes
    lease: str | None = None
    created: int = 0


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    expires: float
    keys: set[str] = dataclasses.field(default_factory=set)


class KeyValueStore:
    """Keys, leases and the order of changes.

    Each method takes the time now in seconds, which must not run backwards,
    and first lets the leases lapse that are due by then.

    Attributes:
        revision: The revision of the last write.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._sorted: list[str] = []
        self._leases: dict[str, _Lease] = {}
        self._due: list[tuple[float, str]] = []
        self._lease_count = 0
        # The revision of each key's last change, the latest change last.
        self._changed: dict[str, int] = {}

    def get(self, key: str, *, now: float) -> Entry | None:
        """Returns the entry of a key, None if it does not exist."""
        self.expire(now=now)
        return self._entries.get(key)

    def put(
        self,
        key: str,
        value: bytes,
        *,
        if_version: int,
        now: float,
        lease: str | None = None,
    ) -> int:
        """Writes a key if it has the version expected; 0 expects none.

        Without a lease the key is bound to none, even if it was before.

        Returns:
            The new version.

        Raises:
            ValueTooLargeError: The value is too large.
            UnknownLeaseError: The lease does not exist or has lapsed.
            VersionConflictError: The key has another version.
        """
        self.expire(now=now)
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"at most {MAX_VALUE_BYTES} bytes")
        if lease is not None and lease not in self._leases:
            raise UnknownLeaseError(lease)
        self._expect(key, if_version)
        self._unbind(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
        if key not in self._entries:
            bisect.insort(self._sorted, key)
        before = self._entries.get(key)
        version = self._mark(key)
        created = version if before is None else before.created
        self._entries[key] = Entry(key, version, bytes(value), lease, created)
        return version

    def commit(
        self,
        writes: dict[str, tuple[bytes, str | None]],
        deletes: list[str],
        *,
        now: float,
    ) -> int:
        """Writes and deletes keys, all of them or none.

        Args:
            writes: Value and lease of each key to write.
            deletes: Keys to delete; those that do not exist are passed over.
            now: The time now.

        Returns:
            The revision after it.

        Raises:
            ValueTooLargeError: A value is too large.
            UnknownLeaseError: A lease does not exist or has lapsed.
        """
        self.expire(now=now)
        for value, lease in writes.values():
            if len(value) > MAX_VALUE_BYTES:
                raise ValueTooLargeError(f"at most {MAX_VALUE_BYTES} bytes")
            if lease is not None and lease not in self._leases:
                raise UnknownLeaseError(lease)
        for key, (value, lease) in writes.items():
            before = self._entries.get(key)
            version = 0 if before is None else before.version
            self.put(key, value, if_version=version, lease=lease, now=now)
        for key in deletes:
            if key in self._entries:
                self._remove(key)
        return self.revision

    def delete(self, key: str, *, if_version: int, now: float) -> int:
        """Deletes a key if it has the version expected.

        Returns:
            The revision of the deletion.

        Raises:
            MissingKeyError: The key does not exist.
            VersionConflictError: The key has another version.
        """
        self.expire(now=now)
        if key not in self._entries:
            raise MissingKeyError(key)
        self._expect(key, if_version)
        return self._remove(key)

    def range(
        self, prefix: str, *, now: float, after: str = "", limit: int = 1000
    ) -> tuple[list[Entry], bool]:
        """Lists the entries under a prefix, in the order of their keys.

        Args:
            prefix: What the keys begin with.
            now: The time now.
            after: Only keys beyond this one.
            limit: The most entries to list.

        Returns:
            The entries, and whether there are more.
        """
        self.expire(now=now)
        at = bisect.bisect_left(self._sorted, prefix)
        if after:
            at = max(at, bisect.bisect_right(self._sorted, after))
        found: list[Entry] = []
        while at < len(self._sorted) and self._sorted[at].startswith(prefix):
            if len(found) >= limit:
                return found, True
            found.append(self._entries[self._sorted[at]])
            at += 1
        return found, False

    def changes(
        self, prefix: str, *, after: int, now: float
    ) -> list[tuple[str, int]]:
        """Lists keys under a prefix changed after a revision.

        A key deleted counts as changed, by the revision of its deletion.

        Returns:
            Each key once, with the revision of its last change, in order.
        """
        self.expire(now=now)
        found = []
        for key in reversed(self._changed):
            if self._changed[key] <= after:
                break
            if key.startswith(prefix):
                found.append((key, self._changed[key]))
        return found[::-1]

    def grant(self, *, ttl_s: float, now: float) -> str:
        """Returns a new lease that lapses after a time unless renewed."""
        self.expire(now=now)
        self._lease_count += 1
        lease = f"{self._lease_count}"
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        heapq.heappush(self._due, (now + ttl_s, lease))
        return lease

    def renew(self, lease: str, *, now: float) -> float:
        """Lets a lease live for its whole time from now on.

        Returns:
            That time in seconds.

        Raises:
            UnknownLeaseError: The lease does not exist or has lapsed.
        """
        self.expire(now=now)
        if lease not in self._leases:
            raise UnknownLeaseError(lease)
        held = self._leases[lease]
        held.expires = now + held.ttl_s
        return held.ttl_s

    def revoke(self, lease: str, *, now: float) -> None:
        """Ends a lease and deletes its keys.

        Raises:
            UnknownLeaseError: The lease does not exist or has lapsed.
        """
        self.expire(now=now)
        if lease not in self._leases:
            raise UnknownLeaseError(lease)
        self._end(lease)

    def expire(self, *, now: float) -> None:
        """Ends the leases that are due and deletes their keys."""
        while self._due and self._due[0][0] <= now:
            _, lease = heapq.heappop(self._due)
            held = self._leases.get(lease)
            if held is None:
                continue
            if held.expires <= now:
                self._end(lease)
            else:
                heapq.heappush(self._due, (held.expires, lease))

    def snapshot(self) -> "KeyValueStore":
        """Returns a copy for reading: the keys of now, without leases."""
        copy = KeyValueStore()
        copy.revision = self.revision
        copy._entries = dict(self._entries)
        copy._sorted = list(self._sorted)
        copy._changed = dict(self._changed)
        return copy

    def _expect(self, key: str, if_version: int) -> None:
        entry = self._entries.get(key)
        present = entry.version if entry is not None else 0
        if present != if_version:
            raise VersionConflictError(present)

    def _mark(self, key: str) -> int:
        self.revision += 1
        self._changed.pop(key, None)
        self._changed[key] = self.revision
        return self.revision

    def _unbind(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry is not None and entry.lease in self._leases:
            self._leases[entry.lease].keys.discard(key)

    def _remove(self, key: str) -> int:
        self._unbind(key)
        del self._entries[key]
        del self._sorted[bisect.bisect_left(self._sorted, key)]
        return self._mark(key)

    def _end(self, lease: str) -> None:
        for key in sorted(self._leases.pop(lease).keys):
            self._remove(key)
