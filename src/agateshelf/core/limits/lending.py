"""Lending of unused rate allowance between entries.

The platform's load balancer spreads a caller's calls unevenly, so that one
entry exhausts its part of the caller's rate while others have some to spare.
An entry that runs short requests loans from all other entries in one batched
message; each of them lends part of what it does not need for LOAN_SECONDS.
The borrower counts that time from its request by its own clock, the lender from
its later reply by its own. Clocks need not agree, and a late reply only
shortens the loan.
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
    """Schedule a request for loans if the allowance of any share is short."""
    rates = state.limits.rates
    if not rates.wanting or rates.ask_at is not None or not rates.peers:
        return
    rates.ask_at = max(
        now + const.ASK_BATCH_SECONDS, rates.asked_at + const.ASK_SECONDS
    )
    timers.schedule(state.timers, rates.ask_at, events.RateLoansDue())


def on_due(state: core_state.State, now: float) -> Effects:
    """Request loans for all short shares, in one message to each entry."""
    rates = state.limits.rates
    rates.ask_at = None
    rates.asked_at = now
    peers = rates.peers or ()
    found = [
        _want(rates, key, len(peers), now) for key in sorted(rates.wanting)
    ]
    rates.wanting.clear()
    amounts = tuple(amount for amount in found if amount is not None)
    if not peers or not amounts:
        return []
    amounts = amounts[: const.WANTS_PER_MESSAGE]
    return [effects.SendToPeers(peers, messages.RateLoanRequest(now, amounts))]


def _want(
    rates: models.RatesState, key: models.ShareKey, peers: int, now: float
) -> messages.RateAmount | None:
    limiter = rates.parts.get(key)
    if limiter is None or peers == 0:
        return None
    needed = limit_rates.demand_of(limiter, now) * const.DEMAND_HEADROOM
    missing = min(needed, limiter.rate) - limit_rates.owned(rates, limiter)
    missing += limit_rates.lent_out(limiter, now)
    if missing <= 0:
        return None
    return messages.RateAmount(*key, missing * const.ASKED_OF_EACH / peers)


def on_message(
    state: core_state.State, now: float, event: events.PeerMessageReceived
) -> Effects | None:
    """Handle a message about rate loans; return None for any other message."""
    match event.message:
        case messages.RateLoanRequest() as request:
            return _lend(state.limits.rates, now, event.peer, request)
        case messages.RateLoanGrant() as grant:
            _borrow(state.limits.rates, now, event.peer, grant)
            return []
        case _:
            return None


def _lend(
    rates: models.RatesState,
    now: float,
    peer: str,
    request: messages.RateLoanRequest,
) -> Effects:
    lent: list[messages.RateAmount] = []
    for amount in request.amounts:
        limiter = rates.parts.get((amount.service, amount.share))
        if limiter is None or peer not in (rates.peers or ()):
            continue
        limiter.wanted[peer] = (amount.rate, now)
        rate = _spare_for(rates, limiter, peer, now)
        if rate <= 0:
            continue
        _count_out(rates, limiter, peer, rate, now, request.asked_at)
        lent.append(messages.RateAmount(amount.service, amount.share, rate))
    if not lent:
        return []
    grant = messages.RateLoanGrant(request.asked_at, tuple(lent))
    return [effects.SendToPeers((peer,), grant)]


def _spare_for(
    rates: models.RatesState, limiter: models.RatePart, peer: str, now: float
) -> float:
    """Return the rate to lend to a peer out of what is not needed here.

    If several entries borrow for the same share, each gets a part in proportion
    to its request.
    """
    own = limit_rates.owned(rates, limiter)
    needed = limit_rates.demand_of(limiter, now) * const.DEMAND_HEADROOM
    reserved = max(own * const.KEPT_SHARE, needed)
    _forget_old_wants(limiter, now)
    requested = limiter.wanted[peer][0]
    total = sum(rate for rate, _ in limiter.wanted.values())
    others = limit_rates.lent_out(limiter, now)
    others -= limit_rates.lent_to(limiter, peer, now)
    fair = (own - reserved) * requested / total
    return min(requested, fair, own - reserved - others)


def _forget_old_wants(limiter: models.RatePart, now: float) -> None:
    oldest = now - const.LOAN_SECONDS
    for peer, (_, at) in list(limiter.wanted.items()):
        if at < oldest:
            del limiter.wanted[peer]


def _count_out(
    rates: models.RatesState,
    limiter: models.RatePart,
    peer: str,
    rate: float,
    now: float,
    asked_at: float,
) -> None:
    """Deduct a loan from the allowance before the borrower learns of it."""
    limit_rates.refill(rates, limiter, now)
    until = now + const.LOAN_SECONDS + const.LOAN_MARGIN_SECONDS
    loans = [loan for loan in limiter.lent.get(peer, ()) if loan.until > now]
    loans.append(models.Loan(rate, until, asked_at))
    limiter.lent[peer] = loans
    limiter.tokens = min(
        limiter.tokens, limit_rates.burst_of(rates, limiter, now)
    )


def _borrow(
    rates: models.RatesState,
    now: float,
    peer: str,
    grant: messages.RateLoanGrant,
) -> None:
    until = grant.asked_at + const.LOAN_SECONDS
    for amount in grant.amounts:
        limiter = rates.parts.get((amount.service, amount.share))
        if limiter is None:
            continue
        loan = limiter.borrowed.get(peer)
        if loan is not None and loan.asked_at >= grant.asked_at:
            continue
        limit_rates.refill(rates, limiter, now)
        limiter.borrowed[peer] = models.Loan(amount.rate, until, grant.asked_at)


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Apply a new list of live entries."""
    rates = state.limits.rates
    for limiter in rates.parts.values():
        limit_rates.refill(rates, limiter, now)
    own = state.identity.entry
    rates.peers = tuple(e.id for e in event.entries if e.id != own)
    for limiter in rates.parts.values():
        _forget_strangers(limiter, rates.peers)


def _forget_strangers(limiter: models.RatePart, peers: tuple[str, ...]) -> None:
    """Drop loans from entries that are gone; loans to them have to expire."""
    for peer in set(limiter.borrowed) - set(peers):
        del limiter.borrowed[peer]
