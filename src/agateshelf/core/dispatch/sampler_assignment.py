"""Assigns the entry that samples a service's targets in each failure domain.

Tolerates samplers that crash, freeze or are partitioned away: a sampler that
has not reported for `const.SAMPLER_TIMEOUT_SECONDS` is excluded for a while and
replaced by another entry of the failure domain. If none is left, the
dispatcher's own entry samples. See `sampling` for what a sampler does.

Also answers the load of a fleet that starts at once: each entry first sees
itself as the only one and so as the owner of all services. It would have all
targets probed, as many times as there are entries. So a role that nobody else
relies on must have lasted for a while first.
"""

import math

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools
from agateshelf.core.reach import detection

Effects = list[effects.Effect]


def ensure_sampling(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> Effects:
    """Start the sampling of a dispatcher's targets if it is not running."""
    if dispatcher.sampled:
        return []
    dispatcher.sampled = True
    dispatcher.role_since = math.inf
    dispatcher.probes_from = now
    if _needs_own_probes(state, dispatcher):
        # Entries that lose their owner at the same time don't probe at the same
        # time as well.
        delay = fallback_interval(state) * state.rng.random()
        dispatcher.probes_from = now + delay
    return on_due(state, now, models.SamplerCheckDue(dispatcher.pool))


def _needs_own_probes(
    state: core_state.State, dispatcher: models.Dispatcher
) -> bool:
    """Return whether this entry needs probes that nobody else has sent for it.

    While it dispatches as a last resort, its own probes alone tell it whether
    targets are cold.
    """
    if not _needs_probes(state, dispatcher):
        return False
    return not owners.is_owner(state, dispatcher.pool)


def _needs_probes(
    state: core_state.State, dispatcher: models.Dispatcher
) -> bool:
    """Return whether probes tell more of targets than how loaded they are."""
    table = state.routes.table
    if table is None:
        return False
    return pools.service_of(dispatcher.pool) in table.warmups


def on_due(
    state: core_state.State, now: float, event: models.SamplerCheckDue
) -> Effects:
    """Check the samplers of a dispatcher (timer); cancel them if it is idle."""
    dispatcher = state.dispatch.dispatchers.get(event.service)
    if dispatcher is None:
        return []
    if _is_idle(state, now, dispatcher):
        dispatcher.sampled = False
        return _cancel_all(state, dispatcher)
    check_at = now + const.SAMPLER_CHECK_SECONDS
    if dispatcher.probes_from > now:
        check_at = min(check_at, dispatcher.probes_from)
    timers.schedule(state.timers, check_at, event)
    if not _has_settled(state, now, dispatcher):
        return []
    domains = {
        t.registration.failure_domain for t in dispatcher.targets.values()
    }
    emitted: Effects = []
    for domain in sorted(domains):
        emitted.extend(_check_sampler(state, now, dispatcher, domain))
    return emitted


def _is_idle(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> bool:
    is_current = pools.is_current(state, dispatcher.pool)
    if is_current and owners.is_owner(state, dispatcher.pool):
        return False
    return now - dispatcher.last_request_at > const.IDLE_AFTER_SECONDS


def _has_settled(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> bool:
    """Return whether this entry's role for a service is likely to last."""
    is_owner = owners.is_owner(state, dispatcher.pool)
    if is_owner != dispatcher.is_owner or math.isinf(dispatcher.role_since):
        dispatcher.is_owner = is_owner
        dispatcher.role_since = now
    if now - dispatcher.last_peer_request_at <= const.IDLE_AFTER_SECONDS:
        return True
    if _needs_own_probes(state, dispatcher):
        # Requests of other entries follow at a successor.
        ranking = owners.owner_ranking(state, dispatcher.pool)
        is_successor = ranking[1:2] == (state.identity.entry,)
        return is_successor or now >= dispatcher.probes_from
    return now - dispatcher.role_since >= const.ROLE_SETTLED_SECONDS


def _cancel_all(
    state: core_state.State, dispatcher: models.Dispatcher
) -> Effects:
    emitted: Effects = []
    for domain, assignment in dispatcher.samplers.items():
        emitted.extend(
            _subscribe(
                state, dispatcher, domain, assignment.entry, duration=0.0
            )
        )
    dispatcher.samplers.clear()
    return emitted


def _check_sampler(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    domain: str,
) -> Effects:
    assignment = dispatcher.samplers.get(domain)
    if (
        assignment is not None
        and now - assignment.last_report_at > const.SAMPLER_TIMEOUT_SECONDS
    ):
        dispatcher.excluded_samplers[assignment.entry] = (
            now + const.SUSPICION_SECONDS
        )
    chosen = _select_sampler(state, now, dispatcher, domain)
    emitted: Effects = []
    if assignment is None or assignment.entry != chosen:
        if assignment is not None:
            emitted.extend(
                _subscribe(
                    state, dispatcher, domain, assignment.entry, duration=0.0
                )
            )
        assignment = models.SamplerAssignment(chosen, last_report_at=now)
        dispatcher.samplers[domain] = assignment
    skipped = _skipped_targets(dispatcher, now, domain)
    if now >= assignment.renew_at or skipped != assignment.skipped:
        assignment.renew_at = now + const.SUBSCRIPTION_RENEW_SECONDS
        assignment.skipped = skipped
        duration = const.IDLE_AFTER_SECONDS
        emitted.extend(
            _subscribe(
                state,
                dispatcher,
                domain,
                chosen,
                duration=duration,
                skipped=skipped,
            )
        )
    return emitted


def _skipped_targets(
    dispatcher: models.Dispatcher, now: float, domain: str
) -> tuple[str, ...]:
    """Return the targets of a failure domain that must not be probed."""
    return tuple(
        sorted(
            name
            for name in dispatcher.restricted
            if (target := dispatcher.targets.get(name)) is not None
            and target.registration.failure_domain == domain
            and (target.leaving or now < target.paused_until)
        )
    )


def _select_sampler(
    state: core_state.State,
    now: float,
    dispatcher: models.Dispatcher,
    domain: str,
) -> str:
    """Return the entry to sample a failure domain.

    The dispatcher's own entry comes last, since it has the highest load. Where
    probes tell which targets are cold, entries that are cut off from these are
    left out. If this entry is cut off as well, one of any failure domain is
    chosen.
    """
    own_entry = state.identity.entry
    if not _serves_other_entries(state, now, dispatcher):
        return own_entry
    service = pools.service_of(dispatcher.pool)
    needs_probes = _needs_probes(state, dispatcher)

    def may_sample(entry: str) -> bool:
        if entry == own_entry:
            return False
        if dispatcher.excluded_samplers.get(entry, 0.0) > now:
            return False
        cut = state.reach.cut_peers.get(entry, ())
        return not (needs_probes and service in cut)

    ranking = owners.sampler_ranking(state, dispatcher.pool, domain)
    if needs_probes and detection.is_cut(state, service):
        ranking += owners.owner_ranking(state, dispatcher.pool)
    return next((one for one in ranking if may_sample(one)), own_entry)


def _serves_other_entries(
    state: core_state.State, now: float, dispatcher: models.Dispatcher
) -> bool:
    """Return whether a dispatcher serves requests of other entries."""
    if owners.is_owner(state, dispatcher.pool):
        return True
    return now - dispatcher.last_peer_request_at <= const.IDLE_AFTER_SECONDS


def _subscribe(
    state: core_state.State,
    dispatcher: models.Dispatcher,
    domain: str,
    entry: str,
    *,
    duration: float,
    skipped: tuple[str, ...] = (),
) -> Effects:
    interval = probe_interval(state.dispatch.bounds)
    if (
        not owners.is_owner(state, dispatcher.pool)
        and entry == state.identity.entry
    ):
        interval = fallback_interval(state)
    subscription = messages.LoadSubscription(
        dispatcher.pool, domain, duration, interval, skipped
    )
    return owners.send(state, entry, subscription)


def fallback_interval(state: core_state.State) -> float:
    """Return the seconds between two probes of a target without an owner.

    All entries that reach no owner together probe as much as two owners.
    """
    interval = probe_interval(state.dispatch.bounds)
    entries = len(state.membership.failure_domains)
    return interval * max(1.0, entries / const.FALLBACK_OWNERS_EQUIVALENT)


def probe_interval(bounds: models.Bounds) -> float:
    """Return the seconds between two probes of a target by one sampler."""
    allowed = const.SAMPLER_PROBE_SHARE * bounds.probes_per_second
    return max(const.PROBE_INTERVAL_SECONDS, 1.0 / max(allowed, 0.01))


def on_report(
    dispatcher: models.Dispatcher,
    now: float,
    peer: str,
    report: messages.LoadReport,
) -> None:
    """Record that an assigned sampler is alive."""
    assignment = dispatcher.samplers.get(report.failure_domain)
    if assignment is not None and assignment.entry == peer:
        assignment.last_report_at = now
