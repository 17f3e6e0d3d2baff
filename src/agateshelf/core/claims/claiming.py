"""Claims of this entry's own calls, from the proposal to the decision.

Handles the messages about claims too: proposals of other entries, which are
submitted to this entry's appender, and decisions of owners.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.calls import models as call_models
from agateshelf.core.claims import appender
from agateshelf.core.claims import completions
from agateshelf.core.claims import const
from agateshelf.core.claims import encoding
from agateshelf.core.claims import messages
from agateshelf.core.claims import models
from agateshelf.core.claims import owners
from agateshelf.core.claims import pauses
from agateshelf.core.claims import proposing
from agateshelf.core.claims import refusals
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.outcomes import models as outcome_models

_RUN_UNCLAIMED = configuration_models.StoreOutagePolicy.RUN_UNCLAIMED


def needs_claim(call: call_models.Call) -> bool:
    """Return whether a call needs a claim to start."""
    return not call.idempotent and call.idempotency_key is not None


def begin(
    state: core_state.State, now: float, call: call_models.Call
) -> list[effects.Effect]:
    """Propose a claim for a call, or let the call start if it needs none."""
    if not needs_claim(call):
        state.pending_events.append(events.CallReady(call.number))
        return []
    if pauses.check_for_pause(state, now):
        refusal = refusals.entry_paused()
        state.pending_events.append(events.CallRejected(call.number, refusal))
        return [effects.Count("claims.distrusted")]
    record = models.Record(
        digest=encoding.digest_of(
            call.service.name, call.caller, call.idempotency_key or ""
        ),
        nonce=encoding.nonce_of(state.claims.incarnation, call.number),
        request_digest=encoding.request_digest_of(
            call.method, call.path, call.body_digest
        ),
        state=models.RecordState.CLAIMED,
    )
    claim = models.Claim(call.number, record, now)
    state.claims.claims[call.number] = claim
    state.claims.calls_by_nonce[record.nonce] = call.number
    at = now + const.CLAIM_TIMEOUT_SECONDS
    timers.schedule(state.timers, at, events.ClaimOverdue(record.nonce))
    return _propose_claim(state, now, claim)


def _propose_claim(
    state: core_state.State, now: float, claim: models.Claim
) -> list[effects.Effect]:
    """Propose a claim to the shard's owner.

    After several proposals without a decision this entry appends it itself.
    """
    progress = claim.progress
    claim.may_be_written = True
    owner = owners.current_owner(
        state, now, encoding.shard_of(claim.record.digest)
    )
    if progress.proposal_count >= const.MAX_OWNER_PROPOSALS:
        owner = state.identity.entry
    emitted = proposing.propose(state, now, claim.record, progress, owner)
    if progress.is_local:
        return emitted
    overdue = events.ClaimOverdue(claim.record.nonce)
    at = now + const.OWNER_TIMEOUT_SECONDS
    timers.schedule(state.timers, at, overdue)
    return emitted


def on_peer_proposal(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.RecordsProposed,
) -> list[effects.Effect]:
    """Submit another entry's proposed records to this entry's appender."""
    emitted: list[effects.Effect] = []
    for record in message.records:
        emitted.extend(appender.submit(state, now, record, peer))
    return emitted


def on_peer_decision(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.RecordsDecided,
) -> list[effects.Effect]:
    """Post the decisions received from an owner."""
    owners.record_decisions(state, now, peer)
    state.pending_events.extend(
        events.ClaimDecided(decision, peer) for decision in message.decisions
    )
    return []


def on_decided(
    state: core_state.State, now: float, event: events.ClaimDecided
) -> list[effects.Effect]:
    """Continue or refuse a call by the decision on its claim."""
    decision = event.decision
    if decision.word is models.ProposalResult.CONFIRMED:
        return completions.on_confirmed(state, decision)
    claim = _pending_claim(state, decision.nonce)
    if claim is None:
        return []
    match decision.word:
        case models.ProposalResult.GRANTED:
            return _on_granted(state, now, claim)
        case models.ProposalResult.STORE_UNAVAILABLE_MAYBE_WRITTEN:
            return _on_store_unavailable(state, claim)
    # The appender that sent this decision doesn't write the record. Another one
    # may, if the record was proposed more than once.
    claim.may_be_written = claim.progress.proposal_count > 1
    match decision.word:
        case models.ProposalResult.STORE_UNAVAILABLE if event.peer is not None:
            return _on_owner_without_store(state, now, claim, event.peer)
        case models.ProposalResult.STORE_UNAVAILABLE:
            return _on_store_unavailable(state, claim)
    return _refuse_duplicate(state, claim, decision)


def _pending_claim(
    state: core_state.State, nonce: bytes
) -> models.Claim | None:
    call = state.claims.calls_by_nonce.get(nonce)
    claim = None if call is None else state.claims.claims.get(call)
    if claim is None or claim.stage is not models.Stage.PENDING:
        return None
    return claim


def _on_granted(
    state: core_state.State, now: float, claim: models.Claim
) -> list[effects.Effect]:
    if not _is_usable(claim, now):
        return _reject(state, claim, refusals.claim_expired())
    claim.stage = models.Stage.GRANTED
    state.pending_events.append(events.CallReady(claim.call))
    return []


def _is_usable(claim: models.Claim, now: float) -> bool:
    return now - claim.proposed_at <= const.CLAIM_USABLE_SECONDS


def may_start(
    state: core_state.State, now: float, call: call_models.Call
) -> bool:
    """Return whether a call may start an attempt by the state of its claim."""
    if not needs_claim(call):
        return True
    claim = state.claims.claims.get(call.number)
    if claim is None:
        return False
    if claim.stage is models.Stage.GRANTED:
        return _is_usable(claim, now)
    return claim.stage is models.Stage.BYPASSED


def usable_until(state: core_state.State, call: call_models.Call) -> float:
    """Return the time after which no attempt of a call may be sent."""
    claim = state.claims.claims.get(call.number)
    if claim is None or claim.stage is not models.Stage.GRANTED:
        return call.deadline
    return min(call.deadline, claim.proposed_at + const.CLAIM_USABLE_SECONDS)


def _on_store_unavailable(
    state: core_state.State, claim: models.Claim
) -> list[effects.Effect]:
    call = state.calls.calls.get(claim.call)
    if call is not None and call.service.store_outage_policy is _RUN_UNCLAIMED:
        claim.stage = models.Stage.BYPASSED
        state.pending_events.append(events.CallReady(claim.call))
        return [effects.Count("claims.run_unclaimed")]
    emitted: list[effects.Effect] = [effects.Count("claims.store_away")]
    emitted.extend(_reject(state, claim, refusals.store_unavailable()))
    return emitted


def _reject(
    state: core_state.State,
    claim: models.Claim,
    refusal: outcome_models.Refusal,
) -> list[effects.Effect]:
    claim.stage = models.Stage.REJECTED
    state.pending_events.append(events.CallRejected(claim.call, refusal))
    return []


def _refuse_duplicate(
    state: core_state.State, claim: models.Claim, decision: models.Decision
) -> list[effects.Effect]:
    known = decision.known
    match decision.word:
        case models.ProposalResult.MISMATCH:
            refusal = refusals.mismatch()
        case models.ProposalResult.ANSWERED if known is not None:
            if known.body is not None:
                return _replay(state, claim, known)
            refusal = refusals.answer_not_stored(known.status)
        case models.ProposalResult.UNKNOWN:
            refusal = refusals.outcome_unknown()
        case _:
            refusal = refusals.in_flight()
    emitted: list[effects.Effect] = [effects.Count("claims.repeats_refused")]
    emitted.extend(_reject(state, claim, refusal))
    return emitted


def _replay(
    state: core_state.State, claim: models.Claim, known: models.Record
) -> list[effects.Effect]:
    answer = outcome_models.RecordedAnswer(
        known.status, known.content_type, known.body
    )
    claim.stage = models.Stage.REJECTED
    state.pending_events.append(events.CallReplayed(claim.call, answer))
    return [effects.Count("claims.replayed")]


def _on_owner_without_store(
    state: core_state.State, now: float, claim: models.Claim, owner: str
) -> list[effects.Effect]:
    """Handle an owner that can't reach the store.

    If this entry has reached the store lately, the owner is passed over.
    Otherwise the store counts as unavailable, except for a few claims that this
    entry appends itself as a probe.
    """
    if claim.progress.is_local:
        return []
    if now - state.claims.store_answered_at <= const.STORE_REACHABLE_SECONDS:
        owners.suspect(state, now + const.OWNER_WITHOUT_STORE_SECONDS, owner)
        return _propose_claim(state, now, claim)
    if state.rng.random() < const.UNAVAILABLE_PROBE_SHARE:
        # At the maximum, this entry appends the claim itself.
        claim.progress.proposal_count = const.MAX_OWNER_PROPOSALS
        return _propose_claim(state, now, claim)
    return _on_store_unavailable(state, claim)


def on_overdue(
    state: core_state.State, now: float, event: events.ClaimOverdue
) -> list[effects.Effect]:
    """Handle the time-out of a proposed claim or completion record."""
    claim = _pending_claim(state, event.nonce)
    if claim is not None:
        return _on_claim_overdue(state, now, claim)
    return completions.on_overdue(state, now, event.nonce)


def _on_claim_overdue(
    state: core_state.State, now: float, claim: models.Claim
) -> list[effects.Effect]:
    if now - claim.proposed_at >= const.CLAIM_TIMEOUT_SECONDS:
        return _on_store_unavailable(state, claim)
    progress = claim.progress
    if progress.is_local:
        return []
    if now - progress.sent_at < const.OWNER_TIMEOUT_SECONDS:
        return []
    if not owners.has_decided_since(state, progress.sent_at, progress.owner):
        until = now + const.OWNER_SUSPECTED_SECONDS
        owners.suspect(state, until, progress.owner)
    emitted: list[effects.Effect] = [effects.Count("claims.proposed_again")]
    emitted.extend(_propose_claim(state, now, claim))
    return emitted


def post_end(state: core_state.State, call: call_models.Call) -> None:
    """Post the end of a call that has a claim."""
    if call.number in state.claims.claims:
        event = events.ClaimEnded(call.number, call.verdict, call.answer)
        state.pending_events.append(event)


def refusal_for_key(
    state: core_state.State,
    call: call_models.Call,
    refusal: outcome_models.Refusal,
) -> outcome_models.Refusal:
    """Return the refusal with an outcome that holds for the idempotency key.

    Without a granted claim, `not-run` becomes `unknown`, since an earlier
    request with the key may have run.
    """
    if not needs_claim(call):
        return refusal
    claim = state.claims.claims.get(call.number)
    if claim is not None and claim.stage is models.Stage.GRANTED:
        return refusal
    return refusals.with_unknown_outcome(refusal)
