"""The beginning of a call, its attempts, and giving it up."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import client
from agateshelf.core.dispatch import messages as dispatch_messages
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import owners
from agateshelf.core.forwarding import crashes
from agateshelf.core.forwarding import models
from agateshelf.core.forwarding import refusals
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import matching
from agateshelf.core.routes import models as route_models
from agateshelf.core.routes import splitting

Effects = list[effects.Effect]


def on_request(
    state: core_state.State, now: float, event: events.RequestArrived
) -> Effects:
    """Take a call in, or refuse it with a truthful word."""
    if state.routes.table is None:
        return _refuse_early(state, event, refusals.not_ready())
    route = matching.find(state.routes, event.host, event.path)
    if route is None:
        return _refuse_early(state, event, refusals.no_route())
    fingerprint = crashes.fingerprint_of(event)
    poisonous = crashes.refusal_of(state, now, fingerprint)
    if poisonous is not None:
        return _refuse_early(state, event, poisonous)
    call = _create_call(state, now, event, route, fingerprint)
    state.forwarding.calls[call.number] = call
    timers.schedule(
        state.timers, call.deadline, events.DeadlinePassed(call.number)
    )
    return client.request_target(state, now, call)


def _refuse_early(
    state: core_state.State,
    event: events.RequestArrived,
    refusal: outcome_models.Refusal,
) -> Effects:
    table = state.routes.table
    version = 0 if table is None else table.version
    return [
        effects.Refuse(event.call, refusal),
        _note_refused(event.request_id, refusal, ("routes_version", version)),
    ]


def _note_refused(
    request_id: str,
    refusal: outcome_models.Refusal,
    *inputs: tuple[str, str | float],
) -> effects.Note:
    """Return the log line of a final word, with what decided it."""
    return effects.Note(
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


def _create_call(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    route: route_models.Route,
    fingerprint: bytes,
) -> models.Call:
    patience = event.timeout or route.timeout
    return models.Call(
        number=event.call,
        request_id=event.request_id,
        route=route,
        service=splitting.pick_service(state.routes, route, state.rng),
        fingerprint=fingerprint,
        arrived=now,
        aim_at=now + _aim(state.routes, route, patience),
        deadline=now + min(patience, route.timeout),
    )


def _aim(
    routes: route_models.RoutesState,
    route: route_models.Route,
    patience: float,
) -> float:
    """Return the seconds within which an answer is of full use.

    A caller that comes again waits less than it did at first; what it has
    waited before counts.
    """
    longest = max(routes.patience.get(route.name, 0.0), patience)
    routes.patience[route.name] = longest
    return route.target_latency - (longest - patience)


def on_turn(
    state: core_state.State, now: float, event: events.TurnDecided
) -> Effects:
    """Start an attempt at the target that was granted, or give the call up."""
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return _leave(state, event, dispatch_models.Ending.NEUTRAL)
    is_second = event.question < 0
    if not is_second:
        call.question = None
    if event.target is None:
        return _on_not_placed(state, now, call, event)
    registration = state.directory.targets.get(event.target)
    if registration is None or registration.draining:
        done = _leave(state, event, dispatch_models.Ending.MISPLACED)
        if is_second:
            return done
        return [*done, *client.request_target(state, now, call)]
    state.forwarding.last_attempt += 1
    attempt = models.Attempt(
        number=state.forwarding.last_attempt,
        call=call.number,
        target=event.target,
        started=now,
        home=event.home,
        question=event.question,
    )
    state.forwarding.attempts[attempt.number] = attempt
    call.attempts.add(attempt.number)
    call.tried.add(event.target)
    call.sends += 1
    return [
        effects.StartAttempt(
            call=call.number,
            attempt=attempt.number,
            target=event.target,
            address=registration.address,
            timeout=call.deadline - now,
            fresh=not call.route.idempotent,
            no_retry=False,
        ),
        effects.Note(
            "attempt.started",
            call.request_id,
            (
                ("attempt", attempt.number),
                ("service", call.service),
                ("target", event.target),
                ("home", event.home),
                ("send", call.sends),
                ("waited_ms", _milliseconds(now - call.arrived)),
                ("aim_left_ms", _milliseconds(call.aim_at - now)),
                *event.basis,
                ("registration_revision", registration.revision),
            ),
        ),
    ]


def _milliseconds(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _leave(
    state: core_state.State,
    event: events.TurnDecided,
    ending: dispatch_models.Ending,
) -> Effects:
    if event.target is None:
        return []
    unused = dispatch_messages.DispatchEnded(event.question, ending)
    return owners.send(state, event.home, unused)


def _on_not_placed(
    state: core_state.State,
    now: float,
    call: models.Call,
    event: events.TurnDecided,
) -> Effects:
    if call.attempts:
        return []
    refusal = refusals.not_placed(call, event.why, event.retry_after)
    return give_up(state, now, call, refusal, event.basis)


def end_attempt(
    state: core_state.State,
    now: float,
    number: int,
    ending: dispatch_models.Ending,
) -> tuple[models.Call, models.Attempt, Effects] | None:
    """Forget an attempt and tell its home how it went."""
    attempt = state.forwarding.attempts.pop(number, None)
    if attempt is None:
        return None
    call = state.forwarding.calls[attempt.call]
    call.attempts.discard(number)
    word = dispatch_messages.DispatchEnded(
        number=attempt.question,
        ending=ending,
        seconds=now - attempt.started,
        running=attempt.running,
        queued=attempt.queued,
        slowness=attempt.slowness,
    )
    return call, attempt, owners.send(state, attempt.home, word)


def give_up(
    state: core_state.State,
    now: float,
    call: models.Call,
    refusal: outcome_models.Refusal,
    basis: tuple[tuple[str, float], ...] = (),
) -> Effects:
    """Give the call its final word at once and cancel what is in flight.

    Args:
        state: State of the entry.
        now: The time.
        call: The call.
        refusal: The word.
        basis: What decided it, for the log.
    """
    return [
        *cancel_attempts(state, now, call),
        effects.Refuse(call.number, refusal),
        _note_refused(
            call.request_id,
            refusal,
            ("sends", call.sends),
            ("verdict", call.verdict.name.lower()),
            ("after_ms", _milliseconds(now - call.arrived)),
            *basis,
        ),
        *end_call(state, call),
    ]


def cancel_attempts(
    state: core_state.State, now: float, call: models.Call
) -> Effects:
    """Cancel the call's attempts; each may have run what it was sent."""
    done: Effects = []
    for number in sorted(call.attempts):
        ended = end_attempt(state, now, number, dispatch_models.Ending.NEUTRAL)
        call.verdict = max(call.verdict, outcome_models.Verdict.MAY_HAVE_RUN)
        done.append(effects.CancelAttempt(number))
        if ended is not None:
            done.extend(ended[2])
    return done


