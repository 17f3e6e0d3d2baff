"""The home's side: desks, what they are asked, and what they hear."""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import evidence
from agateshelf.core.dispatch import hedging
from agateshelf.core.dispatch import homes
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import repeats
from agateshelf.core.dispatch import samplers
from agateshelf.core.dispatch import sampling
from agateshelf.core.dispatch import scheduling
from agateshelf.core.peers import models as peer_models

Effects = list[effects.Effect]


def desk_of(state: core_state.State, now: float, service: str) -> models.Desk:
    """Return the desk of a service, set up when it is first needed."""
    desk = state.dispatch.desks.get(service)
    if desk is not None:
        return desk
    desk = models.Desk(service)
    state.dispatch.desks[service] = desk
    for target in state.directory.services.get(service, ()):
        _adopt_target(desk, state.directory.targets[target], now)
    return desk


def _adopt_target(
    desk: models.Desk, registration: directory_models.Registration, now: float
) -> None:
    known = desk.targets.get(registration.id)
    if known is not None and _is_same_process(known, registration):
        known.registration = registration
    else:
        known = models.TargetState(registration)
        desk.targets[registration.id] = known
    if registration.warmup > 0:
        known.warm_at = now + registration.warmup


def _is_same_process(
    known: models.TargetState, registration: directory_models.Registration
) -> bool:
    before = known.registration
    if before.address != registration.address:
        return False
    return before.born == registration.born


def on_targets_changed(
    state: core_state.State, now: float, event: events.TargetsChanged
) -> Effects:
    """Follow registrations; what waits may find a target now."""
    touched = set()
    for target in event.targets:
        registration = state.directory.targets.get(target)
        service = None if registration is None else registration.service
        for desk in state.dispatch.desks.values():
            if registration is not None and service == desk.service:
                _adopt_target(desk, registration, now)
                touched.add(desk.service)
            elif desk.targets.pop(target, None) is not None:
                touched.add(desk.service)
    done: Effects = []
    for service in sorted(touched):
        done.extend(decide(state, now, state.dispatch.desks[service]))
    return done


def on_entries(state: core_state.State, now: float) -> Effects:
    """Follow the live entries; the turns of those that are gone end."""
    entries = state.membership.domains
    done: Effects = []
    for desk in state.dispatch.desks.values():
        for key in [k for k in desk.waiting if k[0] not in entries]:
            del desk.waiting[key]
        for turn in list(desk.granted.values()):
            if turn.key[0] not in entries:
                scheduling.release(desk, turn)
        done.extend(decide(state, now, desk))
    done.extend(open_own(state, now))
    return done


