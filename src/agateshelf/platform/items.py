"""Items of the platform's store, as it spells them."""

import base64
import binascii

import msgspec


class Item(msgspec.Struct):
    """One item of the store, or the mark that it was removed.

    `value` is base64; `tombstone` is set on a removal.
    """

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class ItemResponse(Item):
    """The answer to the question for one key."""

    current_rev: int = 0


class Page(msgspec.Struct):
    """A page of the items under a prefix."""

    items: list[Item]
    has_more: bool
    current_rev: int


class Events(msgspec.Struct):
    """What changed under a prefix."""

    events: list[Item]
    current_rev: int


class Precondition(msgspec.Struct):
    """A key that a change depends on; revision 0 is a key that is not there."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """A key to write; `value` is base64, and lease 0 is none."""

    key: str
    value: str
    lease: int = 0


class Change(msgspec.Struct):
    """A change that is made whole or not at all."""

    precondition: list[Precondition]
    writes: list[Write] = []
    deletes: list[str] = []


class ChangeResponse(msgspec.Struct):
    """The answer to a change that was made."""

    revision: int


class PreconditionFailure(msgspec.Struct):
    """The answer to a change whose precondition does not hold."""

    items: list[Item] = []


class LeaseRequest(msgspec.Struct):
    """A lease to grant; `ttl_time` is in milliseconds."""

    ttl_time: int


class RenewalResponse(msgspec.Struct):
    """The answer to the renewal of a lease; `ttl_time` is in milliseconds."""

    ttl_time: int


class LeaseResponse(msgspec.Struct):
    """The answer to the question for a lease."""

    lease: int


def decode_value(item: Item) -> bytes | None:
    """Return the bytes of an item; None if it has none that can be read."""
    if item.tombstone or item.value is None:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None


def encode_value(value: bytes) -> str:
    """Return bytes as the store takes them."""
    return base64.b64encode(value).decode("ascii")
