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
from agateshelf.core.dispatch import home_pools
from agateshelf.core.dispatch import idle_connections
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.overload import relief
from agateshelf.core.peers import models as peer_models
from agateshelf.core.regions import lookup as region_lookup
from agateshelf.core.stopping import admission as stop_admission
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import spreading
from agateshelf.core.target_notices import warmups

Effects = list[effects.Effect]


def request_dispatch(
    state: core_state.State,
    now: float,
    call: forwarding_models.Call,
    *,
    is_alone: bool = False,
) -> Effects:
    """Request a target for a call.

    The result arrives as a `DispatchDecided` event.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        call: The call.
        is_alone: Whether this entry decides, whoever the owner is.
    """
    dispatch = state.dispatch
    dispatch.last_request += 1
    if call.regions:
        pool = region_lookup.choose_pool(state, call.service, call.regions)
    else:
        pool = home_pools.choose(state, now, call.service)
    owner = state.identity.entry
    if not is_alone:
        owner = owners.select_owner(state, now, pool, set())
    pending = models.PendingRequest(
        dispatch.last_request, call.number, pool, owner, {owner}
    )
    dispatch.pending_requests[pending.number] = pending
    call.dispatch_number = pending.number
    return _send(state, now, pending, call)


def _send(
    state: core_state.State,
    now: float,
    pending: models.PendingRequest,
    call: forwarding_models.Call,
) -> Effects:
    pending.timer_generation += 1
    pending.queued = False
    if pending.owner != state.identity.entry:
        due = models.PendingRequestDue(pending.number, pending.timer_generation)
        timers.schedule(state.timers, now + const.REPLY_TIMEOUT_SECONDS, due)
    message = messages.DispatchRequest(
        number=pending.number,
        service=pending.pool,
        route=call.route.name,
        priority=call.route.priority,
        idempotent=call.route.idempotent,
        work=call.route.target_latency * const.INITIAL_WORK_SHARE,
        soft_timeout=stop_admission.answer_by(state, call.soft_deadline) - now,
        timeout=stop_admission.answer_by(state, call.deadline) - now,
        tried=tuple(sorted(call.tried)),
        notices=spreading.take_untold(state, now, pending.owner, pending.pool),
        workspace=call.workspace or "",
        workspace_priority=call.workspace_priority,
        regions=call.regions,
        connected=idle_connections.connected_targets(
            state, now, pending.pool, fresh=not call.route.idempotent
        ),
        may_be_trial=not stop_admission.may_outlast(state, call.deadline),
    )
    return owners.send(state, pending.owner, message)


def on_due(
    state: core_state.State, now: float, event: models.PendingRequestDue
) -> Effects:
    """Send a queued request again, or fail over from a silent owner (timer)."""
    pending = state.dispatch.pending_requests.get(event.number)
    if pending is None or pending.timer_generation != event.timer_generation:
        return []
    call = state.forwarding.calls.get(pending.call)
    if call is None:
        del state.dispatch.pending_requests[event.number]
        return []
    if pending.queued:
        left = _leave_queue(state, now, pending)
        return [*left, *_send(state, now, pending, call)]
    return _on_silence(state, now, pending, call)


