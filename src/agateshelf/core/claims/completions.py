"""Completion records of this entry's claims.

The completion of a claim is proposed repeatedly until an appender confirms it,
so that duplicates of the request get the outcome.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.claims import const
from agateshelf.core.claims import encoding
from agateshelf.core.claims import index
from agateshelf.core.claims import models
from agateshelf.core.claims import owners
from agateshelf.core.claims import proposing
from agateshelf.core.outcomes import models as outcome_models


def on_ended(
    state: core_state.State, now: float, event: events.ClaimEnded
) -> list[effects.Effect]:
    """Propose the completion record of a claimed call.

    If too many are unconfirmed, as in a long outage of the store, the oldest
    is dropped; duplicates of its request then get the outcome `unknown`.
    """
    claim = state.claims.claims.pop(event.call)
    nonce = claim.record.nonce
    del state.claims.calls_by_nonce[nonce]
    if _needs_no_completion(claim):
        return _post_if_settled(state)
    record = _completion_record(claim, event)
    if len(state.claims.pending_completions) >= const.MAX_QUEUE_RECORDS:
        state.claims.pending_completions.pop(
            next(iter(state.claims.pending_completions))
        )
    completion = models.PendingCompletion(record, now)
    state.claims.pending_completions[nonce] = completion
    return _propose(state, now, completion)


def _needs_no_completion(claim: models.Claim) -> bool:
    return claim.stage is models.Stage.REJECTED and not claim.may_be_written


def on_overdue(
    state: core_state.State, now: float, nonce: bytes
) -> list[effects.Effect]:
    """Propose a completion record again that was not confirmed in time."""
    completion = state.claims.pending_completions.get(nonce)
    if completion is None:
        return []
    return _propose(state, now, completion)


def _propose(
    state: core_state.State, now: float, completion: models.PendingCompletion
) -> list[effects.Effect]:
    """Propose a completion record, and set the timer to do so again.

    It is dropped after the claim lifetime, or earlier while stopping.
    """
    nonce = completion.record.nonce
    waited = now - completion.retry_started_at
    if state.stopping and waited >= const.MAX_STOP_WAIT_SECONDS:
        return _remove(state, nonce)
    progress = completion.progress
    delay = min(
        const.INITIAL_COMPLETION_RETRY_SECONDS * 2.0**progress.proposal_count,
        const.MAX_COMPLETION_RETRY_SECONDS,
    )
    if waited > index.lifetime(state):
        return _remove(state, nonce)
    timers.schedule(state.timers, now + delay, events.ClaimOverdue(nonce))
    if progress.is_local:
        return []
    shard = encoding.shard_of(completion.record.digest)
    owner = owners.current_owner(state, now, shard)
    return proposing.propose(state, now, completion.record, progress, owner)


def on_stop(state: core_state.State, now: float) -> list[effects.Effect]:
    """Propose all unconfirmed completion records at once before the exit."""
    emitted: list[effects.Effect] = []
    for completion in list(state.claims.pending_completions.values()):
        completion.retry_started_at = now
        completion.progress.proposal_count = 0
        emitted.extend(_propose(state, now, completion))
    return emitted


def _completion_record(
    claim: models.Claim, event: events.ClaimEnded
) -> models.Record:
    claimed = claim.record
    if event.verdict is outcome_models.Verdict.DID_NOT_RUN:
        return _with_state(claimed, models.RecordState.RELEASED)
    answer = event.answer
    if answer is None:
        return _with_state(claimed, models.RecordState.UNKNOWN)
    return models.Record(
        digest=claimed.digest,
        nonce=claimed.nonce,
        request_digest=claimed.request_digest,
        state=models.RecordState.ANSWERED,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def _with_state(
    record: models.Record, state: models.RecordState
) -> models.Record:
    return models.Record(
        record.digest, record.nonce, record.request_digest, state
    )


def on_confirmed(
    state: core_state.State, decision: models.Decision
) -> list[effects.Effect]:
    """Drop a completion record that an appender has confirmed."""
    return _remove(state, decision.nonce)


def _remove(state: core_state.State, nonce: bytes) -> list[effects.Effect]:
    state.claims.pending_completions.pop(nonce, None)
    return _post_if_settled(state)


def _post_if_settled(state: core_state.State) -> list[effects.Effect]:
    if state.stopping and is_settled(state):
        state.pending_events.append(events.ClaimsSettled())
    return []


def is_settled(state: core_state.State) -> bool:
    """Return whether all claims have ended with a confirmed record."""
    return not state.claims.pending_completions and not state.claims.claims
