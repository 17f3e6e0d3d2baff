"""A caller's rate over all entries, without a call to anyone per request.

Each entry owns the rate divided by the number of entries. It takes calls from
a token bucket that fills at its allowance: what it owns, less what it has lent,
plus what it has borrowed (`lending`). A loan is counted out by the lender
before the borrower learns of it and counted back after the borrower has
stopped using it, so the allowances never sum to more than the rate, whatever
is lost, late or repeated. An entry that hears nobody has what it owns.
"""

import math

from agateshelf.core.limits import const
from agateshelf.core.limits import models


def adopt_standings(limits: models.LimitsState, now: float) -> None:
    """Follow the rates of a new configuration."""
    parts: dict[models.ShareKey, models.RatePart] = {}
    for service, standings in limits.standings.items():
        for share, standing in standings.items():
            if standing.rate is None:
                continue
            known = limits.rates.parts.get((service, share))
            if known is None:
                known = models.RatePart(standing.rate, filled_at=now)
                known.tokens = burst_of(limits.rates, known, now)
            refill(limits.rates, known, now)
            known.rate = standing.rate
            parts[service, share] = known
    limits.rates.parts = parts


def take(rates: models.RatesState, key: models.ShareKey, now: float) -> bool:
    """Return whether a call is within its share's rate, and count it."""
    part = rates.parts.get(key)
    if part is None:
        return True
    _note_demand(part, now)
    refill(rates, part, now)
    if part.demand > allowance_of(rates, part, now):
        rates.wanting.add(key)
    if part.tokens < 1:
        return False
    part.tokens -= 1
    return True


def refill(rates: models.RatesState, part: models.RatePart, now: float) -> None:
    """Fill the bucket for the time that has passed; never above the burst.

    To be called before anything changes the allowance.
    """
    filled = part.tokens + _earned(rates, part, now)
    part.filled_at = now
    part.tokens = min(burst_of(rates, part, now), filled)


def _earned(
    rates: models.RatesState, part: models.RatePart, now: float
) -> float:
    """Return the tokens of the time since the latest refill.

    A borrowed loan that ended in between counts up to its end, a lent one for
    all of the time.
    """
    earned = max(0.0, owned(rates, part) - lent_out(part, part.filled_at))
    earned *= now - part.filled_at
    for loan in part.borrowed.values():
        seconds = min(now, loan.until) - part.filled_at
        earned += loan.rate * max(0.0, seconds)
    return earned


def burst_of(
    rates: models.RatesState, part: models.RatePart, now: float
) -> float:
    """Return the most calls that may come at once."""
    allowance = allowance_of(rates, part, now)
    return max(const.RATE_BURST_LEAST, allowance * const.RATE_BURST_SECONDS)


def allowance_of(
    rates: models.RatesState, part: models.RatePart, now: float
) -> float:
    """Return the calls a second that this entry may let pass now."""
    allowance = owned(rates, part) - lent_out(part, now)
    for loan in part.borrowed.values():
        if loan.until > now:
            allowance += loan.rate
    return max(0.0, allowance)


def owned(rates: models.RatesState, part: models.RatePart) -> float:
    """Return this entry's own part of a rate."""
    if rates.peers is None:
        return part.rate / const.ASSUMED_ENTRIES
    return part.rate / (len(rates.peers) + 1)


def lent_out(part: models.RatePart, now: float) -> float:
    """Return what this entry has lent and may still be in use."""
    return sum(lent_to(part, peer, now) for peer in part.lent)


def lent_to(part: models.RatePart, peer: str, now: float) -> float:
    """Return the largest loan that a borrower may still use.

    It uses one at a time, the latest that reached it.
    """
    loans = part.lent.get(peer, ())
    return max((loan.rate for loan in loans if loan.until > now), default=0.0)


def demand_of(part: models.RatePart, now: float) -> float:
    """Return the calls a second that came lately."""
    faded = math.exp((part.demand_at - now) / const.DEMAND_SECONDS)
    return part.demand * faded


def _note_demand(part: models.RatePart, now: float) -> None:
    part.demand = demand_of(part, now) + 1 / const.DEMAND_SECONDS
    part.demand_at = now
