"""Distributed rate limiting of callers without a remote call per request.

Each entry owns the caller's rate divided by the number of entries. Its token
bucket is filled at its allowance: the rate it owns, less what it has lent, plus
what it has borrowed (see `lending`). The lender deducts a loan before the
borrower learns of it and adds it back after the borrower has stopped using it.
The allowances therefore never sum to more than the rate, even if messages are
lost, delayed or repeated. An entry without contact to others keeps the rate it
owns.
"""

import math

from agateshelf.core.limits import const
from agateshelf.core.limits import models


def adopt_shares(limits: models.LimitsState, now: float) -> None:
    """Apply the rates of a new configuration."""
    limiters: dict[models.ShareKey, models.RateLimiter] = {}
    for service, shares in limits.shares.items():
        for name, share in shares.items():
            if share.rate is None:
                continue
            limiter = limits.rates.limiters.get((service, name))
            if limiter is None:
                limiter = models.RateLimiter(share.rate, filled_at=now)
                limiter.tokens = burst_of(limits.rates, limiter, now)
            refill(limits.rates, limiter, now)
            limiter.rate = share.rate
            limiters[service, name] = limiter
    limits.rates.limiters = limiters


def take(rates: models.RatesState, key: models.ShareKey, now: float) -> bool:
    """Take a token for a call; return whether there was one.

    A share without a rate always has one.
    """
    limiter = rates.limiters.get(key)
    if limiter is None:
        return True
    _update_demand(limiter, now)
    refill(rates, limiter, now)
    if limiter.demand > allowance_of(rates, limiter, now):
        rates.short_shares.add(key)
    if limiter.tokens < 1:
        return False
    limiter.tokens -= 1
    return True


def refill(
    rates: models.RatesState, limiter: models.RateLimiter, now: float
) -> None:
    """Refill the bucket for the time since the last refill, up to the burst.

    Must be called before anything changes the allowance.
    """
    filled = limiter.tokens + _earned(rates, limiter, now)
    limiter.filled_at = now
    limiter.tokens = min(burst_of(rates, limiter, now), filled)


def _earned(
    rates: models.RatesState, limiter: models.RateLimiter, now: float
) -> float:
    """Return the tokens earned since the latest refill.

    A borrowed loan that expired in between adds tokens until its expiry. A lent
    one that expired in between is deducted for the whole time.
    """
    earned = max(
        0.0, owned_rate(rates, limiter) - lent_out(limiter, limiter.filled_at)
    )
    earned *= now - limiter.filled_at
    for loan in limiter.borrowed.values():
        seconds = min(now, loan.until) - limiter.filled_at
        earned += loan.rate * max(0.0, seconds)
    return earned


def burst_of(
    rates: models.RatesState, limiter: models.RateLimiter, now: float
) -> float:
    """Return the capacity of the bucket."""
    allowance = allowance_of(rates, limiter, now)
    return max(const.MIN_RATE_BURST, allowance * const.RATE_BURST_SECONDS)


def allowance_of(
    rates: models.RatesState, limiter: models.RateLimiter, now: float
) -> float:
    """Return the calls per second that this entry may admit now."""
    allowance = owned_rate(rates, limiter) - lent_out(limiter, now)
    for loan in limiter.borrowed.values():
        if loan.until > now:
            allowance += loan.rate
    return max(0.0, allowance)


def owned_rate(rates: models.RatesState, limiter: models.RateLimiter) -> float:
    """Return this entry's own part of the rate, without loans."""
    if rates.peers is None:
        return limiter.rate / const.ASSUMED_ENTRIES
    return limiter.rate / (len(rates.peers) + 1)


def lent_out(limiter: models.RateLimiter, now: float) -> float:
    """Return the rate lent to all entries that may still be in use."""
    return sum(lent_to(limiter, peer, now) for peer in limiter.lent)


def lent_to(limiter: models.RateLimiter, peer: str, now: float) -> float:
    """Return the largest loan that a borrower may still use.

    A borrower uses only the latest loan that reached it, and the lender cannot
    know which one that is.
    """
    loans = limiter.lent.get(peer, ())
    return max((loan.rate for loan in loans if loan.until > now), default=0.0)


def demand_of(limiter: models.RateLimiter, now: float) -> float:
    """Return the recent demand in calls per second, decayed until now."""
    decay = math.exp((limiter.demand_at - now) / const.DEMAND_SECONDS)
    return limiter.demand * decay


def _update_demand(limiter: models.RateLimiter, now: float) -> None:
    limiter.demand = demand_of(limiter, now) + 1 / const.DEMAND_SECONDS
    limiter.demand_at = now
