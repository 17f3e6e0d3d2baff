"""State of the key-value service, without I/O and without a clock.

Callers pass the time, so that benches and simulations run it in virtual time.
"""

import bisect
import copy
import dataclasses
import heapq

MAX_VALUE_BYTES = 1_048_576


class KeyValueError(Exception):
    """Base class of the errors of the service; nothing was changed."""


class VersionConflictError(KeyValueError):
    """The key's version differs from the expected one.

    Attributes:
        version: The current version, 0 if the key does not exist.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"the current version is {version}")
        self.version = version


class MissingKeyError(KeyValueError):
    """The key does not exist."""


class UnknownLeaseError(KeyValueError):
    """The lease does not exist or has expired."""


class ValueTooLargeError(KeyValueError):
    """The value is larger than the service accepts."""


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """A stored key.

    Attributes:
        key: The key.
        version: Revision of its last write.
        value: Its value.
        lease: Identifier of the lease that it is attached to, or None.
        created: Revision of its first write.
    """

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
    """Versioned keys with leases, and the revision of each key's last change.

    Each method takes the current time in seconds, which must not run
    backwards, and first ends the leases that have expired by then.

    Attributes:
        revision: The revision of the last write.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._key_values: dict[str, KeyValue] = {}
        self._sorted_keys: list[str] = []
        self._leases: dict[str, _Lease] = {}
        self._expirations: list[tuple[float, str]] = []
        self._lease_count = 0
        # Revision of each key's last change, deletions included; the latest
        # change is last.
        self._last_changes: dict[str, int] = {}

    def get(self, key: str, *, now: float) -> KeyValue | None:
        """Return a stored key, or None if it does not exist."""
        self.expire(now=now)
        return self._key_values.get(key)

    def put(
        self,
        key: str,
        value: bytes,
        *,
        if_version: int,
        now: float,
        lease: str | None = None,
    ) -> int:
        """Write a key if it has the expected version, 0 for a new key.

        Without a lease the key is detached from the lease it had.

        Returns:
            The new version.

        Raises:
            ValueTooLargeError: The value is too large.
            UnknownLeaseError: The lease does not exist or has expired.
            VersionConflictError: The key has another version.
        """
        self.expire(now=now)
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"value exceeds {MAX_VALUE_BYTES} bytes")
        if lease is not None and lease not in self._leases:
            raise UnknownLeaseError(lease)
        self._check_version(key, if_version)
        self._detach_lease(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
        if key not in self._key_values:
            bisect.insort(self._sorted_keys, key)
        previous = self._key_values.get(key)
        version = self._record_change(key)
        created = version if previous is None else previous.created
        self._key_values[key] = KeyValue(
            key, version, bytes(value), lease, created
        )
        return version

    def commit(
        self,
        writes: dict[str, tuple[bytes, str | None]],
        deletes: list[str],
        *,
        now: float,
    ) -> int:
        """Write and delete keys atomically.

        Args:
            writes: Value and lease of each key to write.
            deletes: Keys to delete; those that do not exist are skipped.
            now: The current time.

        Returns:
            The revision after the change.

        Raises:
            ValueTooLargeError: A value is too large.
            UnknownLeaseError: A lease does not exist or has expired.
        """
        self.expire(now=now)
        for value, lease in writes.values():
            if len(value) > MAX_VALUE_BYTES:
                raise ValueTooLargeError(
                    f"value exceeds {MAX_VALUE_BYTES} bytes"
                )
            if lease is not None and lease not in self._leases:
                raise UnknownLeaseError(lease)
        for key, (value, lease) in writes.items():
            previous = self._key_values.get(key)
            version = 0 if previous is None else previous.version
            self.put(key, value, if_version=version, lease=lease, now=now)
        for key in deletes:
            if key in self._key_values:
                self._remove(key)
        return self.revision

    def delete(self, key: str, *, if_version: int, now: float) -> int:
        """Delete a key if it has the expected version.

        Returns:
            The revision of the deletion.

        Raises:
            MissingKeyError: The key does not exist.
            VersionConflictError: The key has another version.
        """
        self.expire(now=now)
        if key not in self._key_values:
            raise MissingKeyError(key)
        self._check_version(key, if_version)
        return self._remove(key)

    def range(
        self, prefix: str, *, now: float, after: str = "", limit: int = 1000
    ) -> tuple[list[KeyValue], bool]:
        """Return a page of the keys under a prefix, sorted.

        Args:
            prefix: Prefix of the keys.
            now: The current time.
            after: Key after which the page starts; empty for the first page.
            limit: Maximum number of keys in the page.

        Returns:
            The keys, and whether there are more.
        """
        self.expire(now=now)
        index = bisect.bisect_left(self._sorted_keys, prefix)
        if after:
            index = max(index, bisect.bisect_right(self._sorted_keys, after))
        found: list[KeyValue] = []
        while index < len(self._sorted_keys) and self._sorted_keys[
            index
        ].startswith(prefix):
            if len(found) >= limit:
                return found, True
            found.append(self._key_values[self._sorted_keys[index]])
            index += 1
        return found, False

    def changes(
        self, prefix: str, *, after: int, now: float
    ) -> list[tuple[str, int]]:
        """Return the keys under a prefix that changed after a revision.

        A deletion counts as a change, at the revision of the deletion.

        Returns:
            Each key once with the revision of its last change, by revision.
        """
        self.expire(now=now)
        found = []
        for key in reversed(self._last_changes):
            if self._last_changes[key] <= after:
                break
            if key.startswith(prefix):
                found.append((key, self._last_changes[key]))
        return found[::-1]

    def grant(self, *, ttl_s: float, now: float) -> str:
        """Grant a lease that expires after `ttl_s` seconds unless renewed."""
        self.expire(now=now)
        self._lease_count += 1
        lease = f"{self._lease_count}"
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        heapq.heappush(self._expirations, (now + ttl_s, lease))
        return lease

    def renew(self, lease: str, *, now: float) -> float:
        """Renew a lease for its full duration from now on.

        Returns:
            That duration in seconds.

        Raises:
            UnknownLeaseError: The lease does not exist or has expired.
        """
        self.expire(now=now)
        if lease not in self._leases:
            raise UnknownLeaseError(lease)
        state = self._leases[lease]
        state.expires = now + state.ttl_s
        return state.ttl_s

    def revoke(self, lease: str, *, now: float) -> None:
        """End a lease and delete its keys.

        Raises:
            UnknownLeaseError: The lease does not exist or has expired.
        """
        self.expire(now=now)
        if lease not in self._leases:
            raise UnknownLeaseError(lease)
        self._end_lease(lease)

    def expire(self, *, now: float) -> None:
        """End the leases that have expired and delete their keys."""
        while self._expirations and self._expirations[0][0] <= now:
            _, lease = heapq.heappop(self._expirations)
            state = self._leases.get(lease)
            if state is None:
                continue
            if state.expires <= now:
                self._end_lease(lease)
            else:
                heapq.heappush(self._expirations, (state.expires, lease))

    def backup(self) -> "KeyValueStore":
        """Return a copy with its leases, which doesn't change any more."""
        return copy.deepcopy(self)

    def snapshot(self) -> "KeyValueStore":
        """Return a read-only copy of the current keys, without leases."""
        taken = KeyValueStore()
        taken.revision = self.revision
        taken._key_values = dict(self._key_values)
        taken._sorted_keys = list(self._sorted_keys)
        taken._last_changes = dict(self._last_changes)
        return taken

    def _check_version(self, key: str, if_version: int) -> None:
        key_value = self._key_values.get(key)
        current = key_value.version if key_value is not None else 0
        if current != if_version:
            raise VersionConflictError(current)

    def _record_change(self, key: str) -> int:
        self.revision += 1
        self._last_changes.pop(key, None)
        self._last_changes[key] = self.revision
        return self.revision

    def _detach_lease(self, key: str) -> None:
        key_value = self._key_values.get(key)
        if key_value is not None and key_value.lease in self._leases:
            self._leases[key_value.lease].keys.discard(key)

    def _remove(self, key: str) -> int:
        self._detach_lease(key)
        del self._key_values[key]
        del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
        return self._record_change(key)

    def _end_lease(self, lease: str) -> None:
        for key in sorted(self._leases.pop(lease).keys):
            self._remove(key)