def _on_silence(
    state: core_state.State,
    now: float,
    pending: models.PendingRequest,
    call: forwarding_models.Call,
) -> Effects:
    silent_owner = pending.owner
    state.dispatch.suspected_until[silent_owner] = now + const.SUSPICION_SECONDS
    home_pools.avoid(state, now, pending.pool)
    emitted: Effects = [
        effects.DisconnectPeer(silent_owner),
        effects.LogEvent(
            "home.silent",
            call.request_id,
            (("service", call.service), ("home", silent_owner)),
        ),
    ]
    if len(pending.tried_owners) >= const.MAX_OWNERS_TRIED:
        pending.owner = state.identity.entry
    else:
        pending.owner = owners.select_owner(
            state, now, pending.pool, pending.tried_owners
        )
    pending.tried_owners.add(pending.owner)
    emitted.extend(_send(state, now, pending, call))
    return emitted


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a reply of an owner; return None for any other message."""
    match message:
        case messages.DispatchQueued():
            emitted = _on_queued(state, now, peer, message)
        case messages.DispatchGranted():
            _merge_notice(state, now, peer, message)
            emitted = _on_granted(state, now, peer, message)
        case messages.DispatchRefused():
            emitted = _on_refused(state, now, peer, message)
        case _:
            return None
    if message.late and peer != state.identity.entry:
        emitted.extend(_relieve(state, now, peer, message.late))
    return emitted


def _relieve(
    state: core_state.State, now: float, owner: str, late: float
) -> Effects:
    """Ask an owner that is late no more, also for requests without a reply."""
    emitted = relief.note(state, now, owner, late)
    if not emitted:
        return []
    for pending in list(state.dispatch.pending_requests.values()):
        call = state.forwarding.calls.get(pending.call)
        if pending.owner != owner or pending.queued or call is None:
            continue
        if _choose_next(state, now, pending):
            emitted.extend(_send(state, now, pending, call))
    return emitted


def _choose_next(
    state: core_state.State, now: float, pending: models.PendingRequest
) -> bool:
    """Choose another owner if that of a request is late; return whether so."""
    home_pools.avoid(state, now, pending.pool)
    owner = owners.select_owner(state, now, pending.pool, set())
    if owner == pending.owner:
        return False
    pending.owner = owner
    pending.tried_owners.add(owner)
    return True


def _leave_queue(
    state: core_state.State, now: float, pending: models.PendingRequest
) -> Effects:
    """Have a queued request go on at another owner if its owner is late."""
    owner = pending.owner
    if not relief.is_late(state, now, owner):
        return []
    if not _choose_next(state, now, pending):
        return []
    unused = messages.DispatchEnded(pending.number, models.Ending.NEUTRAL)
    return owners.send(state, owner, unused)


def _merge_notice(
    state: core_state.State,
    now: float,
    owner: str,
    reply: messages.DispatchGranted,
) -> None:
    if reply.notice is None:
        return
    notice_records.merge(state, now, reply.notice)
    known = notice_records.statement_of(state, now, reply.target)
    if known is None or known.leaving or known.pause:
        return
    if known.cold > 0 and reply.notice.cold <= 0:
        return
    if reply.notice.rate == known.rate:
        spreading.mark_told(state, owner, reply.target)


def _is_counted(
    state: core_state.State, now: float, reply: messages.DispatchGranted
) -> bool:
    """Return whether the owner counted a request for all that is known here.

    An owner of an earlier version counts for named limits alone.
    """
    notice = reply.notice
    if notice is None:
        return False
    is_cold = warmups.active_rate(state, now, reply.target) is not None
    if is_cold and notice.cold <= 0:
        return False
    if notice.rate is not None:
        return True
    return is_cold and notice_records.named_rate(state, reply.target) is None


def _on_queued(
    state: core_state.State,
    now: float,
    peer: str,
    reply: messages.DispatchQueued,
) -> Effects:
    pending = state.dispatch.pending_requests.get(reply.number)
    if pending is None or pending.owner != peer:
        return []
    pending.queued = True
    home_pools.avoid(state, now, pending.pool)
    pending.timer_generation += 1
    if peer == state.identity.entry:
        return []
    due = models.PendingRequestDue(pending.number, pending.timer_generation)
    timers.schedule(state.timers, now + const.QUEUED_RECHECK_SECONDS, due)
    return []


def _on_granted(
    state: core_state.State,
    now: float,
    peer: str,
    reply: messages.DispatchGranted,
) -> Effects:
    # The owner negates the number of a request to grant it a hedge.
    if reply.number < 0:
        return _on_hedge_granted(state, now, peer, reply)
    pending = state.dispatch.pending_requests.get(reply.number)
    if pending is None or pending.owner != peer:
        if pending is None and _is_in_use(state, peer, reply):
            return []
        unused = messages.DispatchEnded(reply.number, models.Ending.NEUTRAL)
        return owners.send(state, peer, unused)
    del state.dispatch.pending_requests[reply.number]
    if reply.outstanding > 0 or reply.late:
        home_pools.avoid(state, now, pending.pool)
    decided = events.DispatchDecided(
        pending.call,
        pending.number,
        peer,
        reply.target,
        log_details=_grant_log_details(reply),
        is_counted=_is_counted(state, now, reply),
    )
    state.pending_events.append(decided)
    return []


def _is_in_use(
    state: core_state.State, owner: str, reply: messages.DispatchGranted
) -> bool:
    """Return whether a grant repeats one under which an attempt runs.

    An owner repeats a grant if a request that waited was sent again at the same
    moment. If it were told that the grant is unused, it would take the slot for
    free, and the next request would wait in the queue of the target.
    """
    return any(
        attempt.dispatch_number == reply.number
        and attempt.owner == owner
        and attempt.target == reply.target
        for attempt in state.forwarding.attempts.values()
    )


def _on_hedge_granted(
    state: core_state.State,
    now: float,
    peer: str,
    reply: messages.DispatchGranted,
) -> Effects:
    """Start a hedge, if the first attempt is still the only one in flight."""
    for attempt in state.forwarding.attempts.values():
        if attempt.dispatch_number != -reply.number or attempt.owner != peer:
            continue
        call = state.forwarding.calls[attempt.call]
        if call.attempts != {attempt.number} or not _may_hedge(call):
            break
        state.pending_events.append(
            events.DispatchDecided(
                call.number,
                reply.number,
                peer,
                reply.target,
                log_details=_grant_log_details(reply),
                is_counted=_is_counted(state, now, reply),
            )
        )
        return []
    unused = messages.DispatchEnded(reply.number, models.Ending.NEUTRAL)
    return owners.send(state, peer, unused)


def _may_hedge(call: forwarding_models.Call) -> bool:
    return (
        call.route.idempotent and call.attempt_count < call.route.max_attempts
    )


def _grant_log_details(
    reply: messages.DispatchGranted,
) -> tuple[tuple[str, float], ...]:
    return (
        ("expected_ms", round(reply.expected_seconds * 1000, 1)),
        ("speed", round(reply.speed, 2)),
        ("speed_age_ms", round(reply.speed_age * 1000, 1)),
        ("held", reply.outstanding),
    )


def _on_refused(
    state: core_state.State,
    now: float,
    peer: str,
    reply: messages.DispatchRefused,
) -> Effects:
    pending = state.dispatch.pending_requests.get(reply.number)
    if pending is None or pending.owner != peer:
        return []
    del state.dispatch.pending_requests[reply.number]
    home_pools.avoid(state, now, pending.pool)
    decided = events.DispatchDecided(
        pending.call,
        pending.number,
        peer,
        None,
        models.Refusal(reply.reason),
        reply.retry_after,
        log_details=(
            ("waiting", reply.waiting),
            ("usable_targets", reply.usable_targets),
            ("work_ms", round(reply.work * 1000, 1)),
            ("limited_targets", reply.limited_targets),
            ("paused_targets", reply.paused_targets),
            ("cold_targets", reply.cold_targets),
        ),
        obstacle=_obstacle_of(reply),
    )
    state.pending_events.append(decided)
    return []


def _obstacle_of(
    reply: messages.DispatchRefused,
) -> notice_models.Obstacle | None:
    """Return what the targets said that left no room for a request."""
    if reply.paused_targets:
        return notice_models.Obstacle.PAUSED
    if reply.limited_targets:
        return notice_models.Obstacle.LIMITED
    if reply.cold_targets:
        return notice_models.Obstacle.COLD
    return None


def cancel_request(state: core_state.State, number: int | None) -> Effects:
    """Cancel the pending request of a call that has ended."""
    if number is None:
        return []
    pending = state.dispatch.pending_requests.pop(number, None)
    if pending is None:
        return []
    unused = messages.DispatchEnded(number, models.Ending.NEUTRAL)
    return owners.send(state, pending.owner, unused)
