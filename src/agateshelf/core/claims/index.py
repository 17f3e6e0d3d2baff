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
    known = shard.index.get(digest)
    return known.record if known else None


def learn(
    shard: models.Shard, now: float, records: abc.Iterable[models.Record]
) -> None:
    """Add records in the order of the log; a later one replaces an earlier."""
    for record in records:
        known = shard.index.get(record.digest)
        if known is not None and _same(known.record, record):
            continue
        _forget(shard, record.digest)
        shard.index[record.digest] = models.Known(record, now)
        shard.body_bytes += _body_bytes(record)
    _drop_bodies(shard)


def expire(state: core_state.State, now: float, shard: models.Shard) -> None:
    """Remove the records that were added longer than a lifetime ago."""
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
