"""Applies to a dispatcher's targets what these said of themselves."""

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const as dispatch_const
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import pools
from agateshelf.core.dispatch import sampler_assignment
from agateshelf.core.dispatch import scheduling
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.target_notices import pacing
from agateshelf.core.target_notices import records
from agateshelf.core.target_notices import sharing
from agateshelf.core.target_notices import warmups


def update(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> None:
    """Mark the targets that leave or pause, and set the paces of limited ones.

    Targets of evacuated failure domains count as absent. A pace follows from
    the target's limit or warm-up and this entry's share of it. Nothing but time
    changes paces between two full decisions, so they are not set at each
    decision.
    """
    if dispatcher.evacuated is not state.evacuation.active:
        dispatcher.evacuated = state.evacuation.active
        scheduling.require_full_decision(dispatcher)
    dispatcher.is_reduced = bool(dispatcher.evacuated) and any(
        target.registration.failure_domain in dispatcher.evacuated
        for target in dispatcher.targets.values()
    )
    role = sharing.role_of(state, dispatcher.pool)
    has_new_role = role is not dispatcher.role
    if has_new_role:
        dispatcher.role = role
        dispatcher.role_at = now
    is_marked = dispatcher.notices_seen != state.target_notices.changes
    if is_marked:
        dispatcher.notices_seen = state.target_notices.changes
        _mark(state, now, dispatcher)
        scheduling.require_full_decision(dispatcher)
    may_doubt = _may_doubt(state, now, dispatcher, role)
    if not (dispatcher.paced or may_doubt):
        return
    age = now - dispatcher.paced_at
    if has_new_role or is_marked or age >= dispatch_const.FULL_DECISION_SECONDS:
        is_idle = age > const.FALLBACK_IDLE_SECONDS
        starts_anew = has_new_role or (
            is_idle and role is not notice_models.Role.OWNER
        )
        doubtful: set[str] = set()
        if may_doubt:
            doubtful = _doubtful_targets(state, now, dispatcher)
        _set_paces(
            state, now, dispatcher, role, doubtful, starts_anew=starts_anew
        )


def _mark(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> None:
    known = state.target_notices.records
    for name in dispatcher.restricted | known.keys():
        target = dispatcher.targets.get(name)
        if target is None:
            continue
        record = known.get(name) or notice_models.Record(0)
        target.leaving = record.leaving
        if record.paused_until > target.paused_until:
            target.resuming = True
        target.paused_until = record.paused_until
        if warmups.warmup_of(state, name) is not None:
            target.warm_at = record.cold_until
        if records.active_rate(state, now, name) is None:
            target.pace = None
    dispatcher.restricted = dispatcher.targets.keys() & known.keys()
    dispatcher.paced = {
        name
        for name in dispatcher.restricted
        if records.active_rate(state, now, name) is not None
    }


def _may_doubt(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    role: notice_models.Role,
) -> bool:
    """Return whether targets may be cold without this entry knowing.

    That is so for entries that dispatch as a last resort since they are cut
    off: nobody samples the targets for them. Owners and successors have reports
    within 0.1 s. An entry that hears from the reader of its failure domain has
    current registrations; its owner is merely slow, and hardly any others
    dispatch beside it.
    """
    table = state.routes.table
    if table is None or not table.warmups:
        return False
    if pools.service_of(dispatcher.pool) not in table.warmups:
        return False
    if sharing.is_isolated(state):
        return True
    if role is not notice_models.Role.OTHER:
        return False
    return now - state.feed.synced_at > const.FEED_SILENCE_SECONDS


def _doubtful_targets(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> set[str]:
    """Return the targets that no recent probe of this entry was answered by."""
    valid = max(
        const.PROBE_VALID_SECONDS,
        const.PROBES_MISSED * sampler_assignment.fallback_interval(state),
    )
    return {
        name
        for name, target in dispatcher.targets.items()
        if now - target.probed_at > valid
    }


def _set_paces(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    role: notice_models.Role,
    doubtful: set[str],
    *,
    starts_anew: bool,
) -> None:
    settled_at = dispatcher.role_at + const.OWNER_SETTLED_SECONDS
    shares = sharing.shares_of(state, now, role, is_settled=now >= settled_at)
    dispatcher.paced_at = now
    # In order, as new paces draw random numbers.
    for name in sorted(dispatcher.paced | doubtful):
        target = dispatcher.targets.get(name)
        if target is None:
            continue
        allowance = sharing.allowance_of(
            state, now, name, shares, may_be_cold=name in doubtful
        )
        if allowance is None:
            # Its warm-up is over, so that it has all its slots at once.
            target.pace = None
            dispatcher.paced.discard(name)
            scheduling.require_full_decision(dispatcher)
            continue
        dispatcher.paced.add(name)
        if target.pace is None:
            target.pace = pacing.create_pace(now, allowance)
            pacing.start_anew(target.pace, sharing.draw_phase(state))
        pacing.set_rate(target.pace, now, allowance)
        target.is_cold = allowance.is_cold
        if starts_anew:
            pacing.start_anew(target.pace, sharing.draw_phase(state))
