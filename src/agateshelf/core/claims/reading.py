"""Catching up with a shard's log: its head and the segments before that."""

from agateshelf import decoding
from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.claims import const
from agateshelf.core.claims import encoding
from agateshelf.core.claims import index
from agateshelf.core.claims import models
from agateshelf.core.claims import store_requests

_EMPTY_HEAD = models.Head(sealed_version=0, records=[])


def read_head(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    """Request the head of a shard's log."""
    shard.phase = models.Phase.READING_HEAD
    body = storage.Read(encoding.head_key(shard.number))
    return [store_requests.send(state, now, shard, body)]


def on_head(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Apply the head, after reading segments written since the known version.

    A head older than the known one is a stale read and counts as a failure.
    """
    match answer:
        case storage.NotFound():
            head, version = _EMPTY_HEAD, 0
        case storage.Found(entry):
            try:
                head, version = encoding.decode(entry.value), entry.version
            except decoding.ERRORS:
                return _fail(state, now, shard, answer)
        case _:
            return _fail(state, now, shard, answer)
    if version < shard.version:
        return _fail(state, now, shard, answer)
    shard.catch_up_head = head
    shard.catch_up_version = version
    if head.sealed_version > shard.version:
        after = encoding.segment_floor(shard.number, shard.version)
        return _read_segments(state, now, shard, after)
    _apply_head(shard, now)
    return []


def on_segments(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Apply a page of segments; the head is applied after the last page.

    A page older than the head may lack segments and counts as a failure.
    """
    if not isinstance(answer, storage.RangePage):
        return _fail(state, now, shard, answer)
    if answer.revision < shard.catch_up_version:
        return _fail(state, now, shard, answer)
    for entry in answer.key_values:
        version = encoding.segment_version(shard.number, entry.key)
        if version > shard.catch_up_version:
            break
        try:
            segment = encoding.decode(entry.value)
        except decoding.ERRORS:
            return _fail(state, now, shard, answer)
        index.add_records(shard, now, segment.records)
    if answer.more and answer.key_values:
        after = answer.key_values[-1].key
        return _read_segments(state, now, shard, after)
    _apply_head(shard, now)
    return []


def _read_segments(
    state: core_state.State, now: float, shard: models.Shard, after: str
) -> list[effects.Effect]:
    shard.phase = models.Phase.READING_SEGMENTS
    body = storage.Range(
        encoding.segment_prefix(shard.number), after, const.SEGMENTS_PER_READ
    )
    return [store_requests.send(state, now, shard, body)]


def _apply_head(shard: models.Shard, now: float) -> None:
    head = shard.catch_up_head or _EMPTY_HEAD
    index.add_records(shard, now, head.records)
    if shard.catch_up_version != shard.version:
        shard.is_head_sealed = False
    shard.version = shard.catch_up_version
    shard.sealed_version = head.sealed_version
    shard.head_records = {record.digest: record for record in head.records}
    shard.head_bytes = len(encoding.encode(head))
    shard.catch_up_head = None
    shard.phase = models.Phase.READY


def _fail(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    store_requests.record_failure(state, now, shard, answer)
    shard.catch_up_head = None
    shard.phase = models.Phase.HEAD_STALE
    return []
