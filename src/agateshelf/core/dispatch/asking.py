"""The asking side: get a target for a call from the home of its service.

Answers homes that die, freeze or are cut off: an entry waits only moments for
a word, then asks the next home, and at last places the request by itself.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import homes
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.peers import models as peer_models

Effects = list[effects.Effect]


def ask(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> Effects:
    """Ask for a target; `DispatchDecided` follows."""
    dispatch = state.dispatch
    dispatch.last_question += 1
    home = homes.pick(state, now, call.service, set())
    question = models.Question(
        dispatch.last_question, call.number, call.service, home, {home}
    )
    dispatch.questions[question.number] = question
    call.dispatch_number = question.number
    return _send(state, now, question, call)


def _send(
    state: core_state.State,
    now: float,
    question: models.Question,
    call: forwarding_models.Call,
) -> Effects:
    question.round += 1
    question.waits = False
    if question.home != state.identity.entry:
        due = models.QuestionDue(question.number, question.round)
        timers.schedule(state.timers, now + const.ANSWER_SECONDS, due)
    asked = messages.TurnAsked(
        ask=question.number,
        service=call.service,
        route=call.route.name,
        priority=call.route.priority,
        idempotent=call.route.idempotent,
        work=call.route.target_latency * const.FIRST_WORK_SHARE,
        aim=call.soft_deadline - now,
        give_up=call.deadline - now,
        tried=tuple(sorted(call.tried)),
    )
    return homes.tell(state, question.home, asked)


def on_due(
    state: core_state.State, now: float, event: models.QuestionDue
) -> Effects:
    """Ask whether the home still knows, or another if it keeps silent."""
    question = state.dispatch.questions.get(event.number)
    if question is None or question.round != event.round:
        return []
    call = state.forwarding.calls.get(question.call)
    if call is None:
        del state.dispatch.questions[event.number]
        return []
    if question.waits:
        return _send(state, now, question, call)
    return _on_silence(state, now, question, call)


def _on_silence(
    state: core_state.State,
    now: float,
    question: models.Question,
    call: forwarding_models.Call,
) -> Effects:
    silent = question.home
    state.dispatch.suspected[silent] = now + const.SUSPICION_SECONDS
    done: Effects = [
        effects.DisconnectPeer(silent),
        effects.LogEvent(
            "home.silent",
            call.request_id,
            (("service", call.service), ("home", silent)),
        ),
    ]
    if len(question.tried) >= const.HOMES_TRIED:
        question.home = state.identity.entry
    else:
        question.home = homes.pick(state, now, question.service, question.tried)
    question.tried.add(question.home)
    done.extend(_send(state, now, question, call))
    return done


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a home's word; None if the message is something else."""
    match message:
        case messages.TurnWaits():
            return _on_waits(state, now, peer, message)
        case messages.TurnGiven():
            return _on_given(state, peer, message)
        case messages.TurnRefused():
            return _on_refused(state, peer, message)
        case _:
            return None


def _on_waits(
    state: core_state.State, now: float, peer: str, word: messages.TurnWaits
) -> Effects:
    question = state.dispatch.questions.get(word.ask)
    if question is None or question.home != peer:
        return []
    question.waits = True
    question.round += 1
    if peer == state.identity.entry:
        return []
    due = models.QuestionDue(question.number, question.round)
    timers.schedule(state.timers, now + const.CHECK_SECONDS, due)
    return []


def _on_given(
    state: core_state.State, peer: str, word: messages.TurnGiven
) -> Effects:
    if word.ask < 0:
        return _on_second(state, peer, word)
    question = state.dispatch.questions.get(word.ask)
    if question is None or question.home != peer:
        unused = messages.TurnEnded(word.ask, models.Ending.NEUTRAL)
        return homes.tell(state, peer, unused)
    del state.dispatch.questions[word.ask]
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
    state: core_state.State, peer: str, word: messages.TurnGiven
) -> Effects:
    """Take up a second send, if the first one is still alone under way."""
    for attempt in state.forwarding.attempts.values():
        if attempt.dispatch_number != -word.ask or attempt.owner != peer:
            continue
        call = state.forwarding.calls[attempt.call]
        if call.attempts != {attempt.number} or not _may_hedge(call):
            break
        state.pending_events.append(
            events.DispatchDecided(
                call.number,
                word.ask,
                peer,
                word.target,
                log_details=_basis_of(word),
            )
        )
        return []
    unused = messages.TurnEnded(word.ask, models.Ending.NEUTRAL)
    return homes.tell(state, peer, unused)


def _may_hedge(call: forwarding_models.Call) -> bool:
    return (
        call.route.idempotent and call.attempt_count < call.route.max_attempts
    )


def _basis_of(word: messages.TurnGiven) -> tuple[tuple[str, float], ...]:
    return (
        ("expected_ms", round(word.expected * 1000, 1)),
        ("speed", round(word.speed, 2)),
        ("speed_age_ms", round(word.heard * 1000, 1)),
        ("held", word.held),
    )


def _on_refused(
    state: core_state.State, peer: str, word: messages.TurnRefused
) -> Effects:
    question = state.dispatch.questions.get(word.ask)
    if question is None or question.home != peer:
        return []
    del state.dispatch.questions[word.ask]
    decided = events.DispatchDecided(
        question.call,
        question.number,
        peer,
        None,
        models.Refusal(word.why),
        word.retry_after,
        log_details=(
            ("waiting", word.waiting),
            ("usable_targets", word.usable),
        ),
    )
    state.pending_events.append(decided)
    return []


def withdraw(state: core_state.State, question: int | None) -> Effects:
    """Take a question back whose call has ended."""
    if question is None:
        return []
    asked = state.dispatch.questions.pop(question, None)
    if asked is None:
        return []
    unwanted = messages.TurnEnded(question, models.Ending.NEUTRAL)
    return homes.tell(state, asked.home, unwanted)
