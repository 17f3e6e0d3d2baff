"""Starts calls and their attempts, and ends calls."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.calls import const
from agateshelf.core.calls import models
from agateshelf.core.calls import refusals
from agateshelf.core.claims import claiming
from agateshelf.core.claims import completions as claim_completions
from agateshelf.core.claims import refusals as claim_refusals
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.hedging import policy as hedging
from agateshelf.core.limits import admission
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import fingerprints
from agateshelf.core.poison import models as poison_models
from agateshelf.core.poison import refusals as poison_refusals
from agateshelf.core.poison import sends
from agateshelf.core.retries import budget
from agateshelf.core.routing import models as routing_models
from agateshelf.core.routing import placing
from agateshelf.core.stopping import admission as stop_admission


def on_request(
    state: core_state.State, now: float, event: events.RequestArrived
) -> list[effects.Effect]:
    """Create a call for a request and submit it for admission, or refuse it."""
    if state.cfg.version == 0:
        return [_refuse_early(event, refusals.not_ready())]
    service = configuration_models.find_service(state.cfg, event.path)
    if service is None:
        return [_refuse_early(event, refusals.no_service())]
    call = _create_call(service, now, event)
    state.calls.calls[call.number] = call
    timers.schedule(
        state.timers, call.deadline, events.DeadlinePassed(call.number)
    )
    refusal = poison_refusals.refusal_of(
        state, now, fingerprint_of(call), service.poison_crashes
    )
    if refusal is None and stop_admission.is_too_late(
        state, now, call.deadline
    ):
        refusal = refusals.stopping(call)
    if refusal is not None:
        return give_up(state, call, refusal)
    admission.admit(state, now, call)
    return []


def fingerprint_of(call: models.Call) -> bytes:
    """Return the digest by which repeats of a request are recognised."""
    path = fingerprints.normalize_path(call.path)
    parts = (call.service.name, call.caller, call.method, path)
    return fingerprints.fingerprint_of(parts, call.body_digest)


def on_crashes_changed(
    state: core_state.State, now: float, event: events.CrashesChanged
) -> list[effects.Effect]:
    """Refuse the waiting calls of a request that is withheld from now on."""
    emitted: list[effects.Effect] = []
    for call in list(state.calls.calls.values()):
        if call.attempts or fingerprint_of(call) != event.fingerprint:
            continue
        refusal = poison_refusals.refusal_of(
            state,
            now,
            event.fingerprint,
            call.service.poison_crashes,
            verdicts.outcome_of(call.verdict),
        )
        if refusal is not None:
            emitted.extend(give_up(state, call, refusal))
    return emitted


def on_admitted(
    state: core_state.State, now: float, event: events.CallAdmitted
) -> list[effects.Effect]:
    """Request the claim of an admitted call, if it needs one."""
    call = state.calls.calls.get(event.call)
    if call is None:
        return []
    return claiming.begin(state, now, call)


def on_ready(
    state: core_state.State, now: float, event: events.CallReady
) -> list[effects.Effect]:
    """Start the first attempt of a call that holds any claim it needs."""
    call = state.calls.calls.get(event.call)
    if call is None:
        return []
    return request_target(state, now, call)


def on_rejected(
    state: core_state.State, event: events.CallRejected
) -> list[effects.Effect]:
    """Refuse a call that another component rejected."""
    call = state.calls.calls.get(event.call)
    if call is None:
        return []
    count = effects.Count(f"refusals.{event.refusal.reason}")
    return [count, *give_up(state, call, event.refusal)]


def on_replayed(
    state: core_state.State, event: events.CallReplayed
) -> list[effects.Effect]:
    """Respond to a caller's retry with the recorded response."""
    call = state.calls.calls.get(event.call)
    if call is None:
        return []
    emitted: list[effects.Effect] = [effects.Replay(call.number, event.answer)]
    emitted.extend(end_call(state, call))
    return emitted


