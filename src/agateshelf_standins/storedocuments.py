"""Bodies of the store's protocol, read and made by its stand-in."""

import base64
import binascii
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

from agateshelf_standins import keyvalue

_MOST_ROWS = 32
_MOST_KEY_BYTES = 200


class BadRequestError(Exception):
    """A request that breaks the protocol."""


class _Row(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Change(msgspec.Struct):
    precondition: list[_Row] = []
    writes: list[_Write] = []
    deletes: list[str] = []


class _Lease(msgspec.Struct):
    ttl_time: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that is made whole or not at all.

    Attributes:
        precondition: Revision that each key must have; 0 for none.
        writes: Value and lease of each key to write.
        deletes: Keys to delete.
    """

    precondition: dict[str, int]
    writes: dict[str, tuple[bytes, str | None]]
    deletes: list[str]

    def touched(self) -> Iterator[str]:
        """Returns the keys that the change touches."""
        yield from self.writes
        yield from self.deletes


def read_change(body: bytes) -> Change:
    """Reads a change.

    Raises:
        BadRequestError: It is not one, or too large.
    """
    read = _decode(body, _Change)
    if len(read.precondition) + len(read.writes) + len(read.deletes) > (
        _MOST_ROWS
    ):
        raise BadRequestError(f"more than {_MOST_ROWS} entries")
    for row in read.writes:
        if not 0 < len(row.key.encode()) <= _MOST_KEY_BYTES:
            raise BadRequestError(f"a key of 1 to {_MOST_KEY_BYTES} bytes")
    return Change(
        {row.key: row.revision for row in read.precondition},
        {
            row.key: (_bytes(row.value), str(row.lease) if row.lease else None)
            for row in read.writes
        },
        read.deletes,
    )


def _bytes(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise BadRequestError(f"value: {error}") from error


def read_ttl(body: bytes) -> int:
    """Reads for how many milliseconds a lease is wanted.

    Raises:
        BadRequestError: The body does not say it.
    """
    ttl_ms: int = _decode(body, _Lease).ttl_time
    if ttl_ms <= 0:
        raise BadRequestError("ttl_time: expected a number above 0")
    return ttl_ms


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise BadRequestError(str(error)) from error


def number(text: str, name: str) -> int:
    """Reads a whole number.

    Raises:
        BadRequestError: It is not one.
    """
    if not (text.isascii() and text.isdecimal() and len(text) < 19):
        raise BadRequestError(f"{name}: expected a whole number, not {text!r}")
    return int(text)


def item_of(entry: keyvalue.Entry) -> dict[str, Any]:
    """Returns an item as the protocol spells it."""
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode("ascii"),
        "revision": entry.version,
        "created_rev": entry.created,
        "lease": int(entry.lease or 0),
    }
