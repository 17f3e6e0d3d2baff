"""Token buckets that keep sends to a target within a rate.

A bucket starts empty: nobody knows what was sent before, by this entry or by
the owner before it.
"""

import math

from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models


def create_pace(now: float, rate: float) -> models.Pace:
    """Create an empty bucket."""
    return models.Pace(rate, now)


def set_rate(pace: models.Pace, now: float, rate: float) -> None:
    """Change the rate from now on."""
    _refill(pace, now)
    pace.rate = rate
    pace.tokens = min(pace.tokens, _burst(rate))


def _burst(rate: float) -> float:
    return max(1.0, const.BURST_SECONDS * rate)


def _refill(pace: models.Pace, now: float) -> None:
    elapsed = max(0.0, now - pace.updated_at)
    pace.tokens = min(_burst(pace.rate), pace.tokens + elapsed * pace.rate)
    pace.updated_at = now


def may_send(pace: models.Pace, now: float) -> bool:
    """Return whether a request may be sent now."""
    _refill(pace, now)
    return pace.tokens >= 1.0


def take(pace: models.Pace, now: float) -> None:
    """Count a request that is sent now."""
    _refill(pace, now)
    pace.tokens -= 1.0


def next_at(pace: models.Pace, now: float) -> float:
    """Return the time from which the next request may be sent, in seconds."""
    _refill(pace, now)
    if pace.tokens >= 1.0:
        return now
    if pace.rate <= 0:
        return math.inf
    return now + (1.0 - pace.tokens) / pace.rate
