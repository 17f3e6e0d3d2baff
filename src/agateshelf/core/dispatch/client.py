"""Requesting side of dispatch: gets a target for a call from the owner.

Tolerates owners that crash, freeze or are partitioned away: an entry waits for
a reply only briefly (`const.REPLY_TIMEOUT_SECONDS`), then asks the next owner,
and finally dispatches the request itself.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.peers import models as peer_models

Effects = list[effects.Effect]


def request_target(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> Effects:
    """Request a target for a call.

    The result arrives as a `DispatchDecided` event.
    """
    dispatch = state.dispatch
    dispatch.last_request += 1
    home = owners.select_owner(state, now, call.service, set())
    question = models.PendingRequest(
        dispatch.last_request, call.number, call.service, home, {home}
    )
    dispatch.pending_requests[question.number] = question
    call.dispatch_number = question.number
    return _send(state, now, question, call)


def _send(
    state: core_state.State,
    now: float,
    question: models.PendingRequest,
    call: forwarding_models.Call,
) -> Effects:
    question.round += 1
    question.queued = False
    if question.owner != state.identity.entry:
        due = models.PendingRequestDue(question.number, question.round)
        timers.schedule(state.timers, now + const.REPLY_TIMEOUT_SECONDS, due)
    asked = messages.DispatchRequest(
        number=question.number,
        service=call.service,
        route=call.route.name,
        priority=call.route.priority,
        idempotent=call.route.idempotent,
        work=call.route.target_latency * const.INITIAL_WORK_SHARE,
        soft_timeout=call.soft_deadline - now,
        timeout=call.deadline - now,
        tried=tuple(sorted(call.tried)),
    )
    return owners.send(state, question.owner, asked)


def on_due(
    state: core_state.State, now: float, event: models.PendingRequestDue
) -> Effects:
    """Check on a queued request, or fail over from an owner that is silent."""
    question = state.dispatch.pending_requests.get(event.number)
    if question is None or question.round != event.round:
        return []
    call = state.forwarding.calls.get(question.call)
    if call is None:
        del state.dispatch.pending_requests[event.number]
        return []
    if question.queued:
        return _send(state, now, question, call)
    return _on_silence(state, now, question, call)


def _on_silence(
    state: core_state.State,
    now: float,
    question: models.PendingRequest,
    call: forwarding_models.Call,
) -> Effects:
    silent = question.owner
    state.dispatch.suspected[silent] = now + const.SUSPICION_SECONDS
    done: Effects = [
        effects.DisconnectPeer(silent),
        effects.LogEvent(
            "home.silent",
            call.request_id,
            (("service", call.service), ("home", silent)),
        ),
    ]
    if len(question.tried_owners) >= const.MAX_OWNERS_TRIED:
        question.owner = state.identity.entry
    else:
        question.owner = owners.select_owner(
            state, now, question.service, question.tried_owners
        )
    question.tried_owners.add(question.owner)
    done.extend(_send(state, now, question, call))
    return done


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a reply of an owner; return None for any other message."""
    match message:
        case messages.DispatchQueued():
            return _on_waits(state, now, peer, message)
        case messages.DispatchGranted():
            return _on_given(state, peer, message)
        case messages.DispatchRefused():
            return _on_refused(state, peer, message)
        case _:
            return None


def _on_waits(
    state: core_state.State,
    now: float,
    peer: str,
    word: messages.DispatchQueued,
) -> Effects:
    question = state.dispatch.pending_requests.get(word.number)
    if question is None or question.owner != peer:
        return []
    question.queued = True
    question.round += 1
    if peer == state.identity.entry:
        return []
    due = models.PendingRequestDue(question.number, question.round)
    timers.schedule(state.timers, now + const.QUEUED_RECHECK_SECONDS, due)
    return []


def _on_given(
    state: core_state.State, peer: str, word: messages.DispatchGranted
) -> Effects:
    if word.number < 0:
        return _on_second(state, peer, word)
    question = state.dispatch.pending_requests.get(word.number)
    if question is None or question.owner != peer:
        unused = messages.DispatchEnded(word.number, models.Ending.NEUTRAL)
        return owners.send(state, peer, unused)
    del state.dispatch.pending_requests[word.number]
    decided = events.DispatchDecided(
        question.call,
        question.number,
        peer,
        word.target,
        log_details=_basis_of(word),
    )
    state.pending_events.append(decided)
    return []


def _on_second(
    state: core_state.State, peer: str, word: messages.DispatchGranted
) -> Effects:
    """Start a hedge, if the first attempt is still the only one in flight."""
    for attempt in state.forwarding.attempts.values():
        if attempt.dispatch_number != -word.number or attempt.owner != peer:
            continue
        call = state.forwarding.calls[attempt.call]
        if call.attempts != {attempt.number} or not _may_hedge(call):
            break
        state.pending_events.append(
            events.DispatchDecided(
                call.number,
                word.number,
                peer,
                word.target,
                log_details=_basis_of(word),
            )
        )
        return []
    unused = messages.DispatchEnded(word.number, models.Ending.NEUTRAL)
    return owners.send(state, peer, unused)


def _may_hedge(call: forwarding_models.Call) -> bool:
    return (
        call.route.idempotent and call.attempt_count < call.route.max_attempts
    )


def _basis_of(word: messages.DispatchGranted) -> tuple[tuple[str, float], ...]:
    return (
        ("expected_ms", round(word.expected_seconds * 1000, 1)),
        ("speed", round(word.speed, 2)),
        ("speed_age_ms", round(word.speed_age * 1000, 1)),
        ("held", word.held),
    )


def _on_refused(
    state: core_state.State, peer: str, word: messages.DispatchRefused
) -> Effects:
    question = state.dispatch.pending_requests.get(word.number)
    if question is None or question.owner != peer:
        return []
    del state.dispatch.pending_requests[word.number]
    decided = events.DispatchDecided(
        question.call,
        question.number,
        peer,
        None,
        models.Refusal(word.reason),
        word.retry_after,
        log_details=(
            ("waiting", word.waiting),
            ("usable_targets", word.usable_targets),
        ),
    )
    state.pending_events.append(decided)
    return []


def cancel_request(state: core_state.State, question: int | None) -> Effects:
    """Cancel the pending request of a call that has ended."""
    if question is None:
        return []
    asked = state.dispatch.pending_requests.pop(question, None)
    if asked is None:
        return []
    unwanted = messages.DispatchEnded(question, models.Ending.NEUTRAL)
    return owners.send(state, asked.owner, unwanted)
