"""Owner side of dispatch: handles requests for targets and load reports.

The owner of a service keeps one dispatcher for it, since only a single place
that sees all requests can keep targets from being sent more than they can run.
"""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import hedging
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import retry_budget
from agateshelf.core.dispatch import sampler_assignment
from agateshelf.core.dispatch import sampling
from agateshelf.core.dispatch import scheduling
from agateshelf.core.dispatch import target_health
from agateshelf.core.peers import models as peer_models

Effects = list[effects.Effect]


def get_dispatcher(
    state: core_state.State, now: float, service: str
) -> models.Dispatcher:
    """Return the dispatcher of a service, creating it on first use."""
    desk = state.dispatch.dispatchers.get(service)
    if desk is not None:
        return desk
    desk = models.Dispatcher(service)
    state.dispatch.dispatchers[service] = desk
    for target in state.directory.services.get(service, ()):
        _adopt_target(desk, state.directory.targets[target], now)
    return desk


def _adopt_target(
    desk: models.Dispatcher,
    registration: directory_models.Registration,
    now: float,
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
    """Apply changed registrations and redo the decisions they affect."""
    touched = set()
    for target in event.targets:
        registration = state.directory.targets.get(target)
        service = None if registration is None else registration.service
        for desk in state.dispatch.dispatchers.values():
            if registration is not None and service == desk.service:
                _adopt_target(desk, registration, now)
                touched.add(desk.service)
            elif desk.targets.pop(target, None) is not None:
                touched.add(desk.service)
    done: Effects = []
    for service in sorted(touched):
        done.extend(decide(state, now, state.dispatch.dispatchers[service]))
    return done


def on_entries(state: core_state.State, now: float) -> Effects:
    """Drop the requests of entries that are no longer live."""
    entries = state.membership.failure_domains
    done: Effects = []
    for desk in state.dispatch.dispatchers.values():
        for key in [k for k in desk.waiting if k[0] not in entries]:
            del desk.waiting[key]
        for turn in list(desk.granted.values()):
            if turn.key[0] not in entries:
                scheduling.release(desk, turn)
        done.extend(decide(state, now, desk))
    done.extend(start_owned(state, now))
    return done


def start_owned(state: core_state.State, now: float) -> Effects:
    """Start the dispatchers of the services that this entry owns."""
    if state.routes.table is None:
        return []
    done: Effects = []
    for service in state.routes.table.health_paths:
        if owners.is_owner(state, service):
            desk = get_dispatcher(state, now, service)
            done.extend(sampler_assignment.ensure_sampling(state, now, desk))
    return done


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a message to a dispatcher; return None for any other message."""
    match message:
        case messages.DispatchRequest():
            return _on_asked(state, now, peer, message)
        case messages.DispatchEnded():
            return _on_ended(state, now, peer, message)
        case messages.LoadReport():
            return _on_loads(state, now, peer, message)
        case messages.LoadSubscription():
            return sampling.on_subscription(state, now, peer, message)
        case _:
            return None


def _on_asked(
    state: core_state.State,
    now: float,
    peer: str,
    asked: messages.DispatchRequest,
) -> Effects:
    desk = get_dispatcher(state, now, asked.service)
    desk.last_request_at = now
    if peer != state.identity.entry:
        desk.last_peer_request_at = now
    done = sampler_assignment.ensure_sampling(state, now, desk)
    key = (peer, asked.number)
    granted = desk.granted.get(key)
    if granted is not None and granted.target in desk.targets:
        word = _given(desk, granted, now)
        return [*done, *owners.send(state, peer, word)]
    if key not in desk.waiting:
        if asked.tried and not _may_repeat(state, now, desk):
            refused = messages.DispatchRefused(
                asked.number, models.Refusal.NO_REPEAT, 0.0
            )
            return [*done, *owners.send(state, peer, refused)]
        desk.waiting[key] = _turn_of(state, now, desk, key, asked)
        done.extend(decide(state, now, desk))
    if key in desk.waiting:
        waits = messages.DispatchQueued(asked.number)
        done.extend(owners.send(state, peer, waits))
    return done


def _given(
    desk: models.Dispatcher, turn: models.Request, now: float
) -> messages.DispatchGranted:
    target = desk.targets[turn.target or ""]
    return messages.DispatchGranted(
        number=turn.key[1],
        target=target.registration.id,
        expected_seconds=turn.expected_seconds,
        speed=target.speed,
        speed_age=min(now - target.reported_at, const.NEVER_REPORTED_SECONDS),
        held=target.held - 1,
    )


def _may_repeat(
    state: core_state.State,
    now: float,
    desk: models.Dispatcher,
    share: float = 1.0,
) -> bool:
    """Consume one send of the retry budget; return whether one was left.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        desk: The dispatcher whose budget is used.
        share: Part of the slack that sends of this kind may use, 0 to 1.
    """
    bounds = state.dispatch.bounds
    slack = retry_budget.owner_slack(bounds)
    if not owners.is_owner(state, desk.service):
        entries = len(state.membership.failure_domains)
        slack = retry_budget.fallback_slack(bounds, entries)
    if not retry_budget.may_retry(
        desk.retry_window, bounds, now, share * slack
    ):
        return False
    retry_budget.record_retry(desk.retry_window, now)
    return True


def _turn_of(
    state: core_state.State,
    now: float,
    desk: models.Dispatcher,
    key: models.RequestKey,
    asked: messages.DispatchRequest,
) -> models.Request:
    if not asked.tried:
        retry_budget.record_request(
            desk.retry_window, state.dispatch.bounds, now
        )
    domain = state.membership.failure_domains.get(
        key[0], state.identity.failure_domain
    )
    return models.Request(
        key=key,
        route=asked.route,
        priority=asked.priority,
        idempotent=asked.idempotent,
        work=desk.work_estimates.setdefault(asked.route, asked.work),
        arrived_at=now,
        soft_deadline=now + asked.soft_timeout,
        deadline=now + asked.timeout,
        tried=frozenset(asked.tried),
        failure_domain=domain,
    )


def _on_ended(
    state: core_state.State,
    now: float,
    peer: str,
    ended: messages.DispatchEnded,
) -> Effects:
    key = (peer, ended.number)
    for desk in state.dispatch.dispatchers.values():
        if desk.waiting.pop(key, None) is not None:
            return []
        turn = desk.granted.get(key)
        if turn is not None:
            return _settle(state, now, desk, turn, ended)
    return []


def _settle(
    state: core_state.State,
    now: float,
    desk: models.Dispatcher,
    turn: models.Request,
    ended: messages.DispatchEnded,
) -> Effects:
    target = desk.targets.get(turn.target or "")
    scheduling.release(desk, turn)
    if target is None:
        return decide(state, now, desk)
    ending = models.Ending(ended.ending)
    if ended.running is not None:
        estimates.record_speed(target, now, 1.0 / max(ended.slowness, 0.01))
    if ending is models.Ending.ANSWERED:
        estimates.record_run(desk, turn, ended.seconds)
    done: Effects = []
    if target_health.record_ending(target, now, ending):
        done.append(_note_barred(desk, target, ending, now))
    done.extend(decide(state, now, desk))
    return done


def _note_barred(
    desk: models.Dispatcher,
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
            ("errors_in_row", target.consecutive_errors),
            ("seconds", round(target.ejected_until - now, 3)),
        ),
    )


def _on_loads(
    state: core_state.State,
    now: float,
    peer: str,
    told: messages.LoadReport,
) -> Effects:
    """Record the loads that a sampler reports, and unanswered probes."""
    desk = state.dispatch.dispatchers.get(told.service)
    if desk is None:
        return []
    sampler_assignment.on_report(desk, now, peer, told)
    reported: list[models.TargetState] = []
    for load in told.loads:
        target = desk.targets.get(load.target)
        if target is None:
            continue
        if load.held is None:
            target.unanswered_probes += 1
            continue
        hedging.update_progress(desk, target, now)
        speed = 1.0 / max(load.slowness, 0.01)
        target_health.record_report(target, now, load.held, speed)
        reported.append(target)
    done = decide(state, now, desk)
    done.extend(_hedge(state, now, desk, reported))
    return done


def on_due(
    state: core_state.State, now: float, event: models.DispatcherDue
) -> Effects:
    """Decide again on the waiting requests of a service (timer)."""
    desk = state.dispatch.dispatchers.get(event.service)
    if desk is None:
        return []
    if now >= desk.next_check_at:
        desk.next_check_at = math.inf
    return decide(state, now, desk)


def decide(
    state: core_state.State, now: float, desk: models.Dispatcher
) -> Effects:
    """Decide on the waiting requests and notify the requesting entries."""
    done: Effects = []
    for decision in scheduling.decide(desk, now, state.rng):
        done.extend(_tell(state, now, desk, decision))
    look = scheduling.next_check(desk, now)
    if look is not None and look < desk.next_check_at:
        desk.next_check_at = look
        timers.schedule(state.timers, look, models.DispatcherDue(desk.service))
    return done


def _hedge(
    state: core_state.State,
    now: float,
    desk: models.Dispatcher,
    reported: list[models.TargetState],
) -> Effects:
    """Hedge slow requests at the targets that have just reported."""
    share = const.HEDGE_SLACK_SHARE
    turns = [turn for target in reported for turn in target.requests.values()]
    grants = hedging.hedge(
        desk, turns, now, lambda: _may_repeat(state, now, desk, share)
    )
    return [
        effect for grant in grants for effect in _tell(state, now, desk, grant)
    ]


def _tell(
    state: core_state.State,
    now: float,
    desk: models.Dispatcher,
    decision: scheduling.Decision,
) -> Effects:
    entry, ask = decision.turn.key
    match decision:
        case scheduling.Grant():
            given = _given(desk, decision.turn, now)
            return owners.send(state, entry, given)
        case scheduling.Refuse():
            refused = messages.DispatchRefused(
                ask,
                decision.why,
                decision.retry_after,
                decision.waiting,
                decision.usable,
            )
            return owners.send(state, entry, refused)
