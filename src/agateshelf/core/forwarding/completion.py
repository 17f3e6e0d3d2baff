"""Completion of attempts: deliver the answer, retry, or refuse the call.

A request is sent again only if that can't run it twice, and a refusal tells
the caller whether the request may have run.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import requester
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import lifecycle
from agateshelf.core.forwarding import models
from agateshelf.core.forwarding import refusals
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import sends
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import spreading

Effects = list[effects.Effect]
Verdict = outcome_models.Verdict


def on_answer(
    state: core_state.State, now: float, event: events.AttemptAnswered
) -> Effects:
    """Deliver an answer, or retry a request that the target did not serve."""
    attempt = state.forwarding.attempts.get(event.attempt)
    if attempt is None:
        return [effects.Count("attempts.late_answers")]
    call = state.forwarding.calls[attempt.call]
    if event.load is not None:
        attempt.running = event.load.in_flight
        attempt.queued = event.load.queued
        attempt.slowness = event.load.slowness
    emitted = _record_notice(state, now, attempt, event)
    if event.streaming:
        return [*emitted, *_deliver_stream(state, now, call, attempt)]
    ending = _ending_of(event)
    ended = lifecycle.end_attempt(state, now, event.attempt, ending)
    emitted.extend([] if ended is None else ended[2])
    emitted.append(_log_event_of(call, attempt, event, now))
    call.verdict = max(call.verdict, _verdict_of(event))
    emitted.extend(
        sends.on_answered(
            state,
            now,
            event.attempt,
            event.status,
            not_run=event.not_run,
            misdirected=event.misdirected,
        )
    )
    if event.not_run:
        return [*emitted, *_on_not_run(state, now, call)]
    failed = event.status >= const.FIRST_SERVER_ERROR
    if failed and call.attempts:
        return emitted
    if failed and may_retry(now, call):
        return [*emitted, *requester.request_dispatch(state, now, call)]
    if event.status in const.NOT_RUN_STATUSES:
        refusal = refusals.target_failed(call)
        return [*emitted, *lifecycle.give_up(state, now, call, refusal)]
    for number in call.attempts:
        sends.forget(state, number)
    emitted.extend(lifecycle.cancel_attempts(state, now, call))
    emitted.append(effects.DeliverAnswer(call.number, event.attempt))
    emitted.extend(lifecycle.end_call(state, call))
    return emitted


def _record_notice(
    state: core_state.State,
    now: float,
    attempt: models.Attempt,
    event: events.AttemptAnswered,
) -> Effects:
    """Record what an answer says of its target, to tell the owner."""
    if event.misdirected:
        return []
    emitted = notice_records.on_answer(state, now, attempt.target, event)
    attempt.notice = notice_records.statement_of(state, now, attempt.target)
    spreading.mark_told(state, attempt.owner, attempt.target)
    return emitted


def _ending_of(event: events.AttemptAnswered) -> dispatch_models.Ending:
    if event.misdirected:
        return dispatch_models.Ending.MISPLACED
    if event.pause:
        return dispatch_models.Ending.NEUTRAL
    if event.not_run:
        return dispatch_models.Ending.REFUSED
    if event.status >= const.FIRST_SERVER_ERROR:
        return dispatch_models.Ending.ERROR
    return dispatch_models.Ending.ANSWERED


def _verdict_of(event: events.AttemptAnswered) -> Verdict:
    if event.not_run:
        return Verdict.DID_NOT_RUN
    if event.status >= const.FIRST_SERVER_ERROR:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN


def _log_event_of(
    call: models.Call,
    attempt: models.Attempt,
    event: events.AttemptAnswered,
    now: float,
) -> effects.LogEvent:
    return effects.LogEvent(
        "attempt.answered",
        call.request_id,
        (
            ("attempt", attempt.number),
            ("target", attempt.target),
            ("status", event.status),
            ("not_run", event.not_run),
            ("seconds", round(now - attempt.started, 4)),
            ("slowness", attempt.slowness),
            ("after_ms", round((now - call.arrived) * 1000, 1)),
        ),
    )


def _on_not_run(
    state: core_state.State, now: float, call: models.Call
) -> Effects:
    if call.attempts:
        return []
    if may_retry(now, call):
        return requester.request_dispatch(state, now, call)
    pause = _pause_of(state, now, call.service)
    return lifecycle.give_up(
        state, now, call, refusals.refused_by_targets(call, pause)
    )


def _pause_of(state: core_state.State, now: float, service: str) -> float:
    """Return the seconds until a target of a service wants requests again.

    It is 0 if any target of the service may want them now.
    """
    ends = [
        notice_records.paused_until(state, target)
        for target in state.directory.services.get(service, ())
        if not notice_records.is_leaving(state, target)
        and not state.directory.targets[target].draining
    ]
    return max(0.0, min(ends, default=now) - now)


def may_retry(now: float, call: models.Call) -> bool:
    """Return whether a retry can't run the request twice and is worthwhile."""
    if call.dispatch_number is not None or call.attempts:
        return False
    if call.attempt_count >= call.route.max_attempts:
        return False
    if call.lost_connections >= const.POISON_CRASHES:
        return False
    if call.deadline - now < const.MIN_ATTEMPT_SECONDS:
        return False
    return call.route.idempotent or call.verdict is Verdict.DID_NOT_RUN


