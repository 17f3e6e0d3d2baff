"""What the core asks of the platform's key-value service, and its answers.

A request carries a number chosen by the reducer; exactly one answer with that
number follows. `NoAnswer` leaves open whether a write took effect.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read one key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Read the keys under a prefix, in order, after a key."""

    prefix: str
    after: str = ""
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Swap:
    """Write a key if its version is the expected one.

    Attributes:
        key: The key.
        expected: The version to replace; 0 means that it must not exist.
        value: The new value.
        lease: Lease that the key goes with, or None.
    """

    key: str
    expected: int
    value: bytes
    lease: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete a key if its version is the expected one."""

    key: str
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait until a key under a prefix changes after a revision.

    Attributes:
        prefix: Prefix of the keys.
        after: Revision after which changes count.
        timeout: Seconds to wait at most.
    """

    prefix: str
    after: int
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease of some seconds."""

    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a lease."""

    lease: str


StoreRequest = Read | Range | Swap | Delete | Watch | GrantLease | RenewLease


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and version."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The key that was read."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """There is no such key or lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Keys of a range."""

    revision: int
    entries: tuple[Entry, ...]
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Swapped:
    """The write or delete took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key had another version; nothing was done."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed under a watched prefix: keys and versions."""

    revision: int
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease was granted or renewed."""

    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """The service said that it did nothing (429, 503, or a bad request)."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer came; a write may have taken effect."""


StoreAnswer = (
    Found
    | Missing
    | Entries
    | Swapped
    | Conflict
    | Changes
    | LeaseGranted
    | Overloaded
    | NoAnswer
)
