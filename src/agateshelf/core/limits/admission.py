"""Admission control: admits, queues or rejects each call before it is sent.

A queued call has not been sent to any target, so a rejection can report
"not-run". Admission precedes claims, so that a call shed under overload costs
no write to the store. A call waiting for its claim does not count against the
concurrency limit.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.calls import models as call_models
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import callers
from agateshelf.core.limits import const
from agateshelf.core.limits import fair_share
from agateshelf.core.limits import latency
from agateshelf.core.limits import lending
from agateshelf.core.limits import models
from agateshelf.core.limits import pools
from agateshelf.core.limits import queueing
from agateshelf.core.limits import rates
from agateshelf.core.limits import refusals
from agateshelf.core.limits import window
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.retries import budget

Effects = list[effects.Effect]


def admit(state: core_state.State, now: float, call: call_models.Call) -> None:
    """Admit, queue or reject a new call; the result is an internal event."""
    pool = state.limits.pools[call.service.name]
    share = callers.share_of(state.limits, call.service.name, call.caller)
    ticket = models.Ticket(
        call=call.number,
        service=call.service,
        caller=share.name,
        weight=share.weight,
        needs_claim=not call.idempotent,
        deadline=call.deadline,
        arrived=now,
        pool=pool,
    )
    state.limits.tickets[call.number] = ticket
    fair_share.count_offered(pool, ticket, now)
    reason = _refusal_reason(state, now, ticket)
    if state.limits.rates.short_shares:
        lending.schedule_request(state, now)
    if reason is not None:
        _reject(state, ticket, reason)
        return
    if pool.queue.length == 0 and _may_admit(pool, ticket, now):
        _admit_now(state, ticket)
        return
    _enqueue(state, now, ticket)
    _admit_queued(state, now, pool)


def adopt_configuration(state: core_state.State, now: float) -> None:
    """Apply the configuration that has just come into force."""
    pools.adopt_configuration(state.limits, state.cfg)
    callers.adopt_configuration(state.limits, state.cfg)
    rates.adopt_shares(state.limits, now)
    budget.drop_others(state.retries, state.cfg.services)


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Apply a new list of live entries, which share every limit equally."""
    lending.adopt_entries(state, now, event)
    pools.adopt_entries(state.limits, max(1, len(event.entries)))


def on_answer(
    state: core_state.State,
    now: float,
    attempt: call_models.Attempt,
    event: events.AttemptAnswered,
) -> None:
    """Update the limits from a response, before its attempt ends."""
    ticket = state.limits.tickets.get(attempt.call)
    if ticket is None:
        return
    if event.status >= const.STATUS_SERVER_ERROR:
        if event.status == const.STATUS_UNAVAILABLE:
            window.on_overload(ticket.pool, attempt.target)
        return
    seconds = now - attempt.started
    window.on_answer(ticket.pool, attempt.target, seconds, event.load)
    latency.update(ticket.pool, seconds, event.load)


def on_failure(
    state: core_state.State,
    attempt: call_models.Attempt,
    event: events.AttemptFailed,
) -> None:
    """Update the limits from an attempt that got no complete response."""
    ticket = state.limits.tickets.get(attempt.call)
    if ticket is None:
        return
    if event.kind is outcome_models.FailureKind.TIMEOUT:
        window.on_overload(ticket.pool, attempt.target)


def on_slot_freed(
    state: core_state.State, now: float, event: events.SlotFreed
) -> Effects:
    """Admit queued calls while the concurrency limit allows."""
    pool = state.limits.pools.get(event.service)
    if pool is not None:
        _admit_queued(state, now, pool)
    return []


def on_queue_timeout(
    state: core_state.State, now: float, event: events.QueueTimeoutPassed
) -> Effects:
    """Reject a call that has been queued for the maximum time."""
    ticket = state.limits.tickets.get(event.call)
    if ticket is None or ticket.phase is not models.Phase.QUEUED:
        return []
    queueing.remove(ticket.pool.queue, ticket)
    _update_last_empty(ticket.pool, now)
    _reject(state, ticket, const.REASON_QUEUE_TOO_SLOW)
    return []


def on_attempt_started(state: core_state.State, call: int, target: str) -> None:
    """Count an attempt of an admitted call as in flight."""
    ticket = state.limits.tickets.get(call)
    if ticket is None:
        return
    _mark_started(state, ticket)
    window.on_started(ticket.pool, target)


def on_attempt_ended(state: core_state.State, call: int, target: str) -> None:
    """Release an attempt's slot, which a queued call may take."""
    ticket = state.limits.tickets.get(call)
    if ticket is None:
        return
    window.on_ended(ticket.pool, target)
    _post_freed(state, ticket)


def on_call_ended(state: core_state.State, call: int) -> None:
    """Remove a call that has its final response or whose caller left."""
    ticket = state.limits.tickets.pop(call, None)
    if ticket is None:
        return
    if ticket.phase is models.Phase.QUEUED:
        queueing.remove(ticket.pool.queue, ticket)
    _mark_started(state, ticket)
    _post_freed(state, ticket)


