"""Validates JSON documents against msgspec structs."""

import re
from typing import TypeVar

import msgspec

from agateshelf import decoding
from agateshelf import exceptions

StructT = TypeVar("StructT", bound="StrictStruct")

_MESSAGE = re.compile(
    r"^(?P<fault>.*?)(?: - at `\$(?P<place>.*)`)?$", re.DOTALL
)
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>.*)`")


class StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base struct of documents: immutable, unknown keys are errors."""


def read_json(kind: type[StructT], text: str | bytes) -> StructT:
    """Parse and validate a JSON text.

    Raises:
        DocumentError: The text is not JSON or does not match the struct.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except decoding.ERRORS as exc:
        raise _to_document_error(exc) from None


def read_value(kind: type[StructT], value: object) -> StructT:
    """Validate a decoded JSON value.

    Raises:
        DocumentError: The value does not match the struct.
    """
    try:
        return msgspec.convert(value, type=kind)
    except msgspec.MsgspecError as exc:
        raise _to_document_error(exc) from None


def _to_document_error(exc: Exception) -> exceptions.DocumentError:
    """Convert the path in a msgspec message to a JSON Pointer."""
    match = _MESSAGE.match(str(exc))
    if match is None:
        return exceptions.DocumentError("", str(exc))
    pointer = match["place"] or ""
    path = re.sub(r"[.\[]", "/", pointer.replace("]", ""))
    unknown = _UNKNOWN_FIELD.search(match["fault"])
    if unknown is not None:
        path += f"/{unknown['name']}"
    return exceptions.DocumentError(path, match["fault"])
