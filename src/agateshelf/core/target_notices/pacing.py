"""Token buckets that keep sends to a target, or of a workspace, within a rate.

A bucket starts empty: nobody knows what was sent before, by this entry or by
the owner before it.
"""

import math

from agateshelf.core.target_notices import models


def create_pace(now: float, allowance: models.Allowance) -> models.Pace:
    """Create an empty bucket."""
    return models.Pace(
        allowance.rate, now, 0.0, allowance.burst, allowance.hold
    )


def set_rate(
    pace: models.Pace, now: float, allowance: models.Allowance
) -> None:
    """Change the rate from now on."""
    _refill(pace, now)
    pace.rate = allowance.rate
    pace.burst = allowance.burst
    pace.hold = allowance.hold
    pace.tokens = min(pace.tokens, pace.burst)


def start_anew(pace: models.Pace, phase: float) -> None:
    """Forget the tokens.

    Entries that start their buckets at the same time, as when they lose an
    owner, must not all get a token at the same time either.

    Args:
        pace: The bucket.
        phase: Part of a token that an entry beside the owner starts with, 0 to
            1; it differs between entries.
    """
    pace.tokens = 0.0
    if pace.rate < 1.0 and math.isfinite(pace.hold):
        pace.tokens = phase


def _refill(pace: models.Pace, now: float) -> None:
    elapsed = max(0.0, now - pace.updated_at)
    pace.updated_at = now
    tokens = pace.tokens + elapsed * pace.rate
    if tokens >= 1.0 and pace.rate < 1.0 and math.isfinite(pace.hold):
        # Of the tokens saved so far only the latest may still be valid.
        unused = (tokens - 1.0) % 1.0
        is_valid = unused <= pace.hold * pace.rate
        pace.tokens = 1.0 + unused if is_valid else unused
        return
    pace.tokens = min(pace.burst, tokens)


def is_full(pace: models.Pace, now: float) -> bool:
    """Return whether a bucket holds as many tokens as it can."""
    _refill(pace, now)
    return pace.tokens >= pace.burst


def may_send(pace: models.Pace, now: float) -> bool:
    """Return whether a request may be sent now."""
    _refill(pace, now)
    return pace.tokens >= 1.0


def take(pace: models.Pace, now: float, amount: float = 1.0) -> None:
    """Count requests that are sent now, or take some back if it is negative."""
    _refill(pace, now)
    pace.tokens -= amount


def next_at(pace: models.Pace, now: float) -> float:
    """Return the time from which the next request may be sent, in seconds."""
    _refill(pace, now)
    if pace.tokens >= 1.0:
        return now
    if pace.rate <= 0:
        return math.inf
    return now + (1.0 - pace.tokens) / pace.rate
