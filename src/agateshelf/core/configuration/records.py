"""Encoding and keys of the configuration records in the store.

- `config/head`: the latest version and its manifest;
- `config/part/DIGEST`: one service or team, immutable;
- `config/history/N-ID`: author and reason of a change, the newest sorting
  first. Patches that lost a race leave their record, which is harmless: each
  record names its predecessor, and only the chain from the head is accepted.
"""

import dataclasses
import urllib.parse

import msgspec

from agateshelf import decoding
from agateshelf import exceptions
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import results

_NEWEST_FIRST = 10**12


class RecordError(exceptions.AgateshelfError):
    """A value in the store can't be decoded as the expected record."""


def create_empty_head() -> patch_models.Head:
    """Create the head of a store that holds no configuration."""
    return patch_models.Head(0, content.manifest_digest({}), {}, ())


def next_head(
    head: patch_models.Head, new: content.Content, patch_id: str
) -> patch_models.Head:
    """Return the head that replaces another when a patch is accepted."""
    accepted = patch_models.AcceptedPatch(patch_id, new.version)
    patches = (*head.patches, accepted)[-const.MAX_REMEMBERED_PATCHES :]
    return patch_models.Head(new.version, new.digest, new.manifest, patches)


def encode_head(head: patch_models.Head) -> bytes:
    """Encode a head."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> patch_models.Head:
    """Decode a head.

    Raises:
        RecordError: The value is not a valid head.
    """
    try:
        return msgspec.json.decode(value, type=patch_models.Head)
    except decoding.ERRORS as exc:
        raise RecordError(str(exc)) from None


def accepted_version(head: patch_models.Head, patch_id: str) -> int | None:
    """Return the version that a patch created, if the head still lists it."""
    for patch in head.patches:
        if patch.patch_id == patch_id:
            return patch.version
    return None


def latest_patch_id(head: patch_models.Head) -> str:
    """Return the identifier of the patch that created the head's version."""
    return head.patches[-1].patch_id if head.patches else ""


def part_key(digest: str) -> str:
    """Return the store key of a part."""
    return f"{const.KEY_PART_PREFIX}{digest}"


def history_key(version: int, patch_id: str) -> str:
    """Return the store key of a history record; newer ones sort first."""
    order = _NEWEST_FIRST - version
    name = urllib.parse.quote(patch_id, safe="")
    return f"{const.KEY_HISTORY_PREFIX}{order:013d}-{name}"


def encode_history(record: results.HistoryRecord) -> bytes:
    """Encode a history record."""
    return msgspec.json.encode(record)


def decode_history(value: bytes) -> results.HistoryRecord | None:
    """Decode a history record; None if the value is not a valid one."""
    try:
        return msgspec.json.decode(value, type=results.HistoryRecord)
    except decoding.ERRORS:
        return None


def accepted_history(
    head: patch_models.Head, records: list[results.HistoryRecord]
) -> list[results.HistoryRecord]:
    """Return the records on the chain from the head, the newest first."""
    by_key = {(r.version, r.patch_id): r for r in records}
    version = head.version
    patch_id = latest_patch_id(head)
    chain = []
    while (version, patch_id) in by_key:
        record = by_key[version, patch_id]
        chain.append(record)
        version -= 1
        patch_id = record.previous_patch_id
    return chain


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A store key and its value."""

    key: str
    value: bytes


def create_initial_records(new: content.Content) -> tuple[StoredRecord, ...]:
    """Create the records of a first version for an empty store.

    For demonstrations and tests; operators submit a patch to version 0.
    """
    values = {
        part_key(new.manifest[name]): part.value
        for name, part in new.parts.items()
    }
    parts = tuple(StoredRecord(key, value) for key, value in values.items())
    head = next_head(create_empty_head(), new, "first")
    return (*parts, StoredRecord(const.KEY_HEAD, encode_head(head)))
