"""Decoding of requests and encoding of items for the store's stand-in."""

import base64
import binascii
from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

from agateshelf_standins import keyvalue

_MAX_ROWS = 32
_MAX_KEY_BYTES = 200


class BadRequestError(Exception):
    """The request violates the protocol."""


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
    """An atomic change of several keys.

    Attributes:
        precondition: Revision that each key must have; 0 means that it must
            not exist.
        writes: Value and lease of each key to write.
        deletes: Keys to delete.
    """

    precondition: dict[str, int]
    writes: dict[str, tuple[bytes, str | None]]
    deletes: list[str]

    def changed_keys(self) -> Iterator[str]:
        """Yield the keys that are written or deleted."""
        yield from self.writes
        yield from self.deletes


def decode_change(body: bytes) -> Change:
    """Decode the body of a change.

    Raises:
        BadRequestError: The body is invalid or too large.
    """
    decoded = _decode(body, _Change)
    if (
        len(decoded.precondition) + len(decoded.writes) + len(decoded.deletes)
        > _MAX_ROWS
    ):
        raise BadRequestError(
            f"more than {_MAX_ROWS} preconditions, writes and deletes"
        )
    for row in decoded.writes:
        if not 0 < len(row.key.encode()) <= _MAX_KEY_BYTES:
            raise BadRequestError(f"key: must have 1 to {_MAX_KEY_BYTES} bytes")
    return Change(
        {row.key: row.revision for row in decoded.precondition},
        {
            row.key: (
                _decode_base64(row.value),
                str(row.lease) if row.lease else None,
            )
            for row in decoded.writes
        },
        decoded.deletes,
    )


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise BadRequestError(f"value: {error}") from error


def decode_ttl(body: bytes) -> int:
    """Decode the duration of a requested lease, in milliseconds.

    Raises:
        BadRequestError: The body is invalid or the duration not positive.
    """
    ttl_ms: int = _decode(body, _Lease).ttl_time
    if ttl_ms <= 0:
        raise BadRequestError("ttl_time: must be above 0")
    return ttl_ms


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise BadRequestError(str(error)) from error


def parse_number(text: str, name: str) -> int:
    """Parse a query parameter as a non-negative integer.

    Args:
        text: Its value.
        name: Its name, for the error.

    Raises:
        BadRequestError: It is not a non-negative integer.
    """
    if not (text.isascii() and text.isdecimal() and len(text) < 19):
        raise BadRequestError(
            f"{name}: expected a non-negative integer, not {text!r}"
        )
    return int(text)


def encode_item(key_value: keyvalue.KeyValue) -> dict[str, Any]:
    """Return a stored key as an item of the protocol."""
    return {
        "key": key_value.key,
        "value": base64.b64encode(key_value.value).decode("ascii"),
        "revision": key_value.version,
        "created_rev": key_value.created,
        "lease": int(key_value.lease or 0),
    }
