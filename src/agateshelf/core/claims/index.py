"""The index of a shard: the latest record of each digest."""

from collections import abc

import msgspec

from agateshelf.core import state as core_state
from agateshelf.core.claims import const
from agateshelf.core.claims import models


def lifetime(state: core_state.State) -> float:
    """Return for how many seconds every record is remembered at least."""
    longest = max(
        (service.claim_lifetime for service in state.cfg.services.values()),
        default=const.MIN_LIFETIME_SECONDS,
    )
    return max(longest, const.MIN_LIFETIME_SECONDS)


def lookup(shard: models.Shard, digest: bytes) -> models.Record | None:
    """Return what is known of a digest."""
    known = shard.index.get(digest)
    return known.record if known else None


def learn(
    shard: models.Shard, now: float, records: abc.Iterable[models.Record]
) -> None:
    """Take in records, in the order of the log."""
    for record in records:
        known = shard.index.get(record.digest)
        if known is not None and _same(known.record, record):
            continue
        _forget(shard, record.digest)
        shard.index[record.digest] = models.Known(record, now)
        shard.body_bytes += _body_bytes(record)
    _drop_bodies(shard)


def expire(state: core_state.State, now: float, shard: models.Shard) -> None:
    """Forget records that were learned longer ago than their lifetime."""
    oldest_kept = now - lifetime(state)
    while shard.index:
        digest, known = next(iter(shard.index.items()))
        if known.learned >= oldest_kept:
            return
        _forget(shard, digest)


def _same(first: models.Record, second: models.Record) -> bool:
    return first.nonce == second.nonce and first.state is second.state


def _forget(shard: models.Shard, digest: bytes) -> None:
    known = shard.index.pop(digest, None)
    if known is not None:
        shard.body_bytes -= _body_bytes(known.record)


def _drop_bodies(shard: models.Shard) -> None:
    if shard.body_bytes <= const.MAX_INDEX_BODY_BYTES:
        return
    for known in shard.index.values():
        if known.record.body is None:
            continue
        shard.body_bytes -= _body_bytes(known.record)
        known.record = msgspec.structs.replace(known.record, body=None)
        if shard.body_bytes <= const.MAX_INDEX_BODY_BYTES // 2:
            return


def _body_bytes(record: models.Record) -> int:
    return len(record.body) if record.body else 0