def end_call(state: core_state.State, call: models.Call) -> Effects:
    """Forget a call that has had its final word."""
    del state.forwarding.calls[call.number]
    done = client.cancel_request(state, call.question)
    return [*done, *exit_if_idle(state)]


def exit_if_idle(state: core_state.State) -> Effects:
    """Return the exit once a stopping entry owes nothing to anyone."""
    if not state.stopping or state.forwarding.calls:
        return []
    return [effects.Exit()]


def on_deadline(
    state: core_state.State, now: float, event: events.DeadlinePassed
) -> Effects:
    """Give up a call whose time is over."""
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return []
    if call.attempts & state.forwarding.streaming:
        return []
    return give_up(state, now, call, refusals.deadline_passed(call))


def on_stop_deadline(state: core_state.State, now: float) -> Effects:
    """Give up every call left: the process ends now."""
    done: Effects = []
    for call in list(state.forwarding.calls.values()):
        done.extend(give_up(state, now, call, refusals.stopping(call)))
    return done


def on_caller_left(
    state: core_state.State, now: float, event: events.CallerLeft
) -> Effects:
    """Cancel a call whose caller is gone."""
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return []
    return [
        *cancel_attempts(state, now, call),
        effects.Note(
            "call.left",
            call.request_id,
            (("after_ms", _milliseconds(now - call.arrived)),),
        ),
        *end_call(state, call),
    ]
