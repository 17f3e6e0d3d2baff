"""Appending to a shard's log, with a batch of proposals per compare-and-swap.

Batches (group commit) keep the rate of writes to the store bounded. Once the
head is too large, it is also written as a segment, and a new one starts empty.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.claims import asking
from agateshelf.core.claims import const
from agateshelf.core.claims import index
from agateshelf.core.claims import log
from agateshelf.core.claims import messages
from agateshelf.core.claims import models
from agateshelf.core.claims import rules


def append(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    """Decide the queued proposals and write the resulting records.

    The shard must be ready, with the latest known head read.
    """
    if not asking.take_token(state, now, shard):
        return []
    index.expire(state, now, shard)
    if shard.recent_bytes > const.SPILL_BYTES and not shard.spilled:
        return _spill(state, now, shard)
    changes = _form_batch(shard)
    if not changes:
        shard.tokens += 1.0
        return _tell_batch(state, shard)
    return [_swap(state, now, shard, changes)]


def _form_batch(shard: models.Shard) -> dict[bytes, models.Record]:
    changes: dict[bytes, models.Record] = {}
    while shard.queue and len(shard.batch) < const.MAX_BATCH_RECORDS:
        proposal = shard.queue.popleft()
        record = proposal.record
        known = changes.get(record.digest) or index.lookup(shard, record.digest)
        word, write = rules.decide(known, record)
        if write is not None:
            changes[record.digest] = write
        shard.batch.append(proposal)
        shard.decisions.append(decision_of(record, word, known))
    return changes


def decision_of(
    proposed: models.Record, word: models.Word, known: models.Record | None
) -> models.Decision:
    """Return the decision to send to the proposer."""
    shown = known if word is models.Word.ANSWERED else None
    return models.Decision(proposed.nonce, proposed.state, word, shown)


def _swap(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    changes: dict[bytes, models.Record],
) -> effects.Effect:
    if shard.spilled:
        head = models.Head(shard.version, list(changes.values()))
    else:
        records = {**shard.recent, **changes}
        head = models.Head(shard.since, list(records.values()))
    shard.next_head = head
    shard.changes = list(changes.values())
    shard.phase = models.Phase.SWAPPING
    value = log.encode(head)
    shard.next_bytes = len(value)
    body = storage.CompareAndSwap(
        log.head_key(shard.number), shard.version, value
    )
    return asking.ask(state, now, shard, body)


def on_swapped(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Send the decisions of the batch, or queue it again if the swap failed.

    After a failure the log is read again before the next decision.
    """
    head = shard.next_head
    shard.next_head = None
    if not isinstance(answer, storage.Swapped) or head is None:
        _requeue(shard, unsure=isinstance(answer, storage.NoAnswer))
        return _fall_back(state, now, shard, answer)
    shard.phase = models.Phase.READY
    shard.version = answer.version
    shard.since = head.since
    shard.spilled = False
    shard.recent = {record.digest: record for record in head.records}
    shard.recent_bytes = shard.next_bytes
    index.learn(shard, now, shard.changes)
    return _tell_batch(state, shard)


def _fall_back(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    shard.phase = models.Phase.COLD
    if isinstance(answer, storage.Conflict):
        shard.tokens -= const.CONFLICT_TOKENS * state.rng.random()
        return [effects.Count("claims.conflicts")]
    asking.note_failure(state, now, shard, answer)
    return [effects.Count("claims.store_failures")]


def _requeue(shard: models.Shard, *, unsure: bool) -> None:
    for proposal in shard.batch:
        proposal.unsure = proposal.unsure or unsure
    shard.queue.extendleft(reversed(shard.batch))
    shard.batch = []
    shard.decisions = []


def _tell_batch(
    state: core_state.State, shard: models.Shard
) -> list[effects.Effect]:
    batch, shard.batch = shard.batch, []
    decisions, shard.decisions = shard.decisions, []
    return tell(state, batch, decisions)


def tell(
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
        effects.SendToPeers((peer,), messages.RecordsDecided(tuple(told)))
        for peer, told in by_peer.items()
    ]


def _spill(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    lease = state.claims.lease
    if lease is None or not _is_usable(state, now, lease):
        shard.phase = models.Phase.LEASING
        ttl = index.lifetime(state) + const.LEASE_USE_SECONDS
        return [asking.ask(state, now, shard, storage.GrantLease(ttl))]
    shard.phase = models.Phase.SPILLING
    head = models.Head(shard.since, list(shard.recent.values()))
    key = log.segment_key(shard.number, shard.version, state.claims.incarnation)
    body = storage.CompareAndSwap(key, 0, log.encode(head), lease.id)
    return [asking.ask(state, now, shard, body)]


def _is_usable(
    state: core_state.State, now: float, lease: models.Lease
) -> bool:
    """Return whether a segment written now is kept for the claim lifetime."""
    if lease.lifetime < index.lifetime(state):
        return False
    return now - lease.asked <= const.LEASE_USE_SECONDS


def on_leased(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
    asked_at: float,
) -> list[effects.Effect]:
    """Store the lease; its age counts from the time of the request."""
    shard.phase = models.Phase.READY
    if isinstance(answer, storage.LeaseGranted):
        state.claims.lease = models.Lease(
            answer.lease, asked_at, index.lifetime(state)
        )
        return []
    asking.note_failure(state, now, shard, answer)
    return []


def on_spilled(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Mark the head as written to a segment, so that the next starts empty."""
    shard.phase = models.Phase.READY
    match answer:
        case storage.Swapped() | storage.Conflict():
            # The key contains the head's version and this process's
            # incarnation, so a conflict can only be an earlier write of the
            # same records.
            shard.spilled = True
        case storage.NotFound():
            state.claims.lease = None
        case _:
            asking.note_failure(state, now, shard, answer)
    return []
