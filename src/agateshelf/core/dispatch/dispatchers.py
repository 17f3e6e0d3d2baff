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
from agateshelf.core.directory import renewals
from agateshelf.core.dispatch import connections
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import decisions
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import fair_shares
from agateshelf.core.dispatch import hedging
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools
from agateshelf.core.dispatch import restrictions
from agateshelf.core.dispatch import retry_budget
from agateshelf.core.dispatch import sampler_assignment
from agateshelf.core.dispatch import sampling
from agateshelf.core.dispatch import scheduling
from agateshelf.core.dispatch import slow_start
from agateshelf.core.dispatch import target_health
from agateshelf.core.overload import delays
from agateshelf.core.overload import round_trips
from agateshelf.core.peers import models as peer_models
from agateshelf.core.regions import lookup as region_lookup
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import spreading
from agateshelf.core.target_notices import warmup_sources

Effects = list[effects.Effect]

_NOT_RUN = frozenset(
    {
        models.Ending.REFUSED,
        models.Ending.UNREACHABLE,
        models.Ending.MISPLACED,
    }
)


def get_dispatcher(
    state: core_state.State, now: float, pool: str
) -> models.Dispatcher:
    """Return the dispatcher of a pool, creating it on first use."""
    dispatcher = state.dispatch.dispatchers.get(pool)
    if dispatcher is not None:
        return dispatcher
    dispatcher = models.Dispatcher(pool)
    state.dispatch.dispatchers[pool] = dispatcher
    for target in pools.targets_in(state, pool):
        registration = state.directory.targets[target]
        warmup = renewals.warmup_left(state.directory, now, registration)
        _update_target(dispatcher, registration, now, warmup)
    return dispatcher


def _update_target(
    dispatcher: models.Dispatcher,
    registration: directory_models.Registration,
    now: float,
    warmup: float,
) -> None:
    target = dispatcher.targets.get(registration.id)
    if target is not None and _is_same_process(target, registration):
        target.registration = registration
    else:
        target = models.TargetState(registration)
        dispatcher.targets[registration.id] = target
        dispatcher.notices_seen = -1
    scheduling.require_full_decision(dispatcher)
    if warmup > 0:
        target.warm_at = now + warmup


def _is_same_process(
    target: models.TargetState, registration: directory_models.Registration
) -> bool:
    before = target.registration
    if before.address != registration.address:
        return False
    return before.born == registration.born


def on_targets_changed(
    state: core_state.State, now: float, event: events.TargetsChanged
) -> Effects:
    """Apply changed registrations and redo the decisions they affect."""
    affected = set()
    for target in event.targets:
        registration = state.directory.targets.get(target)
        for dispatcher in state.dispatch.dispatchers.values():
            if registration is not None and pools.contains(
                dispatcher.pool, registration
            ):
                _update_target(
                    dispatcher, registration, now, registration.warmup
                )
                affected.add(dispatcher.pool)
            elif dispatcher.targets.pop(target, None) is not None:
                scheduling.require_full_decision(dispatcher)
                affected.add(dispatcher.pool)
    emitted: Effects = []
    for pool in sorted(affected):
        emitted.extend(decide(state, now, state.dispatch.dispatchers[pool]))
    if owners.update_pools(state):
        emitted.extend(start_owned(state, now))
    return emitted


def on_evacuations(
    state: core_state.State, now: float, event: events.EvacuationsChanged
) -> Effects:
    """Redo all decisions, as targets count as absent or are back.

    Nobody has probed those that are back, so they count as cold until an answer
    tells.
    """
    emitted: Effects = []
    for dispatcher in state.dispatch.dispatchers.values():
        for name, target in dispatcher.targets.items():
            if target.registration.failure_domain in event.returned:
                emitted.extend(warmup_sources.assume_cold(state, now, name))
        emitted.extend(decide(state, now, dispatcher))
    return emitted


def on_entries(state: core_state.State, now: float) -> Effects:
    """Drop the requests of entries that are no longer live."""
    entries = state.membership.failure_domains
    emitted: Effects = []
    for dispatcher in state.dispatch.dispatchers.values():
        for entry in dispatcher.connected.keys() - entries.keys():
            del dispatcher.connected[entry]
        for key in [k for k in dispatcher.waiting if k[0] not in entries]:
            del dispatcher.waiting[key]
        for request in list(dispatcher.granted.values()):
            if request.key[0] not in entries:
                scheduling.release(dispatcher, request)
        emitted.extend(decide(state, now, dispatcher))
    emitted.extend(start_owned(state, now))
    return emitted


