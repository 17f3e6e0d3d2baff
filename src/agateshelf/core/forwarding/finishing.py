"""Ends calls and their attempts: refusals, cancellations and removal."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import messages as dispatch_messages
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import requester
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import models
from agateshelf.core.forwarding import refusals
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import refusals as poison_refusals
from agateshelf.core.reach import relays
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.workspaces import checking as workspace_checks

Effects = list[effects.Effect]


def end_attempt(
    state: core_state.State,
    now: float,
    number: int,
    ending: dispatch_models.Ending,
) -> tuple[models.Call, models.Attempt, Effects] | None:
    """Remove an attempt and report its result to the owner that granted it."""
    attempt = state.forwarding.attempts.pop(number, None)
    if attempt is None:
        return None
    call = state.forwarding.calls[attempt.call]
    call.attempts.discard(number)
    if attempt.relay:
        relays.on_ended(state, attempt.relay)
    if call.relayed_for:
        return call, attempt, []
    ended = dispatch_messages.DispatchEnded(
        number=attempt.dispatch_number,
        ending=ending,
        seconds=now - attempt.started,
        running=attempt.running,
        queued=attempt.queued,
        slowness=attempt.slowness,
        notice=attempt.notice,
    )
    return call, attempt, owners.send(state, attempt.owner, ended)


def give_up(
    state: core_state.State,
    now: float,
    call: models.Call,
    refusal: outcome_models.Refusal,
    log_details: tuple[tuple[str, float], ...] = (),
    cause: models.EndCause = models.EndCause.REFUSED,
) -> Effects:
    """Refuse the call at once and cancel its attempts in flight.

    Args:
        state: State of the entry.
        now: Current time of the loop, in seconds.
        call: The call.
        refusal: The refusal that the caller gets.
        log_details: Inputs of the decision, for the log.
        cause: Why its attempts end.
    """
    return [
        *cancel_attempts(state, now, call, cause),
        effects.Refuse(call.number, refusal),
        refusal_event(
            call.request_id,
            refusal,
            ("sends", call.attempt_count),
            ("verdict", call.verdict.name.lower()),
            ("after_ms", to_milliseconds(now - call.arrived)),
            *log_details,
        ),
        *end_call(state, call),
    ]


def cancel_attempts(
    state: core_state.State,
    now: float,
    call: models.Call,
    cause: models.EndCause,
) -> Effects:
    """Cancel the call's attempts; each may have run the request."""
    emitted: Effects = []
    for number in sorted(call.attempts):
        emitted.append(ended_event(state, now, call, number, cause))
        ended = end_attempt(state, now, number, dispatch_models.Ending.NEUTRAL)
        call.verdict = max(call.verdict, outcome_models.Verdict.MAY_HAVE_RUN)
        emitted.append(effects.CancelAttempt(number))
        state.pending_events.append(events.AttemptAbandoned(number))
        if ended is not None:
            emitted.extend(ended[2])
    return emitted


def ended_event(
    state: core_state.State,
    now: float,
    call: models.Call,
    number: int,
    cause: models.EndCause,
) -> effects.LogEvent:
    """Return the log event of an attempt that this entry ends."""
    attempt = state.forwarding.attempts[number]
    details: list[tuple[str, str | float]] = [
        ("attempt", number),
        ("target", attempt.target),
        ("cause", cause.value),
        ("seconds", round(now - attempt.started, 4)),
        ("idempotent", call.route.idempotent),
        ("timeout_ms", to_milliseconds(call.deadline - call.arrived)),
        ("left_ms", to_milliseconds(call.deadline - now)),
    ]
    if state.stopping:
        left = state.stop.ends_at - now
        details.append(("stop_left_ms", to_milliseconds(left)))
    return effects.LogEvent("attempt.ended", call.request_id, tuple(details))


def release_grant(
    state: core_state.State,
    event: events.DispatchDecided,
    ending: dispatch_models.Ending,
    notice: notice_models.Notice | None = None,
) -> Effects:
    """Return a grant unused to the owner."""
    if event.target is None:
        return []
    unused = dispatch_messages.DispatchEnded(
        event.dispatch_number, ending, notice=notice
    )
    return owners.send(state, event.owner, unused)


