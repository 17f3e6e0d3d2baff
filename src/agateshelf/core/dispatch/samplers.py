"""Which entry samples a desk's targets in each failure domain.

Answers samplers that die, freeze or are cut off: a sampler that has not been
heard of for a few rounds is passed over for a while, and another entry of the
domain takes its place; where none is left, the desk's own entry samples.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import homes
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models

Effects = list[effects.Effect]


def begin(state: core_state.State, now: float, desk: models.Desk) -> Effects:
    """Have a desk's targets sampled, unless they are."""
    if desk.sampled:
        return []
    desk.sampled = True
    return on_due(state, now, models.SamplersDue(desk.service))


def on_due(
    state: core_state.State, now: float, event: models.SamplersDue
) -> Effects:
    """Look after the samplers of a desk, or end the sampling."""
    desk = state.dispatch.desks.get(event.service)
    if desk is None:
        return []
    if _is_idle(state, now, desk):
        desk.sampled = False
        return _end(state, desk)
    timers.schedule(state.timers, now + const.SAMPLERS_SECONDS, event)
    domains = {t.registration.failure_domain for t in desk.targets.values()}
    done: Effects = []
    for domain in sorted(domains):
        done.extend(_keep(state, now, desk, domain))
    return done


def _is_idle(state: core_state.State, now: float, desk: models.Desk) -> bool:
    if homes.is_home(state, desk.service):
        return False
    return now - desk.asked_at > const.IDLE_AFTER_SECONDS


def _end(state: core_state.State, desk: models.Desk) -> Effects:
    done: Effects = []
    for domain, seat in desk.seats.items():
        done.extend(_want(state, desk, domain, seat.entry, seconds=0.0))
    desk.seats.clear()
    return done


def _keep(
    state: core_state.State, now: float, desk: models.Desk, domain: str
) -> Effects:
    seat = desk.seats.get(domain)
    if seat is not None and now - seat.heard_at > const.SAMPLER_SILENCE_SECONDS:
        desk.quiet[seat.entry] = now + const.SUSPICION_SECONDS
    chosen = _choose(state, now, desk, domain)
    done: Effects = []
    if seat is None or seat.entry != chosen:
        if seat is not None:
            done.extend(_want(state, desk, domain, seat.entry, seconds=0.0))
        seat = models.Seat(chosen, heard_at=now)
        desk.seats[domain] = seat
    if now >= seat.renew_at:
        seat.renew_at = now + const.RENEW_SECONDS
        lasts = const.IDLE_AFTER_SECONDS
        done.extend(_want(state, desk, domain, chosen, seconds=lasts))
    return done


def _choose(
    state: core_state.State, now: float, desk: models.Desk, domain: str
) -> str:
    """Return the sampler of a failure domain.

    The desk's own entry comes last: it has the most to do.
    """
    me = state.identity.entry
    if not _is_for_others(state, now, desk):
        return me
    for entry in homes.sampling_order(state, desk.service, domain):
        if entry != me and desk.quiet.get(entry, 0.0) <= now:
            return entry
    return me


def _is_for_others(
    state: core_state.State, now: float, desk: models.Desk
) -> bool:
    """Return whether a desk places the requests of other entries."""
    if homes.is_home(state, desk.service):
        return True
    return now - desk.asked_by_others_at <= const.IDLE_AFTER_SECONDS


def _want(
    state: core_state.State,
    desk: models.Desk,
    domain: str,
    entry: str,
    *,
    seconds: float,
) -> Effects:
    every = interval(state.dispatch.bounds)
    if not homes.is_home(state, desk.service) and entry == state.identity.entry:
        # All entries that reach no home count as two of them.
        every *= max(
            1.0,
            len(state.membership.failure_domains) / const.STRANGERS_AS_HOMES,
        )
    wanted = messages.LoadsWanted(desk.service, domain, seconds, every)
    return homes.tell(state, entry, wanted)


def interval(bounds: models.Bounds) -> float:
    """Return the seconds between two probes of a target."""
    allowed = const.PROBE_SHARE * bounds.probes_per_second
    return max(const.PROBE_SECONDS, 1.0 / max(allowed, 0.01))


def on_heard(
    desk: models.Desk, now: float, peer: str, told: messages.LoadsTold
) -> None:
    """Note that a sampler is there."""
    seat = desk.seats.get(told.failure_domain)
    if seat is not None and seat.entry == peer:
        seat.heard_at = now
