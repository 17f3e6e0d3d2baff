"""Handles the end of attempts: delivers the response, retries or refuses."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.calls import lifecycle
from agateshelf.core.calls import models
from agateshelf.core.calls import refusals
from agateshelf.core.hedging import models as hedging_models
from agateshelf.core.limits import admission
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import sends
from agateshelf.core.retries import policy as retry_policy
from agateshelf.core.routing import classification
from agateshelf.core.routing import models as routing_models

_STATUS_UNAVAILABLE = 503


def on_answer(
    state: core_state.State, now: float, event: events.AttemptAnswered
) -> list[effects.Effect]:
    """Deliver a response, or retry if the target refused the request."""
    attempt = state.calls.attempts.get(event.attempt)
    if attempt is None:
        return [effects.Count("attempts.late_answers")]
    call = state.calls.calls[attempt.call]
    _record_response(state, now, call, attempt, event)
    _update_verdict(
        call,
        verdicts.verdict_of_answer(call.service, event.status, event.headers),
    )
    call.answer = verdicts.recorded_answer(
        event.status, event.headers, event.body
    )
    admission.on_answer(state, now, attempt, event)
    emitted = _record_survival(state, now, call, event)
    emitted.extend(_decide(state, now, call, attempt, event))
    return emitted


def _record_survival(
    state: core_state.State,
    now: float,
    call: models.Call,
    event: events.AttemptAnswered,
) -> list[effects.Effect]:
    """Record whether the target survived the request."""
    if event.streaming:
        return []
    refused = verdicts.is_refusal(call.service, event.headers)
    return sends.on_answered(
        state, now, event.attempt, event.status, not_run=refused
    )


def _decide(
    state: core_state.State,
    now: float,
    call: models.Call,
    attempt: models.Attempt,
    event: events.AttemptAnswered,
) -> list[effects.Effect]:
    if _may_ignore_error(call, attempt, event):
        lifecycle.end_attempt(state, attempt.number)
        return []
    refused = verdicts.is_refusal(call.service, event.headers)
    unavailable = call.idempotent and event.status == _STATUS_UNAVAILABLE
    if (refused or unavailable) and not event.streaming:
        lifecycle.end_attempt(state, attempt.number)
        if retry_policy.may_retry(state, now, call):
            return lifecycle.start_retry(state, now, call)
        return _deliver(state, call, attempt)
    if event.streaming:
        return _deliver_stream(state, call, attempt)
    lifecycle.end_attempt(state, attempt.number)
    return _deliver(state, call, attempt)


def _may_ignore_error(
    call: models.Call, attempt: models.Attempt, event: events.AttemptAnswered
) -> bool:
    """Return whether to ignore an error because another attempt is running."""
    if attempt.ending is routing_models.Ending.ANSWERED or event.streaming:
        return False
    return len(call.attempts) > 1


def _record_response(
    state: core_state.State,
    now: float,
    call: models.Call,
    attempt: models.Attempt,
    event: events.AttemptAnswered,
) -> None:
    attempt.ending = classification.ending_of_response(call.service, event)
    attempt.draining = event.draining
    classification.record_load(state, now, attempt.placement, event)
    if attempt.ending is routing_models.Ending.ANSWERED:
        first = min(state.calls.attempts[n].started for n in call.attempts)
        hedging_models.record(state.hedging, call.service.name, now - first)


def _deliver(
    state: core_state.State, call: models.Call, attempt: models.Attempt
) -> list[effects.Effect]:
    emitted: list[effects.Effect] = []
    for number in call.attempts:
        sends.forget(state, number)
    emitted.extend(lifecycle.cancel_attempts(state, call))
    emitted.append(effects.DeliverAnswer(call.number, attempt.number))
    emitted.extend(lifecycle.end_call(state, call))
    return emitted


def _deliver_stream(
    state: core_state.State, call: models.Call, attempt: models.Attempt
) -> list[effects.Effect]:
    attempt.streaming = True
    others = sorted(call.attempts - {attempt.number})
    emitted: list[effects.Effect] = []
    for number in others:
        lifecycle.end_attempt(state, number)
        sends.forget(state, number)
        emitted.append(effects.CancelAttempt(number))
    emitted.append(effects.DeliverAnswer(call.number, attempt.number))
    return emitted


def on_stream_end(
    state: core_state.State, now: float, event: events.StreamEnded
) -> list[effects.Effect]:
    """Remove a call whose streamed response has ended, complete or not."""
    crash_effects = sends.on_stream_ended(state, now, event)
    ended = lifecycle.end_attempt(state, event.attempt)
    if ended is None:
        return crash_effects
    call, _ = ended
    emitted = [*crash_effects, *lifecycle.end_call(state, call)]
    if not event.whole:
        emitted.insert(0, effects.Count("answers.cut"))
    return emitted


def on_failure(
    state: core_state.State, now: float, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Retry after a failed attempt if that cannot run the request twice.

    Otherwise the call is refused.
    """
    attempt = state.calls.attempts.get(event.attempt)
    if attempt is not None:
        attempt.ending = classification.ending_of_failure(event)
    ended = lifecycle.end_attempt(state, event.attempt)
    if ended is None:
        return []
    call, attempt = ended
    admission.on_failure(state, attempt, event)
    emitted = sends.on_failed(state, now, event)
    if sends.is_loss(event):
        call.lost_connections += 1
    verdict = verdicts.verdict_of_failure(
        event.kind, any_byte_sent=event.any_byte_sent
    )
    _update_verdict(call, verdict)
    if call.attempts:
        return emitted
    crash_limit = call.service.poison_crashes
    if call.lost_connections < crash_limit and retry_policy.may_retry(
        state, now, call
    ):
        emitted.extend(lifecycle.start_retry(state, now, call))
    else:
        emitted.extend(
            lifecycle.give_up(state, call, refusals.target_failed(call))
        )
    return emitted


def _update_verdict(call: models.Call, verdict: outcome_models.Verdict) -> None:
    call.verdict = max(call.verdict, verdict)
