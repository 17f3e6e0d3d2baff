"""Entries lend each other the parts of callers' rates that they do not need.

The platform's balancer spreads a caller's calls unevenly, so one entry's part
runs short while others lie idle. The one that is short asks all others, in one
batched message; each leaves it a part of what it does not need, for a second.
The loan's end is counted from the moment of the request by the borrower's own
clock, and from the later moment of the answer by the lender's, so clocks need
not agree and a late answer is only a shorter loan.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.limits import const
from agateshelf.core.limits import messages
from agateshelf.core.limits import models
from agateshelf.core.limits import rates as limit_rates

Effects = list[effects.Effect]


def plan_request(state: core_state.State, now: float) -> None:
    """Have a request for loans sent soon if any part is short."""
    rates = state.limits.rates
    if not rates.wanting or rates.ask_at is not None or not rates.peers:
        return
    rates.ask_at = max(
        now + const.ASK_BATCH_SECONDS, rates.asked_at + const.ASK_SECONDS
    )
    timers.schedule(state.timers, rates.ask_at, events.RateLoansDue())


def on_due(state: core_state.State, now: float) -> Effects:
    """Ask the other entries for what is short, in one message to each."""
    rates = state.limits.rates
    rates.ask_at = None
    rates.asked_at = now
    peers = rates.peers or ()
    wanted = [
        _want(rates, key, len(peers), now) for key in sorted(rates.wanting)
    ]
    rates.wanting.clear()
    parts = tuple(part for part in wanted if part is not None)
    if not peers or not parts:
        return []
    parts = parts[: const.WANTS_PER_MESSAGE]
    return [effects.SendToPeers(peers, messages.PartsWanted(now, parts))]


def _want(
    rates: models.RatesState, key: models.ShareKey, peers: int, now: float
) -> messages.Part | None:
    part = rates.parts.get(key)
    if part is None or peers == 0:
        return None
    needed = limit_rates.demand_of(part, now) * const.DEMAND_HEADROOM
    missing = min(needed, part.rate) - limit_rates.owned(rates, part)
    missing += limit_rates.lent_out(part, now)
    if missing <= 0:
        return None
    return messages.Part(*key, missing * const.ASKED_OF_EACH / peers)


def on_message(
    state: core_state.State, now: float, event: events.PeerMessageReceived
) -> Effects | None:
    """Handle a message about rates; None if it is about something else."""
    match event.message:
        case messages.PartsWanted() as wanted:
            return _lend(state.limits.rates, now, event.peer, wanted)
        case messages.PartsLent() as lent:
            _borrow(state.limits.rates, now, event.peer, lent)
            return []
        case _:
            return None


def _lend(
    rates: models.RatesState,
    now: float,
    peer: str,
    wanted: messages.PartsWanted,
) -> Effects:
    lent: list[messages.Part] = []
    for want in wanted.parts:
        part = rates.parts.get((want.service, want.share))
        if part is None or peer not in (rates.peers or ()):
            continue
        part.wanted[peer] = (want.rate, now)
        rate = _spare_for(rates, part, peer, now)
        if rate <= 0:
            continue
        _count_out(rates, part, peer, rate, now, wanted.asked_at)
        lent.append(messages.Part(want.service, want.share, rate))
    if not lent:
        return []
    answer = messages.PartsLent(wanted.asked_at, tuple(lent))
    return [effects.SendToPeers((peer,), answer)]


def _spare_for(
    rates: models.RatesState, part: models.RatePart, peer: str, now: float
) -> float:
    """Return what a borrower may have of what is not needed here.

    Borrowers of the same part get it in proportion to what they want.
    """
    own = limit_rates.owned(rates, part)
    needed = limit_rates.demand_of(part, now) * const.DEMAND_HEADROOM
    kept = max(own * const.KEPT_SHARE, needed)
    _forget_old_wants(part, now)
    want = part.wanted[peer][0]
    wants = sum(rate for rate, _ in part.wanted.values())
    others = limit_rates.lent_out(part, now)
    others -= limit_rates.lent_to(part, peer, now)
    fair = (own - kept) * want / wants
    return min(want, fair, own - kept - others)


def _forget_old_wants(part: models.RatePart, now: float) -> None:
    oldest = now - const.LOAN_SECONDS
    for peer, (_, at) in list(part.wanted.items()):
        if at < oldest:
            del part.wanted[peer]


def _count_out(
    rates: models.RatesState,
    part: models.RatePart,
    peer: str,
    rate: float,
    now: float,
    asked_at: float,
) -> None:
    """Count a loan out before the borrower hears of it."""
    limit_rates.refill(rates, part, now)
    until = now + const.LOAN_SECONDS + const.LOAN_MARGIN_SECONDS
    loans = [loan for loan in part.lent.get(peer, ()) if loan.until > now]
    loans.append(models.Loan(rate, until, asked_at))
    part.lent[peer] = loans
    part.tokens = min(part.tokens, limit_rates.burst_of(rates, part, now))


def _borrow(
    rates: models.RatesState,
    now: float,
    peer: str,
    lent: messages.PartsLent,
) -> None:
    until = lent.asked_at + const.LOAN_SECONDS
    for loan in lent.parts:
        part = rates.parts.get((loan.service, loan.share))
        if part is None:
            continue
        known = part.borrowed.get(peer)
        if known is not None and known.asked_at >= lent.asked_at:
            continue
        limit_rates.refill(rates, part, now)
        part.borrowed[peer] = models.Loan(loan.rate, until, lent.asked_at)


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Follow the list of live entries."""
    rates = state.limits.rates
    for part in rates.parts.values():
        limit_rates.refill(rates, part, now)
    own = state.identity.entry
    rates.peers = tuple(e.id for e in event.entries if e.id != own)
    for part in rates.parts.values():
        _forget_strangers(part, rates.peers)


def _forget_strangers(part: models.RatePart, peers: tuple[str, ...]) -> None:
    """Forget loans from entries that are gone; what was lent only lapses."""
    for peer in set(part.borrowed) - set(peers):
        del part.borrowed[peer]
