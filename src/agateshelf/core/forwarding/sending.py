"""Sends granted calls to their targets, or returns the grants unused."""

import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import idle_connections
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.dispatch import requester
from agateshelf.core.feed import proof
from agateshelf.core.feed import relaying
from agateshelf.core.forwarding import const
from agateshelf.core.forwarding import finishing
from agateshelf.core.forwarding import models
from agateshelf.core.forwarding import refusals
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.core.poison import models as poison_models
from agateshelf.core.poison import sends
from agateshelf.core.quotas import requesting as quotas
from agateshelf.core.reach import detection
from agateshelf.core.reach import relays
from agateshelf.core.regions import refusals as region_refusals
from agateshelf.core.stopping import admission as stop_admission
from agateshelf.core.target_notices import gate
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import spreading
from agateshelf.core.workspaces import checking as workspace_checks

Effects = list[effects.Effect]

# Obstacles that an owner of an earlier build goes on to disregard, so that this
# entry then decides for itself. Named limits, warm-ups and pauses are not among
# them: what it would decide alone is limited to the same small share.
_UNKNOWN_TO_EARLIER = frozenset(
    {notice_models.Obstacle.EVACUATED, notice_models.Obstacle.OUT_OF_REGION}
)


def on_dispatch_decided(
    state: core_state.State, now: float, event: events.DispatchDecided
) -> Effects:
    """Start an attempt at the granted target, or refuse the call."""
    call = state.forwarding.calls.get(event.call)
    if call is None:
        return finishing.release_grant(
            state, event, dispatch_models.Ending.NEUTRAL
        )
    is_hedge = event.dispatch_number < 0
    if not is_hedge:
        call.dispatch_number = None
    if event.target is None:
        return _on_dispatch_refused(state, now, call, event)
    registration = state.directory.targets.get(event.target)
    if registration is None or registration.draining:
        emitted = finishing.release_grant(
            state, event, dispatch_models.Ending.MISPLACED
        )
        if is_hedge:
            return emitted
        return [*emitted, *requester.request_dispatch(state, now, call)]
    if not is_hedge and quotas.is_outdated(state, now, call):
        call.held_grant = event
        return quotas.ask(state, now, call) or []
    refusal = workspace_checks.check_send(state, now, call)
    if refusal is None and is_too_late(state, now, call):
        refusal = refusals.stopping(call)
    if refusal is not None:
        return _refuse_granted(state, now, call, event, refusal)
    obstacle = gate.check_send(
        state,
        now,
        event.target,
        is_counted=event.is_counted,
        regions=call.regions,
    )
    if obstacle is not None:
        return _decline_grant(state, now, call, event, obstacle)
    refusal = sends.start(
        state,
        now,
        send_of(call, registration, state.forwarding.last_attempt + 1, now),
        verdicts.outcome_of(call.verdict, in_flight=bool(call.attempts)),
    )
    if refusal is not None:
        return _refuse_granted(state, now, call, event, refusal)
    return start_attempt(state, now, call, registration, event)


def is_too_late(state: core_state.State, now: float, call: models.Call) -> bool:
    """Return whether the stop of this entry leaves no time for a send.

    An idempotent request can be sent again, should it be broken off.
    """
    if call.route.idempotent:
        return False
    return stop_admission.is_too_late(state, now, call.deadline)


def _refuse_granted(
    state: core_state.State,
    now: float,
    call: models.Call,
    event: events.DispatchDecided,
    refusal: outcome_models.Refusal,
) -> Effects:
    """Return a grant unused, and refuse the call if nothing else runs."""
    emitted = finishing.release_grant(
        state, event, dispatch_models.Ending.NEUTRAL
    )
    if call.attempts:
        return emitted
    return [*emitted, *finishing.give_up(state, now, call, refusal)]


def _decline_grant(
    state: core_state.State,
    now: float,
    call: models.Call,
    event: events.DispatchDecided,
    obstacle: notice_models.Obstacle,
) -> Effects:
    """Tell the owner what its targets said and ask it again, a few times."""
    spreading.mark_untold(state, event.owner)
    notice = notice_records.statement_of(state, now, event.target or "")
    emitted = finishing.release_grant(
        state, event, dispatch_models.Ending.NEUTRAL, notice
    )
    details = (
        ("target", event.target),
        ("home", event.owner),
        ("reason", obstacle.value),
    )
    emitted.append(effects.LogEvent("grant.declined", call.request_id, details))
    if obstacle is notice_models.Obstacle.EVACUATED:
        emitted.extend(relaying.tell_evacuations(state, now, event.owner))
    if call.attempts:
        return emitted
    call.declined_grants += 1
    if call.declined_grants <= _most_declined_grants(obstacle):
        return [*emitted, *requester.request_dispatch(state, now, call)]
    if obstacle in _UNKNOWN_TO_EARLIER and event.owner != state.identity.entry:
        alone = requester.request_dispatch(state, now, call, is_alone=True)
        return [*emitted, *alone]
    retry_after = const.RETRY_AFTER_SECONDS
    if obstacle is notice_models.Obstacle.OUT_OF_REGION:
        retry_after = region_refusals.jitter(retry_after, state.rng)
    refusal = refusals.no_room(call, obstacle, retry_after)
    return [*emitted, *finishing.give_up(state, now, call, refusal)]