def start_owned(state: core_state.State, now: float) -> Effects:
    """Start the dispatchers of the pools that this entry owns."""
    if state.routes.table is None:
        return []
    emitted: Effects = []
    for pool in owners.all_pools(state):
        if owners.is_owner(state, pool):
            dispatcher = get_dispatcher(state, now, pool)
            emitted.extend(
                sampler_assignment.ensure_sampling(state, now, dispatcher)
            )
    return emitted


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a message to a dispatcher; return None for any other message."""
    match message:
        case messages.DispatchRequest():
            return _on_request(state, now, peer, message)
        case messages.DispatchEnded():
            return _on_ended(state, now, peer, message)
        case messages.LoadReport():
            return _on_load_report(state, now, peer, message)
        case messages.LoadSubscription():
            return sampling.on_subscription(state, now, peer, message)
        case _:
            return None


def _on_request(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.DispatchRequest,
) -> Effects:
    dispatcher = get_dispatcher(state, now, message.service)
    dispatcher.last_request_at = now
    emitted = spreading.learn(state, now, message.notices)
    if peer != state.identity.entry:
        dispatcher.last_peer_request_at = now
    emitted.extend(sampler_assignment.ensure_sampling(state, now, dispatcher))
    key = (peer, message.number)
    granted = dispatcher.granted.get(key)
    if granted is not None and granted.target in dispatcher.targets:
        reply = _granted_message(state, dispatcher, granted, now)
        return [*emitted, *owners.send(state, peer, reply)]
    if key not in dispatcher.waiting:
        if message.tried and not _try_consume_retry(state, now, dispatcher):
            refused = messages.DispatchRefused(
                message.number,
                models.Refusal.NO_RETRY,
                0.0,
                late=_told_delay(state, now, dispatcher),
            )
            return [*emitted, *owners.send(state, peer, refused)]
        request = _create_request(state, now, dispatcher, key, message)
        dispatcher.waiting[key] = request
        fair_shares.enter(dispatcher, request, now)
        arrived = decisions.Arrived(request)
        emitted.extend(decide(state, now, dispatcher, arrived))
    if key in dispatcher.waiting:
        queued = messages.DispatchQueued(
            message.number, _told_delay(state, now, dispatcher)
        )
        emitted.extend(owners.send(state, peer, queued))
    return emitted


def _told_delay(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> float:
    return delays.told(state, now, is_paced=bool(dispatcher.paced))


def _granted_message(
    state: core_state.State,
    dispatcher: models.Dispatcher,
    request: models.Request,
    now: float,
) -> messages.DispatchGranted:
    target = dispatcher.targets[request.target or ""]
    return messages.DispatchGranted(
        number=request.key[1],
        target=target.registration.id,
        expected_seconds=request.expected_seconds,
        speed=target.speed,
        speed_age=min(now - target.reported_at, const.NEVER_REPORTED_SECONDS),
        outstanding=target.outstanding - 1,
        notice=notice_records.statement_of(state, now, target.registration.id),
        late=_told_delay(state, now, dispatcher),
    )


def _try_consume_retry(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    share: float = 1.0,
) -> bool:
    """Consume one attempt of the retry budget; return whether one was left.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        dispatcher: The dispatcher whose budget is used.
        share: Part of the slack that attempts of this kind may use, 0 to 1.
    """
    bounds = state.dispatch.bounds
    slack = retry_budget.owner_slack(bounds)
    if not owners.is_owner(state, dispatcher.pool):
        entries = len(state.membership.failure_domains)
        slack = retry_budget.fallback_slack(bounds, entries)
    slack *= share / pools.parse(dispatcher.pool)[2]
    if not retry_budget.may_retry(dispatcher.retry_window, bounds, now, slack):
        return False
    retry_budget.record_retry(dispatcher.retry_window, now)
    return True


def _create_request(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    key: models.RequestKey,
    message: messages.DispatchRequest,
) -> models.Request:
    if not message.tried:
        retry_budget.record_request(
            dispatcher.retry_window, state.dispatch.bounds, now
        )
    domain = state.membership.failure_domains.get(
        key[0], state.identity.failure_domain
    )
    return models.Request(
        key=key,
        route=message.route,
        priority=message.priority,
        idempotent=message.idempotent,
        work=dispatcher.work_estimates.setdefault(message.route, message.work),
        initial_work=message.work,
        arrived_at=now,
        soft_deadline=now + message.soft_timeout,
        deadline=now + message.timeout,
        tried=frozenset(message.tried),
        failure_domain=domain,
        workspace=message.workspace,
        workspace_priority=message.workspace_priority,
        domains=region_lookup.domains_in(state, message.regions),
        connected=message.connected,
        may_be_trial=message.may_be_trial,
        crossing=round_trips.ways_from(state, domain),
    )


def _on_ended(
    state: core_state.State,
    now: float,
    peer: str,
    ended: messages.DispatchEnded,
) -> Effects:
    key = (peer, ended.number)
    emitted: Effects = []
    if ended.notice is not None:
        emitted = spreading.learn(state, now, (ended.notice,))
    for dispatcher in state.dispatch.dispatchers.values():
        if dispatcher.waiting.pop(key, None) is not None:
            break
        request = dispatcher.granted.get(key)
        if request is not None:
            emitted.extend(_finish(state, now, dispatcher, request, ended))
            break
    return emitted


def _finish(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    request: models.Request,
    ended: messages.DispatchEnded,
) -> Effects:
    target = dispatcher.targets.get(request.target or "")
    scheduling.release(dispatcher, request)
    freed = decisions.Freed(target)
    if target is None:
        return decide(state, now, dispatcher, freed)
    ending = models.Ending(ended.ending)
    if ended.running is not None:
        estimates.record_speed(target, now, 1.0 / max(ended.slowness, 0.01))
    if ending is models.Ending.ANSWERED:
        target.resuming = False
        connections.record_answer(dispatcher, request, now)
        slow_start.record(dispatcher, now, request, ended.seconds)
        estimates.record_run(dispatcher, request, ended.seconds)
    else:
        if ending in _NOT_RUN:
            fair_shares.refund(dispatcher, request)
        if target.registration.failure_domain in dispatcher.evacuated:
            # What fails there during the evacuation says nothing of the target.
            ending = models.Ending.NEUTRAL
    emitted: Effects = []
    if ending is not models.Ending.ANSWERED:
        scheduling.require_full_decision(dispatcher)
    if target_health.record_ending(target, now, ending):
        emitted.append(_breaker_log_event(dispatcher, target, ending, now))
    emitted.extend(decide(state, now, dispatcher, freed))
    return emitted


def _breaker_log_event(
    dispatcher: models.Dispatcher,
    target: models.TargetState,
    ending: models.Ending,
    now: float,
) -> effects.LogEvent:
    return effects.LogEvent(
        "target.barred",
        details=(
            ("target", target.registration.id),
            ("service", dispatcher.pool),
            ("after", ending.name.lower()),
            ("errors_in_row", target.consecutive_errors),
            ("seconds", round(target.open_until - now, 3)),
        ),
    )


def _on_load_report(
    state: core_state.State,
    now: float,
    peer: str,
    report: messages.LoadReport,
) -> Effects:
    """Record the loads that a sampler reports, and unanswered probes."""
    dispatcher = state.dispatch.dispatchers.get(report.service)
    if dispatcher is None:
        return []
    sampler_assignment.on_report(dispatcher, now, peer, report)
    emitted = spreading.learn(state, now, report.notices)
    reported: list[models.TargetState] = []
    for load in report.loads:
        target = dispatcher.targets.get(load.target)
        if target is None:
            continue
        if load.outstanding is None:
            target.unanswered_probes += 1
            if target.unanswered_probes >= const.MAX_UNANSWERED_PROBES:
                emitted.extend(
                    warmup_sources.assume_cold(state, now, load.target)
                )
            scheduling.require_full_decision(dispatcher)
            continue
        hedging.update_progress(dispatcher, target, now)
        speed = 1.0 / max(load.slowness, 0.01)
        target_health.record_report(target, now, load.outstanding, speed)
        reported.append(target)
    _schedule_check(state, now, dispatcher)
    emitted.extend(_hedge(state, now, dispatcher, reported))
    return emitted


def on_due(
    state: core_state.State, now: float, event: models.DispatcherDue
) -> Effects:
    """Decide again on the waiting requests of a service (timer)."""
    dispatcher = state.dispatch.dispatchers.get(event.service)
    if dispatcher is None:
        return []
    if now >= dispatcher.next_check_at:
        dispatcher.next_check_at = math.inf
    return decide(state, now, dispatcher)


def decide(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    cause: decisions.Cause | None = None,
) -> Effects:
    """Decide on the waiting requests and notify the requesting entries.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        dispatcher: The dispatcher of the service.
        cause: All that has changed since the last decision; None for more.
    """
    restrictions.update(state, now, dispatcher)
    slow_start.update(state, now, dispatcher)
    emitted: Effects = []
    for decision in scheduling.decide(dispatcher, now, state.rng, cause):
        emitted.extend(_notify(state, now, dispatcher, decision))
    _schedule_check(state, now, dispatcher)
    return emitted


def _schedule_check(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> None:
    check_at = scheduling.next_check(dispatcher, now)
    if check_at is not None and check_at < dispatcher.next_check_at:
        dispatcher.next_check_at = check_at
        timers.schedule(
            state.timers, check_at, models.DispatcherDue(dispatcher.pool)
        )


def _hedge(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    reported: list[models.TargetState],
) -> Effects:
    """Hedge requests of the targets that have just reported a load."""
    # A report may say that targets are cold, which then get no uncounted hedge.
    restrictions.update(state, now, dispatcher)
    share = const.HEDGE_SLACK_SHARE
    requests = [
        request for target in reported for request in target.requests.values()
    ]
    grants = hedging.hedge(
        dispatcher,
        requests,
        now,
        lambda: _try_consume_retry(state, now, dispatcher, share),
    )
    return [
        effect
        for grant in grants
        for effect in _notify(state, now, dispatcher, grant)
    ]


def _notify(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    decision: decisions.Decision,
) -> Effects:
    entry, number = decision.request.key
    match decision:
        case decisions.Grant():
            granted = _granted_message(state, dispatcher, decision.request, now)
            return owners.send(state, entry, granted)
        case decisions.Refuse():
            refused = messages.DispatchRefused(
                number,
                decision.reason,
                decision.retry_after,
                decision.waiting,
                decision.usable,
                decision.request.work,
                decision.limited,
                decision.paused,
                decision.cold,
                _told_delay(state, now, dispatcher),
            )
            return owners.send(state, entry, refused)
