"""Completion records of this entry's claims.

The end of a claimed call is proposed repeatedly until an appender confirms it,
so that duplicates of the request get the outcome.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.claims import const
from agateshelf.core.claims import delivering
from agateshelf.core.claims import index
from agateshelf.core.claims import log
from agateshelf.core.claims import models
from agateshelf.core.claims import owners
from agateshelf.core.outcomes import models as outcome_models


def on_ended(
    state: core_state.State, now: float, event: events.ClaimEnded
) -> list[effects.Effect]:
    """Propose the completion record of a claimed call.

    If too many are unconfirmed, as in a long outage of the store, the oldest
    is dropped; duplicates of its request are then told `unknown`.
    """
    claim = state.claims.claims.pop(event.call)
    nonce = claim.record.nonce
    del state.claims.calls_by_nonce[nonce]
    if _needs_no_end(claim):
        return _settle(state)
    record = _end_of(claim, event)
    if len(state.claims.untold) >= const.MAX_QUEUE_RECORDS:
        state.claims.untold.pop(next(iter(state.claims.untold)))
    untold = models.Untold(record, now)
    state.claims.untold[nonce] = untold
    return _tell_again(state, now, untold)


def _needs_no_end(claim: models.Claim) -> bool:
    return claim.stage is models.Stage.REJECTED and not claim.may_be_written


def on_overdue(
    state: core_state.State, now: float, nonce: bytes
) -> list[effects.Effect]:
    """Propose a completion record again that was not confirmed in time."""
    untold = state.claims.untold.get(nonce)
    if untold is None:
        return []
    return _tell_again(state, now, untold)


def _tell_again(
    state: core_state.State, now: float, untold: models.Untold
) -> list[effects.Effect]:
    """Propose a completion record, and set the timer to do so again.

    It is dropped after the claim lifetime, or earlier while stopping.
    """
    nonce = untold.record.nonce
    waited = now - untold.since
    if state.stopping and waited >= const.SETTLE_PATIENCE_SECONDS:
        return _forget_untold(state, nonce)
    delivery = untold.delivery
    patience = min(
        const.OUTCOME_PATIENCE_SECONDS * 2.0**delivery.tries,
        const.MAX_OUTCOME_PATIENCE_SECONDS,
    )
    if waited > index.lifetime(state):
        return _forget_untold(state, nonce)
    timers.schedule(state.timers, now + patience, events.ClaimOverdue(nonce))
    if delivery.direct:
        return []
    shard = log.shard_of(untold.record.digest)
    owner = owners.current_owner(state, now, shard)
    return delivering.propose(state, now, untold.record, delivery, owner)


def on_stop(state: core_state.State, now: float) -> list[effects.Effect]:
    """Propose all unconfirmed completion records at once before the exit."""
    done: list[effects.Effect] = []
    for untold in list(state.claims.untold.values()):
        untold.since = now
        untold.delivery.tries = 0
        done.extend(_tell_again(state, now, untold))
    return done


def _end_of(claim: models.Claim, event: events.ClaimEnded) -> models.Record:
    claimed = claim.record
    if event.verdict is outcome_models.Verdict.DID_NOT_RUN:
        return _with_state(claimed, models.RecordState.RELEASED)
    answer = event.answer
    if answer is None:
        return _with_state(claimed, models.RecordState.UNKNOWN)
    return models.Record(
        digest=claimed.digest,
        nonce=claimed.nonce,
        request=claimed.request,
        state=models.RecordState.ANSWERED,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def _with_state(
    record: models.Record, state: models.RecordState
) -> models.Record:
    return models.Record(record.digest, record.nonce, record.request, state)


def on_kept(
    state: core_state.State, decision: models.Decision
) -> list[effects.Effect]:
    """Drop a completion record that an appender has confirmed."""
    return _forget_untold(state, decision.nonce)


def _forget_untold(
    state: core_state.State, nonce: bytes
) -> list[effects.Effect]:
    state.claims.untold.pop(nonce, None)
    return _settle(state)


def _settle(state: core_state.State) -> list[effects.Effect]:
    if state.stopping and is_settled(state):
        state.pending_events.append(events.ClaimsSettled())
    return []


def is_settled(state: core_state.State) -> bool:
    """Return whether all claims have ended with a confirmed record."""
    return not state.claims.untold and not state.claims.claims
