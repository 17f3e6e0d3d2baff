"""Assigns the entry that samples a service's targets in each failure domain.

Tolerates samplers that crash, freeze or are partitioned away: a sampler that
has not reported for more than three rounds of probes is excluded for a while
and replaced by another entry of the failure domain. If none is left, the
dispatcher's own entry samples.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners

Effects = list[effects.Effect]


def ensure_sampling(
    state: core_state.State, now: float, desk: models.Dispatcher
) -> Effects:
    """Start the sampling of a dispatcher's targets if it is not running."""
    if desk.sampled:
        return []
    desk.sampled = True
    return on_due(state, now, models.SamplerCheckDue(desk.service))


def on_due(
    state: core_state.State, now: float, event: models.SamplerCheckDue
) -> Effects:
    """Check the samplers of a dispatcher; stop them if it is idle."""
    desk = state.dispatch.dispatchers.get(event.service)
    if desk is None:
        return []
    if _is_idle(state, now, desk):
        desk.sampled = False
        return _end(state, desk)
    timers.schedule(state.timers, now + const.SAMPLER_CHECK_SECONDS, event)
    domains = {t.registration.failure_domain for t in desk.targets.values()}
    done: Effects = []
    for domain in sorted(domains):
        done.extend(_keep(state, now, desk, domain))
    return done


def _is_idle(
    state: core_state.State, now: float, desk: models.Dispatcher
) -> bool:
    if owners.is_owner(state, desk.service):
        return False
    return now - desk.last_request_at > const.IDLE_AFTER_SECONDS


def _end(state: core_state.State, desk: models.Dispatcher) -> Effects:
    done: Effects = []
    for domain, seat in desk.samplers.items():
        done.extend(_want(state, desk, domain, seat.entry, seconds=0.0))
    desk.samplers.clear()
    return done


def _keep(
    state: core_state.State, now: float, desk: models.Dispatcher, domain: str
) -> Effects:
    seat = desk.samplers.get(domain)
    if (
        seat is not None
        and now - seat.last_report_at > const.SAMPLER_TIMEOUT_SECONDS
    ):
        desk.excluded_samplers[seat.entry] = now + const.SUSPICION_SECONDS
    chosen = _choose(state, now, desk, domain)
    done: Effects = []
    if seat is None or seat.entry != chosen:
        if seat is not None:
            done.extend(_want(state, desk, domain, seat.entry, seconds=0.0))
        seat = models.SamplerAssignment(chosen, last_report_at=now)
        desk.samplers[domain] = seat
    if now >= seat.renew_at:
        seat.renew_at = now + const.SUBSCRIPTION_RENEW_SECONDS
        lasts = const.IDLE_AFTER_SECONDS
        done.extend(_want(state, desk, domain, chosen, seconds=lasts))
    return done


def _choose(
    state: core_state.State, now: float, desk: models.Dispatcher, domain: str
) -> str:
    """Return the entry to sample a failure domain.

    The dispatcher's own entry comes last, since it has the highest load.
    """
    me = state.identity.entry
    if not _is_for_others(state, now, desk):
        return me
    for entry in owners.sampler_ranking(state, desk.service, domain):
        if entry != me and desk.excluded_samplers.get(entry, 0.0) <= now:
            return entry
    return me


def _is_for_others(
    state: core_state.State, now: float, desk: models.Dispatcher
) -> bool:
    """Return whether a dispatcher serves requests of other entries."""
    if owners.is_owner(state, desk.service):
        return True
    return now - desk.last_peer_request_at <= const.IDLE_AFTER_SECONDS


def _want(
    state: core_state.State,
    desk: models.Dispatcher,
    domain: str,
    entry: str,
    *,
    seconds: float,
) -> Effects:
    every = probe_interval(state.dispatch.bounds)
    if (
        not owners.is_owner(state, desk.service)
        and entry == state.identity.entry
    ):
        # All entries that reach no owner together probe as much as two owners.
        every *= max(
            1.0,
            len(state.membership.failure_domains)
            / const.FALLBACK_OWNERS_EQUIVALENT,
        )
    wanted = messages.LoadSubscription(desk.service, domain, seconds, every)
    return owners.send(state, entry, wanted)


def probe_interval(bounds: models.Bounds) -> float:
    """Return the seconds between two probes of a target by one sampler."""
    allowed = const.SAMPLER_PROBE_SHARE * bounds.probes_per_second
    return max(const.PROBE_INTERVAL_SECONDS, 1.0 / max(allowed, 0.01))


def on_report(
    desk: models.Dispatcher, now: float, peer: str, told: messages.LoadReport
) -> None:
    """Record that an assigned sampler is alive."""
    seat = desk.samplers.get(told.failure_domain)
    if seat is not None and seat.entry == peer:
        seat.last_report_at = now