def open_own(state: core_state.State, now: float) -> Effects:
    """Open the desks of the services that this entry is the home of."""
    if state.routes.table is None:
        return []
    done: Effects = []
    for service in state.routes.table.health_paths:
        if homes.is_home(state, service):
            desk = desk_of(state, now, service)
            done.extend(samplers.begin(state, now, desk))
    return done


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a message to a desk; None if it is about something else."""
    match message:
        case messages.TurnAsked():
            return _on_asked(state, now, peer, message)
        case messages.TurnEnded():
            return _on_ended(state, now, peer, message)
        case messages.LoadsTold():
            return _on_loads(state, now, peer, message)
        case messages.LoadsWanted():
            return sampling.on_wanted(state, now, peer, message)
        case _:
            return None


def _on_asked(
    state: core_state.State, now: float, peer: str, asked: messages.TurnAsked
) -> Effects:
    desk = desk_of(state, now, asked.service)
    desk.asked_at = now
    if peer != state.identity.entry:
        desk.asked_by_others_at = now
    done = samplers.begin(state, now, desk)
    key = (peer, asked.ask)
    granted = desk.granted.get(key)
    if granted is not None and granted.target in desk.targets:
        word = _given(desk, granted, now)
        return [*done, *homes.tell(state, peer, word)]
    if key not in desk.waiting:
        if asked.tried and not _may_repeat(state, now, desk):
            refused = messages.TurnRefused(
                asked.ask, models.Refusal.NO_REPEAT, 0.0
            )
            return [*done, *homes.tell(state, peer, refused)]
        desk.waiting[key] = _turn_of(state, now, desk, key, asked)
        done.extend(decide(state, now, desk))
    if key in desk.waiting:
        waits = messages.TurnWaits(asked.ask)
        done.extend(homes.tell(state, peer, waits))
    return done


def _given(
    desk: models.Desk, turn: models.Turn, now: float
) -> messages.TurnGiven:
    target = desk.targets[turn.target or ""]
    return messages.TurnGiven(
        ask=turn.key[1],
        target=target.registration.id,
        expected=turn.expected,
        speed=target.speed,
        heard=min(now - target.heard_at, const.UNHEARD_SECONDS),
        held=target.held - 1,
    )


def _may_repeat(
    state: core_state.State,
    now: float,
    desk: models.Desk,
    share: float = 1.0,
) -> bool:
    """Take one repeat out of the budget; return whether there was one.

    Args:
        state: State of the entry.
        now: The time.
        desk: The desk.
        share: Part of the slack that this kind of repeat may use up.
    """
    bounds = state.dispatch.bounds
    slack = repeats.slack_of_home(bounds)
    if not homes.is_home(state, desk.service):
        entries = len(state.membership.domains)
        slack = repeats.slack_of_stranger(bounds, entries)
    if not repeats.may_repeat(desk.repeats, bounds, now, share * slack):
        return False
    repeats.note_repeat(desk.repeats, now)
    return True


def _turn_of(
    state: core_state.State,
    now: float,
    desk: models.Desk,
    key: models.TurnKey,
    asked: messages.TurnAsked,
) -> models.Turn:
    if not asked.tried:
        repeats.note_request(desk.repeats, state.dispatch.bounds, now)
    domain = state.membership.domains.get(key[0], state.identity.failure_domain)
    return models.Turn(
        key=key,
        route=asked.route,
        priority=asked.priority,
        idempotent=asked.idempotent,
        work=desk.works.setdefault(asked.route, asked.work),
        arrived=now,
        aim_at=now + asked.aim,
        give_up_at=now + asked.give_up,
        tried=frozenset(asked.tried),
        failure_domain=domain,
    )


def _on_ended(
    state: core_state.State, now: float, peer: str, ended: messages.TurnEnded
) -> Effects:
    key = (peer, ended.ask)
    for desk in state.dispatch.desks.values():
        if desk.waiting.pop(key, None) is not None:
            return []
        turn = desk.granted.get(key)
        if turn is not None:
            return _settle(state, now, desk, turn, ended)
    return []


def _settle(
    state: core_state.State,
    now: float,
    desk: models.Desk,
    turn: models.Turn,
    ended: messages.TurnEnded,
) -> Effects:
    target = desk.targets.get(turn.target or "")
    scheduling.release(desk, turn)
    if target is None:
        return decide(state, now, desk)
    ending = models.Ending(ended.ending)
    if ended.running is not None:
        estimates.learn_speed(target, now, 1.0 / max(ended.slowness, 0.01))
    if ending is models.Ending.ANSWERED:
        estimates.learn_run(desk, turn, ended.seconds)
    done: Effects = []
    if evidence.learn_end(target, now, ending):
        done.append(_note_barred(desk, target, ending, now))
    done.extend(decide(state, now, desk))
    return done


def _note_barred(
    desk: models.Desk,
    target: models.TargetState,
    ending: models.Ending,
    now: float,
) -> effects.LogEvent:
    return effects.LogEvent(
        "target.barred",
        details=(
            ("target", target.registration.id),
            ("service", desk.service),
            ("after", ending.name.lower()),
            ("errors_in_row", target.errors_in_row),
            ("seconds", round(target.barred_until - now, 3)),
        ),
    )


def _on_loads(
    state: core_state.State,
    now: float,
    peer: str,
    told: messages.LoadsTold,
) -> Effects:
    """Learn what targets said of their load, or that they said nothing."""
    desk = state.dispatch.desks.get(told.service)
    if desk is None:
        return []
    samplers.on_heard(desk, now, peer, told)
    reported: list[models.TargetState] = []
    for load in told.loads:
        target = desk.targets.get(load.target)
        if target is None:
            continue
        if load.held is None:
            target.unanswered += 1
            continue
        hedging.advance(desk, target, now)
        speed = 1.0 / max(load.slowness, 0.01)
        evidence.learn_report(target, now, load.held, speed)
        reported.append(target)
    done = decide(state, now, desk)
    done.extend(_hedge(state, now, desk, reported))
    return done


def on_due(
    state: core_state.State, now: float, event: models.DeskDue
) -> Effects:
    """Look at the waiting turns of a service again."""
    desk = state.dispatch.desks.get(event.service)
    if desk is None:
        return []
    if now >= desk.wakes_at:
        desk.wakes_at = math.inf
    return decide(state, now, desk)


def decide(state: core_state.State, now: float, desk: models.Desk) -> Effects:
    """Decide on the waiting turns and tell the entries that asked."""
    done: Effects = []
    for decision in scheduling.decide(desk, now, state.rng):
        done.extend(_tell(state, now, desk, decision))
    look = scheduling.next_look(desk, now)
    if look is not None and look < desk.wakes_at:
        desk.wakes_at = look
        timers.schedule(state.timers, look, models.DeskDue(desk.service))
    return done


def _hedge(
    state: core_state.State,
    now: float,
    desk: models.Desk,
    reported: list[models.TargetState],
) -> Effects:
    """Give second sends to what runs too slowly at targets just heard of."""
    share = const.HEDGE_SLACK_SHARE
    turns = [turn for target in reported for turn in target.turns.values()]
    grants = hedging.hedge(
        desk, turns, now, lambda: _may_repeat(state, now, desk, share)
    )
    return [
        effect for grant in grants for effect in _tell(state, now, desk, grant)
    ]


def _tell(
    state: core_state.State,
    now: float,
    desk: models.Desk,
    decision: scheduling.Decision,
) -> Effects:
    entry, ask = decision.turn.key
    match decision:
        case scheduling.Grant():
            given = _given(desk, decision.turn, now)
            return homes.tell(state, entry, given)
        case scheduling.Refuse():
            refused = messages.TurnRefused(
                ask,
                decision.why,
                decision.retry_after,
                decision.waiting,
                decision.usable,
            )
            return homes.tell(state, entry, refused)