def _create_call(
    service: configuration_models.Service,
    now: float,
    event: events.RequestArrived,
) -> models.Call:
    timeout = service.timeout
    if event.timeout is not None:
        timeout = min(timeout, event.timeout)
    return models.Call(
        number=event.call,
        service=service,
        caller=event.caller,
        method=event.method,
        path=event.path,
        deadline=now + timeout,
        arrived=now,
        idempotent=_is_idempotent(service, event.method),
        idempotency_key=event.idempotency_key,
        no_retry=event.no_retry,
        body_digest=event.body_digest,
    )


def _is_idempotent(service: configuration_models.Service, method: str) -> bool:
    """Return whether a request may run more than once.

    Requests with an unknown method may not.
    """
    if method not in const.KNOWN_METHODS:
        return False
    return method not in service.non_idempotent


def request_target(
    state: core_state.State, now: float, call: models.Call
) -> list[effects.Effect]:
    """Request a target for the next attempt, or refuse the call."""
    remaining = call.deadline - now
    if remaining <= 0:
        return give_up(state, call, refusals.deadline_passed(call))
    if not claiming.may_start(state, now, call):
        return give_up(state, call, claim_refusals.claim_expired())
    request = routing_models.PlacementRequest(
        call=call.number,
        service=call.service.name,
        tried=frozenset(call.tried),
        idempotent=call.idempotent,
        hedge=False,
    )
    return placing.request_placement(state, now, request)


def on_target_chosen(
    state: core_state.State, now: float, event: events.TargetChosen
) -> list[effects.Effect]:
    """Start an attempt at the target chosen for a call."""
    call = state.calls.calls.get(event.call)
    if call is None or not _wants_target(state, call, event):
        _release_unused(state, event)
        return []
    if event.placement is None:
        return give_up(state, call, refusals.no_target(call))
    remaining = call.deadline - now
    if remaining <= 0:
        _release_unused(state, event)
        return give_up(state, call, refusals.deadline_passed(call))
    if not claiming.may_start(state, now, call):
        _release_unused(state, event)
        return give_up(state, call, claim_refusals.claim_expired())
    refusal = sends.start(
        state,
        now,
        _send_of(state, now, call, event.placement),
        verdicts.outcome_of(call.verdict, in_flight=bool(call.attempts)),
    )
    if refusal is not None:
        _release_unused(state, event)
        return [] if call.attempts else give_up(state, call, refusal)
    if event.hedge:
        budget.spend(state.retries, call.service)
    return [_launch(state, now, call, event.placement, remaining)]


def _send_of(
    state: core_state.State, now: float, call: models.Call, placement: int
) -> poison_models.Send:
    target = state.routing.placements[placement].view.target
    return poison_models.Send(
        attempt=state.calls.last_attempt + 1,
        request_id="",
        fingerprint=fingerprint_of(call),
        caller=call.caller,
        target=target.id,
        address=target.address,
        sent_at=now,
        crash_limit=call.service.poison_crashes,
        loss_is_crash=True,
    )


def _wants_target(
    state: core_state.State, call: models.Call, event: events.TargetChosen
) -> bool:
    if event.hedge:
        return event.placement is not None and hedging.may_start(state, call)
    return not call.attempts


def _release_unused(
    state: core_state.State, event: events.TargetChosen
) -> None:
    if event.placement is not None:
        neutral = routing_models.Ending.NEUTRAL
        unused = events.PlacementEnded(event.placement, neutral, False)
        state.pending_events.append(unused)


def _launch(
    state: core_state.State,
    now: float,
    call: models.Call,
    placement: int,
    remaining: float,
) -> effects.StartAttempt:
    target = state.routing.placements[placement].view.target
    state.calls.last_attempt += 1
    number = state.calls.last_attempt
    attempt = models.Attempt(number, call.number, target.id, now, placement)
    state.calls.attempts[number] = attempt
    call.attempts.add(number)
    call.tried.add(target.id)
    call.answer = None
    admission.on_attempt_started(state, call.number, target.id)
    hedging.on_started(state, now, call, number)
    return effects.StartAttempt(
        call=call.number,
        attempt=number,
        target=target.id,
        address=target.address,
        timeout=min(remaining, call.service.attempt_timeout),
        fresh=not call.idempotent,
        no_retry=call.no_retry or call.service.retry_share > 0,
        not_after=claiming.usable_until(state, call),
    )