def _refusal_reason(
    state: core_state.State, now: float, ticket: models.Ticket
) -> str | None:
    share = const.CLASS_SHARES[ticket.service.priority]
    if len(state.limits.tickets) > const.MAX_CALLS_PER_ENTRY * share:
        return const.REASON_ENTRY_FULL
    if now + ticket.pool.median_latency >= ticket.deadline:
        return const.REASON_DEADLINE_TOO_NEAR
    key = (ticket.service.name, ticket.caller)
    if not rates.take(state.limits.rates, key, now):
        return const.REASON_RATE_EXCEEDED
    return None


def _may_admit(pool: models.Pool, ticket: models.Ticket, now: float) -> bool:
    if not window.has_room(pool):
        return False
    key = (ticket.service.name, ticket.caller)
    priority = ticket.service.priority
    if not _may_start(pool, priority, key, now):
        return False
    return not ticket.needs_claim or window.may_claim(pool)


def _may_start(
    pool: models.Pool,
    priority: configuration_models.Priority,
    key: models.FlowKey,
    now: float,
) -> bool:
    if window.has_room_for_yielding(pool):
        return True
    return not fair_share.must_yield(pool, priority, key, now)


def _admit_now(state: core_state.State, ticket: models.Ticket) -> None:
    if ticket.needs_claim:
        ticket.phase = models.Phase.CLAIMING
        ticket.pool.claiming += 1
    else:
        ticket.phase = models.Phase.PASSING
        ticket.pool.passing += 1
    fair_share.count_admitted(ticket.pool, ticket)
    budget.earn(state.retries, ticket.service)
    state.pending_events.append(events.CallAdmitted(ticket.call))


def _enqueue(
    state: core_state.State, now: float, ticket: models.Ticket
) -> None:
    queue = ticket.pool.queue
    name = ticket.service.name
    if queue.lengths.get(name, 0) >= ticket.service.queue:
        rejected = queueing.newest_of_longest(queue, ticket)
        if rejected is not ticket:
            queueing.remove(queue, rejected)
        _reject(state, rejected, const.REASON_QUEUE_FULL)
        if rejected is ticket:
            return
    queueing.push(queue, ticket, now)
    until = min(now + _max_wait(ticket.pool, now), _latest_start(ticket))
    timers.schedule(state.timers, until, events.QueueTimeoutPassed(ticket.call))


def _admit_queued(
    state: core_state.State, now: float, pool: models.Pool
) -> None:
    _reject_late(state, now, pool)
    while window.has_room(pool):
        ticket = queueing.pop(
            pool.queue,
            lambda priority, flow: _may_start(
                pool, priority, (flow.service, flow.caller), now
            ),
            may_claim=window.may_claim(pool),
        )
        if ticket is None:
            break
        _admit_now(state, ticket)
    _update_last_empty(pool, now)


def _reject_late(
    state: core_state.State, now: float, pool: models.Pool
) -> None:
    max_wait = _max_wait(pool, now)
    late = _late_heads(pool, now, max_wait)
    while late:
        for ticket in late:
            queueing.remove(pool.queue, ticket)
            _reject(state, ticket, const.REASON_QUEUE_TOO_SLOW)
        late = _late_heads(pool, now, max_wait)


def _late_heads(
    pool: models.Pool, now: float, max_wait: float
) -> list[models.Ticket]:
    return [
        ticket
        for ticket in queueing.heads(pool.queue)
        if now > min(ticket.arrived + max_wait, _latest_start(ticket))
    ]


def _max_wait(pool: models.Pool, now: float) -> float:
    """Return the maximum queueing time, shorter for a standing queue.

    A queue that has not been empty for a while only adds delay, so calls wait
    less in it (as in CoDel).
    """
    wait = max(
        const.QUEUE_WAIT_SECONDS, pool.median_latency * const.QUEUE_WAIT_MEDIANS
    )
    is_standing = pool.queue.length > 0 and now - pool.queue.last_empty > wait
    if not is_standing:
        return wait
    standing_wait = pool.median_latency * const.STANDING_QUEUE_WAIT_MEDIANS
    return min(wait, max(const.MIN_STANDING_QUEUE_WAIT_SECONDS, standing_wait))


def _latest_start(ticket: models.Ticket) -> float:
    return ticket.deadline - ticket.pool.median_latency


def _update_last_empty(pool: models.Pool, now: float) -> None:
    if pool.queue.length == 0:
        pool.queue.last_empty = now


def _mark_started(state: core_state.State, ticket: models.Ticket) -> None:
    """Stop counting a call as admitted but not yet started."""
    match ticket.phase:
        case models.Phase.PASSING:
            ticket.pool.passing -= 1
        case models.Phase.CLAIMING:
            ticket.pool.claiming -= 1
            _post_freed(state, ticket)
    ticket.phase = models.Phase.STARTED


def _post_freed(state: core_state.State, ticket: models.Ticket) -> None:
    if ticket.pool.queue.length:
        state.pending_events.append(events.SlotFreed(ticket.service.name))


def _reject(
    state: core_state.State, ticket: models.Ticket, reason: str
) -> None:
    ticket.phase = models.Phase.STARTED
    refusal = refusals.refusal(state.rng, reason)
    state.pending_events.append(events.CallRejected(ticket.call, refusal))
