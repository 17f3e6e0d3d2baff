"""Appending to a shard's log, with a batch of proposals per compare-and-swap.

Batches (group commit) keep the rate of writes to the store bounded. Once the
head is too large, it is sealed: written as a segment too, so that the next head
starts empty.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.claims import const
from agateshelf.core.claims import encoding
from agateshelf.core.claims import index
from agateshelf.core.claims import messages
from agateshelf.core.claims import models
from agateshelf.core.claims import rules
from agateshelf.core.claims import store_requests


def append(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    """Decide the queued proposals and write the resulting records.

    The shard must be ready, with the latest known head read.
    """
    if not store_requests.take_token(state, now, shard):
        return []
    index.expire(state, now, shard)
    if shard.head_bytes > const.MAX_HEAD_BYTES and not shard.is_head_sealed:
        return _seal_head(state, now, shard)
    new_records = _build_batch(shard)
    if not new_records:
        shard.tokens += 1.0
        return _send_batch_decisions(state, shard)
    return [_compare_and_swap(state, now, shard, new_records)]


def _build_batch(shard: models.Shard) -> dict[bytes, models.Record]:
    new_records: dict[bytes, models.Record] = {}
    while shard.queue and len(shard.batch) < const.MAX_BATCH_RECORDS:
        proposal = shard.queue.popleft()
        record = proposal.record
        known = new_records.get(record.digest) or index.lookup(
            shard, record.digest
        )
        result, to_write = rules.decide(known, record)
        if to_write is not None:
            new_records[record.digest] = to_write
        shard.batch.append(proposal)
        shard.decisions.append(create_decision(record, result, known))
    return new_records


def create_decision(
    proposed: models.Record,
    result: models.ProposalResult,
    known: models.Record | None,
) -> models.Decision:
    """Return the decision to send to the proposer."""
    recorded = known if result is models.ProposalResult.ANSWERED else None
    return models.Decision(proposed.nonce, proposed.state, result, recorded)


def _compare_and_swap(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    new_records: dict[bytes, models.Record],
) -> effects.Effect:
    if shard.is_head_sealed:
        head = models.Head(shard.version, list(new_records.values()))
    else:
        records = {**shard.head_records, **new_records}
        head = models.Head(shard.sealed_version, list(records.values()))
    shard.next_head = head
    shard.new_records = list(new_records.values())
    shard.phase = models.Phase.SWAPPING
    value = encoding.encode(head)
    shard.next_head_bytes = len(value)
    body = storage.CompareAndSwap(
        encoding.head_key(shard.number), shard.version, value
    )
    return store_requests.send(state, now, shard, body)


def on_swapped(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Send the decisions of the batch, or queue it again if the swap failed.

    After a failure the head is read again before the next decision.
    """
    head = shard.next_head
    shard.next_head = None
    if not isinstance(answer, storage.Swapped) or head is None:
        _requeue(shard, may_be_written=isinstance(answer, storage.NoAnswer))
        return _on_failed_swap(state, now, shard, answer)
    shard.phase = models.Phase.READY
    shard.version = answer.version
    shard.sealed_version = head.sealed_version
    shard.is_head_sealed = False
    shard.head_records = {record.digest: record for record in head.records}
    shard.head_bytes = shard.next_head_bytes
    index.add_records(shard, now, shard.new_records)
    return _send_batch_decisions(state, shard)


def _on_failed_swap(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    shard.phase = models.Phase.HEAD_STALE
    if isinstance(answer, storage.Conflict):
        shard.tokens -= const.CONFLICT_TOKENS * state.rng.random()
        return [effects.Count("claims.conflicts")]
    store_requests.record_failure(state, now, shard, answer)
    return [effects.Count("claims.store_failures")]


def _requeue(shard: models.Shard, *, may_be_written: bool) -> None:
    for proposal in shard.batch:
        proposal.may_be_written = proposal.may_be_written or may_be_written
    shard.queue.extendleft(reversed(shard.batch))
    shard.batch = []
    shard.decisions = []


def _send_batch_decisions(
    state: core_state.State, shard: models.Shard
) -> list[effects.Effect]:
    batch, shard.batch = shard.batch, []
    decisions, shard.decisions = shard.decisions, []
    return send_decisions(state, batch, decisions)


def send_decisions(
    state: core_state.State,
    proposals: list[models.Proposal],
    decisions: list[models.Decision],
) -> list[effects.Effect]:
    """Send decisions to the proposers, with one message per entry."""
    by_peer: dict[str, list[models.Decision]] = {}
    for proposal, decision in zip(proposals, decisions, strict=True):
        if proposal.peer is None:
            state.pending_events.append(events.ClaimDecided(decision))
        else:
            by_peer.setdefault(proposal.peer, []).append(decision)
    return [
        effects.SendToPeers(
            (peer,), messages.RecordsDecided(tuple(peer_decisions))
        )
        for peer, peer_decisions in by_peer.items()
    ]


def _seal_head(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    lease = state.claims.lease
    if lease is None or not _is_lease_usable(state, now, lease):
        shard.phase = models.Phase.LEASING
        ttl = index.lifetime(state) + const.LEASE_USE_SECONDS
        return [store_requests.send(state, now, shard, storage.GrantLease(ttl))]
    shard.phase = models.Phase.SEALING
    head = models.Head(shard.sealed_version, list(shard.head_records.values()))
    key = encoding.segment_key(
        shard.number, shard.version, state.claims.incarnation
    )
    body = storage.CompareAndSwap(key, 0, encoding.encode(head), lease.id)
    return [store_requests.send(state, now, shard, body)]


def _is_lease_usable(
    state: core_state.State, now: float, lease: models.Lease
) -> bool:
    """Return whether a segment written now is kept for the claim lifetime."""
    if lease.lifetime < index.lifetime(state):
        return False
    return now - lease.requested_at <= const.LEASE_USE_SECONDS


def on_leased(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
    requested_at: float,
) -> list[effects.Effect]:
    """Keep the granted lease; its age counts from the time of the request."""
    shard.phase = models.Phase.READY
    if isinstance(answer, storage.LeaseGranted):
        state.claims.lease = models.Lease(
            answer.lease, requested_at, index.lifetime(state)
        )
        return []
    store_requests.record_failure(state, now, shard, answer)
    return []


def on_sealed(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Mark the head as sealed, so that the next one starts empty."""
    shard.phase = models.Phase.READY
    match answer:
        case storage.Swapped() | storage.Conflict():
            # The key contains the head's version and this process's
            # incarnation, so a conflict means that an earlier write of the same
            # records took effect.
            shard.is_head_sealed = True
        case storage.NotFound():
            state.claims.lease = None
        case _:
            store_requests.record_failure(state, now, shard, answer)
    return []
