"""The appender of a shard: queues proposals and drives reads and writes."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.claims import appending
from agateshelf.core.claims import const
from agateshelf.core.claims import encoding
from agateshelf.core.claims import index
from agateshelf.core.claims import models
from agateshelf.core.claims import reading
from agateshelf.core.claims import rules
from agateshelf.core.claims import store_requests

_CLAIMED = models.RecordState.CLAIMED


def submit(
    state: core_state.State,
    now: float,
    record: models.Record,
    peer: str | None,
) -> list[effects.Effect]:
    """Queue a record proposed by this entry or a peer.

    Claims are decided without a write while the store is unavailable or the
    queue is full; completions are dropped if the queue is full.
    """
    shard = _shard(state, encoding.shard_of(record.digest))
    proposal = models.Proposal(record, peer)
    if _must_decide_without_write(shard, now, record):
        return _decide_without_write(state, shard, [proposal])
    if len(shard.queue) >= const.MAX_QUEUE_RECORDS:
        return [effects.Count("claims.ends_dropped")]
    shard.queue.append(proposal)
    return advance(state, now, shard)


def _shard(state: core_state.State, number: int) -> models.Shard:
    shard = state.claims.shards.get(number)
    if shard is None:
        shard = models.Shard(number, tokens=const.SHARD_WRITE_BURST)
        state.claims.shards[number] = shard
    return shard


def _must_decide_without_write(
    shard: models.Shard, now: float, record: models.Record
) -> bool:
    if record.state is not _CLAIMED:
        return False
    is_full = len(shard.queue) >= const.MAX_QUEUE_RECORDS
    return is_full or store_requests.is_store_unavailable(shard, now)


def _decide_without_write(
    state: core_state.State,
    shard: models.Shard,
    proposals: list[models.Proposal],
) -> list[effects.Effect]:
    """Decide proposals without a write.

    The result follows from the known records where the rules need no write, as
    for duplicates and for claims that are in the log already. For all other
    claims it is that the store is unavailable.
    """
    decisions = []
    for proposal in proposals:
        known = index.lookup(shard, proposal.record.digest)
        result, to_write = rules.decide(known, proposal.record)
        if to_write is not None:
            result = _unavailable_result(proposal)
        decisions.append(
            appending.create_decision(proposal.record, result, known)
        )
    return appending.send_decisions(state, proposals, decisions)


def _unavailable_result(proposal: models.Proposal) -> models.ProposalResult:
    if proposal.may_be_written:
        return models.ProposalResult.STORE_UNAVAILABLE_MAYBE_WRITTEN
    return models.ProposalResult.STORE_UNAVAILABLE


def advance(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    """Start the next store request, unless one is in flight or must wait."""
    if not shard.queue:
        return []
    if now < shard.retry_at:
        store_requests.schedule_wake_up(state, shard, shard.retry_at)
        return []
    if shard.wake_up_at is not None and now < shard.wake_up_at:
        return []
    match shard.phase:
        case models.Phase.HEAD_STALE:
            return reading.read_head(state, now, shard)
        case models.Phase.READY:
            return appending.append(state, now, shard)
        case _:
            return []


def on_due(
    state: core_state.State, now: float, event: events.ClaimShardDue
) -> list[effects.Effect]:
    """Continue with a shard after the rate limit or a backoff."""
    shard = _shard(state, event.shard)
    shard.wake_up_at = None
    return advance(state, now, shard)


def on_store_answer(
    state: core_state.State, now: float, event: events.StoreAnswered
) -> list[effects.Effect]:
    """Handle the reply to a store request of an appender.

    A reply that is not counted as a failure is a success. That includes a
    conflict, since the store has replied.
    """
    request = state.claims.store_requests.pop(event.request)
    shard = _shard(state, request.shard)
    failures = shard.consecutive_failures
    emitted = _dispatch_answer(state, now, shard, event.answer, request.sent_at)
    if shard.consecutive_failures == failures:
        store_requests.record_success(state, now, shard)
    elif shard.consecutive_failures >= const.FAILURES_UNTIL_UNAVAILABLE:
        emitted.extend(_decide_queued_claims(state, shard))
    emitted.extend(_advance_if_idle(state, now, shard))
    return emitted


def _advance_if_idle(
    state: core_state.State, now: float, shard: models.Shard
) -> list[effects.Effect]:
    if shard.phase in (models.Phase.HEAD_STALE, models.Phase.READY):
        return advance(state, now, shard)
    return []


def _dispatch_answer(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
    requested_at: float,
) -> list[effects.Effect]:
    match shard.phase:
        case models.Phase.READING_HEAD:
            return reading.on_head(state, now, shard, answer)
        case models.Phase.READING_SEGMENTS:
            return reading.on_segments(state, now, shard, answer)
        case models.Phase.SWAPPING:
            return appending.on_swapped(state, now, shard, answer)
        case models.Phase.SEALING:
            return appending.on_sealed(state, now, shard, answer)
        case models.Phase.LEASING:
            return appending.on_leased(state, now, shard, answer, requested_at)
        case _:
            return []


def _decide_queued_claims(
    state: core_state.State, shard: models.Shard
) -> list[effects.Effect]:
    claims = [p for p in shard.queue if p.record.state is _CLAIMED]
    completions = [p for p in shard.queue if p.record.state is not _CLAIMED]
    shard.queue.clear()
    shard.queue.extend(completions)
    return _decide_without_write(state, shard, claims)
