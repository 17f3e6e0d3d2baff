"""Completion of attempts: deliver the answer, retry, or refuse the call.

A request is sent again only if that can't run it twice, and a refusal tells
the caller whether the request may have run.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import idle_connections
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import requester
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import finishing
from agateshelf.core.forwarding import models
from agateshelf.core.forwarding import refusals
from agateshelf.core.forwarding import sending
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import sends
from agateshelf.core.reach import const as reach_const
from agateshelf.core.reach import detection
from agateshelf.core.reach import relays
from agateshelf.core.regions import lookup as regions
from agateshelf.core.stopping import admission as stop_admission
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import spreading
from agateshelf.core.workspaces import checking as workspace_checks

Effects = list[effects.Effect]
Verdict = outcome_models.Verdict

# Ends of attempts that a lost link of this entry may have caused.
_DOUBTFUL_KINDS = frozenset(
    {
        outcome_models.FailureKind.CONNECT,
        outcome_models.FailureKind.WRITE_CUT,
        outcome_models.FailureKind.RESET,
    }
)
# Ends of attempts of which nothing was sent for want of a way to the target.
_REROUTED_KINDS = frozenset(
    {
        outcome_models.FailureKind.CONNECT,
        outcome_models.FailureKind.CANCELLED,
        outcome_models.FailureKind.RELAY,
    }
)


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
    if not attempt.relay:
        emitted.extend(detection.on_answered(state, now, call.service, attempt))
        idle_connections.on_answer(
            state, now, attempt.target, event.idle_connections
        )
    if event.streaming:
        return [*emitted, *_deliver_stream(state, now, call, attempt)]
    ending = _ending_of(event)
    ended = finishing.end_attempt(state, now, event.attempt, ending)
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
    if call.relayed_for:
        return [*emitted, *_deliver(state, now, call, event.attempt)]
    if event.not_run:
        return [*emitted, *_on_not_run(state, now, call)]
    failed = event.status >= const.FIRST_SERVER_ERROR
    if failed and call.attempts:
        return emitted
    if failed and may_retry(now, call):
        return [*emitted, *requester.request_dispatch(state, now, call)]
    if event.status in const.NOT_RUN_STATUSES:
        refusal = refusals.target_failed(call)
        return [*emitted, *finishing.give_up(state, now, call, refusal)]
    return [*emitted, *_deliver(state, now, call, event.attempt)]


def _deliver(
    state: core_state.State, now: float, call: models.Call, attempt: int
) -> Effects:
    """Deliver an answer, and cancel the other attempts."""
    for number in call.attempts:
        sends.forget(state, number)
    return [
        *finishing.cancel_attempts(state, now, call, models.EndCause.ANSWERED),
        effects.DeliverAnswer(call.number, attempt),
        *finishing.end_call(state, call),
    ]


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
            ("kept_connection", event.kept_connection),
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
    return finishing.give_up(
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
        and not evacuation.is_evacuated(state, target)
        and not state.directory.targets[target].draining
    ]
    return max(0.0, min(ends, default=now) - now)


def may_retry(now: float, call: models.Call) -> bool:
    """Return whether a retry can't run the request twice and is worthwhile."""
    if call.dispatch_number is not None or call.attempts or call.relayed_for:
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
        emitted.append(
            finishing.ended_event(
                state, now, call, number, models.EndCause.ANSWERED
            )
        )
        ended = finishing.end_attempt(
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
    ended = finishing.end_attempt(state, now, event.attempt, ending)
    if ended is None:
        return crash_effects
    call, _, emitted = ended
    return [*crash_effects, *emitted, *finishing.end_call(state, call)]


def on_failure(
    state: core_state.State, now: float, event: events.AttemptFailed
) -> Effects:
    """Record a failed attempt; retry only if that can't run it twice."""
    attempt = state.forwarding.attempts.get(event.attempt)
    if attempt is not None:
        reach_effects = _record_reach(state, now, attempt, event)
        rerouted = _reroute(state, now, attempt, event)
        if rerouted is not None:
            return [*reach_effects, *rerouted]
        return [*reach_effects, *_end_failed(state, now, event)]
    return []


def _record_reach(
    state: core_state.State,
    now: float,
    attempt: models.Attempt,
    event: events.AttemptFailed,
) -> Effects:
    """Record what a failure says of this entry's links and of relays."""
    if event.kind is outcome_models.FailureKind.RELAY:
        relays.avoid(state, now, attempt.relay)
    if event.kind not in _DOUBTFUL_KINDS or attempt.relay:
        return []
    service = state.forwarding.calls[attempt.call].service
    return detection.on_unreached(state, now, service, attempt.target)


def _reroute(
    state: core_state.State,
    now: float,
    attempt: models.Attempt,
    event: events.AttemptFailed,
) -> Effects | None:
    """Have an attempt relayed of which nothing was sent, under its grant.

    Returns:
        None if that isn't possible, so that the attempt has failed.
    """
    call = state.forwarding.calls[attempt.call]
    registration = state.directory.targets.get(attempt.target)
    is_unsent = event.kind in _REROUTED_KINDS and not event.any_byte_sent
    if not is_unsent or call.relayed_for or registration is None:
        return None
    if evacuation.is_evacuated(state, attempt.target):
        return None
    if attempt.relay and event.kind is outcome_models.FailureKind.CONNECT:
        # The relay doesn't reach the target either, so the target is down.
        return None
    if len(attempt.relays_tried) >= reach_const.MAX_RELAYS_TRIED:
        return None
    if call.deadline - now < const.MIN_ATTEMPT_SECONDS:
        return None
    if sending.is_too_late(state, now, call):
        return None
    if workspace_checks.check_send(state, now, call) is not None:
        return None
    if not regions.allows(state, registration.failure_domain, call.regions):
        return None
    relay = relays.choose(
        state, now, call.service, attempt.relays_tried, call.regions
    )
    if relay is None:
        return None
    emitted = sends.on_failed(state, now, event)
    del state.forwarding.attempts[attempt.number]
    call.attempts.discard(attempt.number)
    if attempt.relay:
        relays.on_ended(state, attempt.relay)
    state.forwarding.last_attempt += 1
    attempt.number = state.forwarding.last_attempt
    sending.use_relay(state, attempt, relay)
    state.forwarding.attempts[attempt.number] = attempt
    call.attempts.add(attempt.number)
    details = (
        ("attempt", attempt.number),
        ("target", attempt.target),
        ("relay", relay),
        ("after", event.kind.value),
    )
    return [
        *emitted,
        effects.LogEvent("attempt.rerouted", call.request_id, details),
        sending.start_effect(state, now, call, attempt, registration),
    ]


def on_targets_changed(
    state: core_state.State, event: events.TargetsChanged
) -> Effects:
    """Take back the requests to leaving targets of which no byte was sent.

    A connection may take a second to open, which the time within which a
    target must get no more requests doesn't leave.
    """
    used = {attempt.target for attempt in state.forwarding.attempts.values()}
    known = state.directory.targets
    return [
        effects.AbortUnsentAttempts(target)
        for target in event.targets
        if target in used and (target not in known or known[target].draining)
    ]


def on_reach_judged(
    state: core_state.State, now: float, event: events.ReachJudged
) -> Effects:
    """Move the attempts on that a cut leaves without an answer.

    Those of which nothing was sent are cancelled, and then relayed. Idempotent
    requests are tried again, unless this entry stops and may refuse them then.
    The answer to any other may still come.
    """
    if not event.is_cut:
        return []
    if relays.choose(state, now, event.service, set()) is None:
        return []
    emitted: Effects = []
    for attempt in list(state.forwarding.attempts.values()):
        call = state.forwarding.calls[attempt.call]
        if attempt.relay or call.service != event.service:
            continue
        if not _has_relay(state, now, call):
            continue
        emitted.append(effects.AbortUnsentAttempts(attempt.target))
        if not call.route.idempotent or call.attempts != {attempt.number}:
            continue
        if stop_admission.may_outlast(state, call.deadline):
            continue
        if attempt.number in state.forwarding.streaming or call.relayed_for:
            continue
        emitted.extend(_retry_elsewhere(state, now, call))
    return emitted


def _has_relay(state: core_state.State, now: float, call: models.Call) -> bool:
    if not call.regions:
        return True
    relay = relays.choose(state, now, call.service, set(), call.regions)
    return relay is not None


def _retry_elsewhere(
    state: core_state.State, now: float, call: models.Call
) -> Effects:
    """Cancel the attempts of a call and try again, if it may be retried."""
    attempts = set(call.attempts)
    call.attempts.clear()
    is_allowed = may_retry(now, call)
    call.attempts |= attempts
    if not is_allowed:
        return []
    return [
        *finishing.cancel_attempts(state, now, call, models.EndCause.MOVED),
        *requester.request_dispatch(state, now, call),
    ]


def _end_failed(
    state: core_state.State, now: float, event: events.AttemptFailed
) -> Effects:
    ended = finishing.end_attempt(
        state, now, event.attempt, _ending_of_failure(event)
    )
    if ended is None:
        return []
    call, attempt, emitted = ended
    emitted.extend(sends.on_failed(state, now, event))
    if not event.any_byte_sent and evacuation.is_evacuated(
        state, attempt.target
    ):
        # Taken back: it counts as if it had never been granted.
        call.attempt_count -= 1
        call.tried.discard(attempt.target)
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
    return [*emitted, *finishing.give_up(state, now, call, refusal)]


def _ending_of_failure(
    event: events.AttemptFailed,
) -> dispatch_models.Ending:
    """Return what a failure says about its target.

    A reused connection may have been dropped by an intermediary, so its failure
    is neutral unless it is a timeout. A failure that this entry caused is
    neutral as well.
    """
    match event.kind:
        case (
            outcome_models.FailureKind.CANCELLED
            | outcome_models.FailureKind.RELAY
        ):
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
