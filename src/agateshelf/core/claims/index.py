"""The index of a shard: the latest record of each key digest.

Records are dropped after the claim lifetime, and recorded bodies earlier if
they take too much memory.
"""

from collections import abc

import msgspec

from agateshelf.core import state as core_state
from agateshelf.core.claims import const
from agateshelf.core.claims import models


def lifetime(state: core_state.State) -> float:
    """Return the least time that records are kept, in seconds.

    It is the longest `claim_lifetime` of all services, with a lower bound.
    """
    longest = max(
        (service.claim_lifetime for service in state.cfg.services.values()),
        default=const.MIN_LIFETIME_SECONDS,
    )
    return max(longest, const.MIN_LIFETIME_SECONDS)


def lookup(shard: models.Shard, digest: bytes) -> models.Record | None:
    """Return the latest record of a digest, or None."""
    item = shard.index.get(digest)
    return item.record if item else None


def add_records(
    shard: models.Shard, now: float, records: abc.Iterable[models.Record]
) -> None:
    """Add records in the order of the log; a later one replaces an earlier."""
    for record in records:
        item = shard.index.get(record.digest)
        if item is not None and _is_same(item.record, record):
            continue
        _remove(shard, record.digest)
        shard.index[record.digest] = models.IndexItem(record, now)
        shard.body_bytes += _body_bytes(record)
    _drop_bodies(shard)


def expire(state: core_state.State, now: float, shard: models.Shard) -> None:
    """Remove the records that were added longer than a lifetime ago."""
    oldest_kept = now - lifetime(state)
    while shard.index:
        digest, item = next(iter(shard.index.items()))
        if item.added_at >= oldest_kept:
            return
        _remove(shard, digest)


def _is_same(first: models.Record, second: models.Record) -> bool:
    return first.nonce == second.nonce and first.state is second.state


def _remove(shard: models.Shard, digest: bytes) -> None:
    item = shard.index.pop(digest, None)
    if item is not None:
        shard.body_bytes -= _body_bytes(item.record)


def _drop_bodies(shard: models.Shard) -> None:
    if shard.body_bytes <= const.MAX_INDEX_BODY_BYTES:
        return
    for item in shard.index.values():
        if item.record.body is None:
            continue
        shard.body_bytes -= _body_bytes(item.record)
        item.record = msgspec.structs.replace(item.record, body=None)
        if shard.body_bytes <= const.MAX_INDEX_BODY_BYTES // 2:
            return


def _body_bytes(record: models.Record) -> int:
    return len(record.body) if record.body else 0
