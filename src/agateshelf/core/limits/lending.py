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


def schedule_request(state: core_state.State, now: float) -> None:
    """Schedule a request for loans if the allowance of any share is short."""
    rates = state.limits.rates
    if (
        not rates.short_shares
        or rates.request_due_at is not None
        or not rates.peers
    ):
        return
    rates.request_due_at = max(
        now + const.LOAN_REQUEST_BATCH_SECONDS,
        rates.requested_at + const.LOAN_REQUEST_INTERVAL_SECONDS,
    )
    timers.schedule(state.timers, rates.request_due_at, events.RateLoansDue())


def on_due(state: core_state.State, now: float) -> Effects:
    """Request loans for all short shares, in one message to each entry."""
    rates = state.limits.rates
    rates.request_due_at = None
    rates.requested_at = now
    peers = rates.peers or ()
    found = [
        _amount_to_request(rates, key, len(peers), now)
        for key in sorted(rates.short_shares)
    ]
    rates.short_shares.clear()
    amounts = tuple(amount for amount in found if amount is not None)
    if not peers or not amounts:
        return []
    amounts = amounts[: const.MAX_AMOUNTS_PER_REQUEST]
    return [effects.SendToPeers(peers, messages.RateLoanRequest(now, amounts))]


def _amount_to_request(
    rates: models.RatesState, key: models.ShareKey, peers: int, now: float
) -> messages.RateAmount | None:
    limiter = rates.limiters.get(key)
    if limiter is None or peers == 0:
        return None
    needed = limit_rates.demand_of(limiter, now) * const.DEMAND_HEADROOM
    missing = min(needed, limiter.rate) - limit_rates.owned_rate(rates, limiter)
    missing += limit_rates.lent_out(limiter, now)
    if missing <= 0:
        return None
    return messages.RateAmount(
        *key, missing * const.LOAN_REQUEST_FACTOR / peers
    )


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
        limiter = rates.limiters.get((amount.service, amount.share))
        if limiter is None or peer not in (rates.peers or ()):
            continue
        limiter.loan_requests[peer] = (amount.rate, now)
        rate = _spare_for(rates, limiter, peer, now)
        if rate <= 0:
            continue
        _deduct_loan(rates, limiter, peer, rate, now, request.requested_at)
        lent.append(messages.RateAmount(amount.service, amount.share, rate))
    if not lent:
        return []
    grant = messages.RateLoanGrant(request.requested_at, tuple(lent))
    return [effects.SendToPeers((peer,), grant)]


def _spare_for(
    rates: models.RatesState, limiter: models.RateLimiter, peer: str, now: float
) -> float:
    """Return the rate to lend to a peer out of what is not needed here.

    If several entries borrow for the same share, each gets a part in proportion
    to its request.
    """
    own = limit_rates.owned_rate(rates, limiter)
    needed = limit_rates.demand_of(limiter, now) * const.DEMAND_HEADROOM
    reserved = max(own * const.RESERVED_SHARE, needed)
    _drop_old_requests(limiter, now)
    requested = limiter.loan_requests[peer][0]
    total = sum(rate for rate, _ in limiter.loan_requests.values())
    others = limit_rates.lent_out(limiter, now)
    others -= limit_rates.lent_to(limiter, peer, now)
    fair = (own - reserved) * requested / total
    return min(requested, fair, own - reserved - others)


def _drop_old_requests(limiter: models.RateLimiter, now: float) -> None:
    oldest = now - const.LOAN_SECONDS
    for peer, (_, at) in list(limiter.loan_requests.items()):
        if at < oldest:
            del limiter.loan_requests[peer]


def _deduct_loan(
    rates: models.RatesState,
    limiter: models.RateLimiter,
    peer: str,
    rate: float,
    now: float,
    requested_at: float,
) -> None:
    """Deduct a loan from the allowance before the borrower learns of it."""
    limit_rates.refill(rates, limiter, now)
    until = now + const.LOAN_SECONDS + const.LOAN_MARGIN_SECONDS
    loans = [loan for loan in limiter.lent.get(peer, ()) if loan.until > now]
    loans.append(models.Loan(rate, until, requested_at))
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
    until = grant.requested_at + const.LOAN_SECONDS
    for amount in grant.amounts:
        limiter = rates.limiters.get((amount.service, amount.share))
        if limiter is None:
            continue
        loan = limiter.borrowed.get(peer)
        if loan is not None and loan.requested_at >= grant.requested_at:
            continue
        limit_rates.refill(rates, limiter, now)
        limiter.borrowed[peer] = models.Loan(
            amount.rate, until, grant.requested_at
        )


def adopt_entries(
    state: core_state.State, now: float, event: events.LiveEntriesChanged
) -> None:
    """Apply a new list of live entries."""
    rates = state.limits.rates
    for limiter in rates.limiters.values():
        limit_rates.refill(rates, limiter, now)
    own = state.identity.entry
    rates.peers = tuple(e.id for e in event.entries if e.id != own)
    for limiter in rates.limiters.values():
        _drop_gone_lenders(limiter, rates.peers)


def _drop_gone_lenders(
    limiter: models.RateLimiter, peers: tuple[str, ...]
) -> None:
    """Drop loans from entries that are gone; loans to them have to expire."""
    for peer in set(limiter.borrowed) - set(peers):
        del limiter.borrowed[peer]