def end_call(state: core_state.State, call: models.Call) -> Effects:
    """Remove a call whose response is decided."""
    del state.forwarding.calls[call.number]
    if call.relayed_for:
        state.reach.relayed -= 1
    emitted = requester.cancel_request(state, call.dispatch_number)
    if call.held_grant is not None:
        ending = dispatch_models.Ending.NEUTRAL
        emitted.extend(release_grant(state, call.held_grant, ending))
    return [*emitted, *exit_if_idle(state)]


def exit_if_idle(state: core_state.State) -> Effects:
    """Return the exit effect once a stopping entry has no calls left."""
    has_calls = bool(state.forwarding.calls or state.confirmation.held)
    if not state.stopping or has_calls:
        return []
    return [effects.Exit()]


def on_deadline(
    state: core_state.State, now: float, event: events.DeadlinePassed
) -> Effects:
    """Refuse a call whose deadline passed, unless its answer streams."""
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return []
    if call.attempts & state.forwarding.streaming:
        return []
    refusal = refusals.deadline_passed(call)
    return give_up(state, now, call, refusal, cause=models.EndCause.DEADLINE)


def on_stop_deadline(state: core_state.State, now: float) -> Effects:
    """Refuse all remaining calls: the process is about to exit.

    Answers that are being streamed go on until it does.
    """
    emitted: Effects = []
    for call in list(state.forwarding.calls.values()):
        if call.attempts & state.forwarding.streaming:
            continue
        refusal = refusals.stopping(call)
        emitted.extend(
            give_up(state, now, call, refusal, cause=models.EndCause.STOP)
        )
    return emitted


def on_caller_disconnected(
    state: core_state.State, now: float, event: events.CallerDisconnected
) -> Effects:
    """Cancel a call whose caller has disconnected."""
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return []
    return [
        *cancel_attempts(state, now, call, models.EndCause.CALLER_LEFT),
        effects.LogEvent(
            "call.left",
            call.request_id,
            (("after_ms", to_milliseconds(now - call.arrived)),),
        ),
        *end_call(state, call),
    ]


def on_crashes_changed(
    state: core_state.State, now: float, event: events.CrashesChanged
) -> Effects:
    """Refuse the waiting calls of a request that is withheld from now on."""
    emitted: Effects = []
    for call in list(state.forwarding.calls.values()):
        if call.fingerprint != event.fingerprint or call.attempts:
            continue
        outcome = verdicts.outcome_of(call.verdict)
        refusal = poison_refusals.refusal_of(
            state, now, call.fingerprint, const.POISON_CRASHES, outcome
        )
        if refusal is not None:
            emitted.extend(give_up(state, now, call, refusal))
    return emitted


def on_routes_adopted(state: core_state.State, now: float) -> Effects:
    """Refuse the waiting calls whose key was withdrawn."""
    emitted: Effects = []
    for call in list(state.forwarding.calls.values()):
        if call.attempts or not workspace_checks.is_withdrawn(state, call):
            continue
        refusal = workspace_checks.check_send(state, now, call)
        if refusal is not None:
            emitted.extend(give_up(state, now, call, refusal))
    return emitted


def refusal_event(
    request_id: str,
    refusal: outcome_models.Refusal,
    *inputs: tuple[str, str | float],
) -> effects.LogEvent:
    """Return the log event of a refusal, with the inputs of the decision."""
    return effects.LogEvent(
        "call.refused",
        request_id,
        (
            ("reason", refusal.reason),
            ("status", refusal.status),
            ("outcome", refusal.outcome.value),
            ("retry_after", round(refusal.retry_after or 0.0, 2)),
            *inputs,
        ),
    )


def to_milliseconds(seconds: float) -> float:
    """Return seconds as milliseconds, rounded for the log."""
    return round(seconds * 1000, 1)