def _deliver_stream(
    state: core_state.State,
    now: float,
    call: models.Call,
    attempt: models.Attempt,
) -> Effects:
    state.forwarding.streaming.add(attempt.number)
    emitted: Effects = []
    for number in sorted(call.attempts - {attempt.number}):
        ended = lifecycle.end_attempt(
            state, now, number, dispatch_models.Ending.NEUTRAL
        )
        emitted.append(effects.CancelAttempt(number))
        sends.forget(state, number)
        if ended is not None:
            emitted.extend(ended[2])
    emitted.append(effects.DeliverAnswer(call.number, attempt.number))
    return emitted


def on_stream_end(
    state: core_state.State, now: float, event: events.StreamEnded
) -> Effects:
    """Remove a call whose streamed answer is complete or was cut off."""
    state.forwarding.streaming.discard(event.attempt)
    crash_effects = sends.on_stream_ended(state, now, event)
    ending = dispatch_models.Ending.NEUTRAL
    if event.whole:
        ending = dispatch_models.Ending.ANSWERED
    ended = lifecycle.end_attempt(state, now, event.attempt, ending)
    if ended is None:
        return crash_effects
    call, _, emitted = ended
    return [*crash_effects, *emitted, *lifecycle.end_call(state, call)]


def on_failure(
    state: core_state.State, now: float, event: events.AttemptFailed
) -> Effects:
    """Record a failed attempt; retry only if that can't run it twice."""
    ended = lifecycle.end_attempt(
        state, now, event.attempt, _ending_of_failure(event)
    )
    if ended is None:
        return []
    call, attempt, emitted = ended
    emitted.extend(sends.on_failed(state, now, event))
    if sends.is_loss(event):
        call.lost_connections += 1
    verdict = verdicts.verdict_of_failure(
        event.kind, any_byte_sent=event.any_byte_sent
    )
    call.verdict = max(call.verdict, verdict)
    emitted.append(
        effects.LogEvent(
            "attempt.failed",
            call.request_id,
            (
                ("attempt", attempt.number),
                ("target", attempt.target),
                ("kind", event.kind.value),
                ("kept_connection", event.kept_connection),
                ("verdict", verdict.name.lower()),
                ("seconds", round(now - attempt.started, 4)),
            ),
        )
    )
    if call.attempts or call.dispatch_number is not None:
        return emitted
    if may_retry(now, call):
        return [*emitted, *requester.request_dispatch(state, now, call)]
    refusal = refusals.target_failed(call)
    return [*emitted, *lifecycle.give_up(state, now, call, refusal)]


def _ending_of_failure(
    event: events.AttemptFailed,
) -> dispatch_models.Ending:
    """Return what a failure says about its target.

    A reused connection may have been dropped by an intermediary, so its failure
    is neutral unless it is a timeout. A failure that this entry caused is
    neutral as well.
    """
    match event.kind:
        case outcome_models.FailureKind.CANCELLED:
            return dispatch_models.Ending.NEUTRAL
        case outcome_models.FailureKind.CONNECT:
            return dispatch_models.Ending.UNREACHABLE
        case outcome_models.FailureKind.UNSENT:
            return dispatch_models.Ending.NEUTRAL
        case _ if event.kept_connection and (
            event.kind is not outcome_models.FailureKind.TIMEOUT
        ):
            return dispatch_models.Ending.NEUTRAL
        case _:
            return dispatch_models.Ending.ERROR
