"""Requests of the core to the platform's key-value store, and their answers.

The reducer numbers each request, and exactly one answer with that number
follows. After `NoAnswer` it is unknown whether a write took effect.
"""

import msgspec


class Read(msgspec.Struct, frozen=True):
    """Read one key."""

    key: str


class Range(msgspec.Struct, frozen=True):
    """Read up to `limit` keys under a prefix, in order, after a key.

    Attributes:
        prefix: Prefix of the keys.
        after: Key after which to start.
        limit: Largest number of keys.
        stale: Whether the answer may be some seconds old.
    """

    prefix: str
    after: str = ""
    limit: int = 1000
    stale: bool = False


class CompareAndSwap(msgspec.Struct, frozen=True):
    """Write a key if its version is the expected one.

    Attributes:
        key: The key.
        expected: The version to replace; 0 means that it must not exist.
        value: The new value.
        lease: Lease whose end deletes the key, or None.
    """

    key: str
    expected: int
    value: bytes
    lease: str | None = None


class Delete(msgspec.Struct, frozen=True):
    """Delete a key if its version is the expected one."""

    key: str
    expected: int


class Watch(msgspec.Struct, frozen=True):
    """Wait until a key under a prefix changes after a revision.

    Attributes:
        prefix: Prefix of the keys.
        after: Revision after which changes are reported.
        timeout: Longest time to wait, in seconds.
    """

    prefix: str
    after: int
    timeout: float


class GrantLease(msgspec.Struct, frozen=True):
    """Request a lease with a time to live in seconds."""

    ttl: float


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease: str


StoreRequest = (
    Read | Range | CompareAndSwap | Delete | Watch | GrantLease | RenewLease
)


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value and version."""

    key: str
    version: int
    value: bytes


class Found(msgspec.Struct, frozen=True):
    """The key that was read."""

    key_value: KeyValue


class NotFound(msgspec.Struct, frozen=True):
    """The key or lease does not exist."""


class RangePage(msgspec.Struct, frozen=True):
    """A page of a range; `more` tells whether further keys follow."""

    revision: int
    key_values: tuple[KeyValue, ...]
    more: bool


class Swapped(msgspec.Struct, frozen=True):
    """The write or delete took effect."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """The key had another version; nothing was written."""

    version: int


class Changes(msgspec.Struct, frozen=True):
    """The keys that changed under a watched prefix."""

    revision: int
    keys: tuple[str, ...]


class LeaseGranted(msgspec.Struct, frozen=True):
    """The lease was granted or renewed."""

    lease: str


class Rejected(msgspec.Struct, frozen=True):
    """The store rejected the request, and nothing was written.

    It answered with status 429, 503 or another 4xx that has no answer of its
    own here, or rejected a write with details that can't be parsed.
    """


class NoAnswer(msgspec.Struct, frozen=True):
    """No answer came; a write may have taken effect."""


StoreAnswer = (
    Found
    | NotFound
    | RangePage
    | Swapped
    | Conflict
    | Changes
    | LeaseGranted
    | Rejected
    | NoAnswer
)