def start_retry(
    state: core_state.State, now: float, call: models.Call
) -> list[effects.Effect]:
    """Start a retry and charge it to the retry budget."""
    budget.spend(state.retries, call.service)
    return [
        effects.Count("attempts.retries"),
        *request_target(state, now, call),
    ]


def end_attempt(
    state: core_state.State, number: int
) -> tuple[models.Call, models.Attempt] | None:
    """Remove an attempt; return it with its call if both still exist."""
    attempt = state.calls.attempts.pop(number, None)
    if attempt is None:
        return None
    state.pending_events.append(
        events.PlacementEnded(
            attempt.placement, attempt.ending, attempt.draining
        )
    )
    call = state.calls.calls.get(attempt.call)
    if call is None:
        return None
    call.attempts.discard(number)
    admission.on_attempt_ended(state, call.number, attempt.target)
    return call, attempt


def give_up(
    state: core_state.State,
    call: models.Call,
    refusal: outcome_models.Refusal,
) -> list[effects.Effect]:
    """Refuse a call at once and cancel its attempts."""
    emitted: list[effects.Effect] = []
    emitted.extend(cancel_attempts(state, call))
    reported = claiming.refusal_for_key(state, call, refusal)
    emitted.append(effects.Refuse(call.number, reported))
    emitted.extend(end_call(state, call))
    return emitted


def cancel_attempts(
    state: core_state.State, call: models.Call
) -> list[effects.Effect]:
    """Cancel a call's attempts, any of which may have run the request."""
    emitted: list[effects.Effect] = []
    for number in sorted(call.attempts):
        end_attempt(state, number)
        call.verdict = max(call.verdict, outcome_models.Verdict.MAY_HAVE_RUN)
        state.pending_events.append(events.AttemptAbandoned(number))
        emitted.append(effects.CancelAttempt(number))
    return emitted


def end_call(
    state: core_state.State, call: models.Call
) -> list[effects.Effect]:
    """Remove a call that has its final response or whose caller left."""
    del state.calls.calls[call.number]
    claiming.post_end(state, call)
    admission.on_call_ended(state, call.number)
    return exit_if_idle(state)


def exit_if_idle(state: core_state.State) -> list[effects.Effect]:
    """Exit if the entry is stopping and has no calls or unsettled claims."""
    if not state.stopping or state.calls.calls:
        return []
    if not claim_completions.is_settled(state):
        return []
    return [effects.Exit()]


def on_deadline(
    state: core_state.State, event: events.DeadlinePassed
) -> list[effects.Effect]:
    """Refuse a call whose deadline has passed, unless it is streaming."""
    call = state.calls.calls.get(event.call)
    if call is None or _is_streaming(state, call):
        return []
    return give_up(state, call, refusals.deadline_passed(call))


def _is_streaming(state: core_state.State, call: models.Call) -> bool:
    return any(state.calls.attempts[n].streaming for n in call.attempts)


def on_stop_deadline(state: core_state.State) -> list[effects.Effect]:
    """Refuse all remaining calls, as the process is about to exit."""
    emitted: list[effects.Effect] = []
    for call in list(state.calls.calls.values()):
        emitted.extend(give_up(state, call, refusals.stopping(call)))
    return emitted


def on_caller_disconnected(
    state: core_state.State, event: events.CallerDisconnected
) -> list[effects.Effect]:
    """Cancel a call whose caller has disconnected."""
    call = state.calls.calls.get(event.call)
    if call is None:
        return []
    emitted = cancel_attempts(state, call)
    emitted.extend(end_call(state, call))
    return emitted


def _refuse_early(
    event: events.RequestArrived, refusal: outcome_models.Refusal
) -> effects.Refuse:
    """Refuse a request for which no call was created.

    Its idempotency key was not looked up, so the outcome of an earlier request
    with the same key is unknown.
    """
    if event.idempotency_key is not None:
        refusal = claim_refusals.with_unknown_outcome(refusal)
    return effects.Refuse(event.call, refusal)
