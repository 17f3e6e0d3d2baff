"""Bodies of the store's requests and answers, in the platform's format."""

import base64
import binascii

import msgspec


class Item(msgspec.Struct):
    """An item of the store, or the tombstone of a removed one.

    Attributes:
        key: The key.
        revision: Revision of the item's last write or of its removal.
        value: Value in base64; None for a tombstone.
        tombstone: Whether the item was removed.
    """

    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class ItemResponse(Item):
    """Answer to a read of one key.

    Attributes:
        current_rev: Revision of the whole store; 0 if it is not given.
    """

    current_rev: int = 0


class Page(msgspec.Struct):
    """A page of the items under a prefix.

    Attributes:
        items: The items, ordered by key.
        has_more: Whether further items follow.
        current_rev: Revision of the whole store.
        era: Era of the store; not part of the body.
    """

    items: list[Item]
    has_more: bool
    current_rev: int
    era: int = 0


class Events(msgspec.Struct):
    """Changes under a prefix, as the answer to a watch.

    Attributes:
        events: Items that were written or removed.
        current_rev: Revision up to which changes are included.
    """

    events: list[Item]
    current_rev: int


class Precondition(msgspec.Struct):
    """Revision that a key must have; 0 means that it must not exist."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """A key to write.

    Attributes:
        key: The key.
        value: Value in base64.
        lease: Lease whose end deletes the key; 0 for none.
    """

    key: str
    value: str
    lease: int = 0


class Change(msgspec.Struct):
    """A transaction, which takes effect only if its precondition holds.

    Attributes:
        precondition: Keys with their expected revisions.
        writes: Keys to write.
        deletes: Keys to delete.
    """

    precondition: list[Precondition]
    writes: list[Write] = []
    deletes: list[str] = []


class ChangeResponse(msgspec.Struct):
    """Answer to a change that took effect.

    Attributes:
        revision: Revision of the store that the change created.
    """

    revision: int


class PreconditionFailure(msgspec.Struct):
    """Answer to a change whose precondition did not hold.

    Attributes:
        items: Current items of the keys in the precondition.
    """

    items: list[Item] = []


class LeaseRequest(msgspec.Struct):
    """Request for a lease; `ttl_time` is in milliseconds."""

    ttl_time: int


class RenewalResponse(msgspec.Struct):
    """Answer to the renewal of a lease; `ttl_time` is in milliseconds."""

    ttl_time: int


class LeaseResponse(msgspec.Struct):
    """Answer to a request for a lease; `lease` is its identifier."""

    lease: int


def decode_value(item: Item) -> bytes | None:
    """Decode an item's value; None for a tombstone or invalid base64."""
    if item.tombstone or item.value is None:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        return None


def encode_value(value: bytes) -> str:
    """Encode a value for the store."""
    return base64.b64encode(value).decode("ascii")