def _most_declined_grants(obstacle: notice_models.Obstacle) -> int:
    match obstacle:
        case notice_models.Obstacle.EVACUATED:
            return const.MAX_DECLINED_EVACUATED_GRANTS
        case notice_models.Obstacle.COLD:
            return const.MAX_DECLINED_COLD_GRANTS
        case _:
            return const.MAX_DECLINED_GRANTS


def start_attempt(
    state: core_state.State,
    now: float,
    call: models.Call,
    registration: directory_models.Registration,
    event: events.DispatchDecided,
) -> Effects:
    """Start an attempt, through a relay if this entry reaches no target."""
    state.forwarding.last_attempt += 1
    attempt = models.Attempt(
        number=state.forwarding.last_attempt,
        call=call.number,
        target=registration.id,
        started=now,
        owner=event.owner,
        dispatch_number=event.dispatch_number,
    )
    if detection.is_cut(state, call.service):
        relay = relays.choose(state, now, call.service, set(), call.regions)
        if relay is not None:
            use_relay(state, attempt, relay)
        elif detection.tries_directly(state, call.service):
            return _refuse_cut_off(state, now, call, event, attempt)
    state.forwarding.attempts[attempt.number] = attempt
    call.attempts.add(attempt.number)
    call.tried.add(registration.id)
    call.attempt_count += 1
    repeated = call.attempt_count > 1
    aim_left = call.soft_deadline - now
    return [
        start_effect(state, now, call, attempt, registration),
        *(quotas.report(state, now, call) if repeated else ()),
        effects.LogEvent(
            "attempt.started",
            call.request_id,
            (
                ("attempt", attempt.number),
                ("service", call.service),
                ("target", registration.id),
                ("home", event.owner),
                ("relay", attempt.relay),
                ("relayed_for", call.relayed_for),
                ("send", call.attempt_count),
                ("waited_ms", finishing.to_milliseconds(now - call.arrived)),
                ("aim_left_ms", finishing.to_milliseconds(aim_left)),
                *event.log_details,
                ("registration_revision", registration.revision),
            ),
        ),
    ]


def start_effect(
    state: core_state.State,
    now: float,
    call: models.Call,
    attempt: models.Attempt,
    registration: directory_models.Registration,
) -> effects.StartAttempt:
    """Return the effect that starts an attempt, from here or by a relay."""
    relay = relays.address_of(state, attempt.relay) if attempt.relay else ""
    fresh = not call.route.idempotent
    if not relay:
        detection.watch_silence(state, now, call.service)
        idle_connections.take(state, now, registration, fresh=fresh)
    return effects.StartAttempt(
        call=call.number,
        attempt=attempt.number,
        target=registration.id,
        address=registration.address,
        timeout=call.deadline - now,
        fresh=fresh,
        no_retry=False,
        relay=relay,
        workspace=call.workspace,
        not_after=proof.valid_until(state) if call.workspace else math.inf,
        # The entry that relays the call may leave out as much of its own wait,
        # and the target must not be given both.
        told_less=call.uncounted_wait if call.relayed_for else 0.0,
    )


def use_relay(
    state: core_state.State, attempt: models.Attempt, relay: str
) -> None:
    """Give an attempt to a relay, which looks for crashes of its target."""
    attempt.relay = relay
    attempt.relays_tried.add(relay)
    relays.on_started(state, relay)
    sends.forget(state, attempt.number)


def _refuse_cut_off(
    state: core_state.State,
    now: float,
    call: models.Call,
    event: events.DispatchDecided,
    attempt: models.Attempt,
) -> Effects:
    """Refuse a granted call at once that nobody can send."""
    sends.forget(state, attempt.number)
    refusal = refusals.cut_off(call)
    return _refuse_granted(state, now, call, event, refusal)


def send_of(
    call: models.Call,
    registration: directory_models.Registration,
    attempt: int,
    now: float,
) -> poison_models.Send:
    """Return the record of a send, by which crashes are recognised."""
    return poison_models.Send(
        attempt=attempt,
        request_id=call.request_id,
        fingerprint=call.fingerprint,
        caller=call.caller,
        target=registration.id,
        address=registration.address,
        sent_at=now,
        crash_limit=const.POISON_CRASHES,
        born=registration.born,
        revision=registration.revision,
    )


def _on_dispatch_refused(
    state: core_state.State,
    now: float,
    call: models.Call,
    event: events.DispatchDecided,
) -> Effects:
    if call.attempts:
        return []
    refusal = refusals.not_granted(call, event.reason, event.retry_after)
    if event.reason is dispatch_models.Refusal.TOO_LATE and (
        stop_admission.may_outlast(state, call.deadline)
    ):
        refusal = refusals.stopping(call)
    if event.obstacle is not None:
        refusal = refusals.no_room(call, event.obstacle, event.retry_after)
    return finishing.give_up(state, now, call, refusal, event.log_details)
