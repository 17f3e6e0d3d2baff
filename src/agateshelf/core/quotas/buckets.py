"""Token buckets of workspaces, with a second level beyond the quota.

The first level is the quota: rate and burst. What the second level grants takes
nothing from it, so a request within the quota is not refused because another
one was granted beyond it.
"""

import math

from agateshelf.core.quotas import models


def create(
    now: float, allowance: models.BucketAllowance, tokens: float
) -> models.Bucket:
    """Create a bucket with some tokens, as far as both levels hold them."""
    first = min(allowance.burst, tokens)
    excess = min(allowance.excess, tokens - first)
    return models.Bucket(allowance, now, first, excess)


def set_allowance(
    bucket: models.Bucket, now: float, allowance: models.BucketAllowance
) -> None:
    """Change rate and sizes from now on."""
    _refill(bucket, now)
    bucket.allowance = allowance
    bucket.tokens = min(bucket.tokens, allowance.burst)
    bucket.excess = min(bucket.excess, allowance.excess)


def _refill(bucket: models.Bucket, now: float) -> None:
    elapsed = max(0.0, now - bucket.updated_at)
    bucket.updated_at = now
    allowance = bucket.allowance
    tokens = bucket.tokens + elapsed * allowance.rate
    bucket.tokens = min(tokens, allowance.burst)
    excess = bucket.excess + tokens - bucket.tokens
    bucket.excess = min(excess, allowance.excess)


def is_full(bucket: models.Bucket, now: float) -> bool:
    """Return whether a bucket holds as many tokens as it can."""
    _refill(bucket, now)
    allowance = bucket.allowance
    return (
        bucket.tokens >= allowance.burst and bucket.excess >= allowance.excess
    )


def take(bucket: models.Bucket, now: float) -> bool:
    """Take a token if there is one; return whether there was."""
    _refill(bucket, now)
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return True
    if bucket.excess >= 1.0:
        bucket.excess -= 1.0
        return True
    if bucket.tokens > 0 and bucket.tokens + bucket.excess >= 1.0:
        # Parts of both, or a token would be missing that is there in all.
        bucket.tokens -= 1.0 - bucket.excess
        bucket.excess = 0.0
        return True
    return False


def deduct(
    bucket: models.Bucket, now: float, amount: int, most_debt: float
) -> None:
    """Take tokens for requests that were granted elsewhere.

    The debt is bounded: what went wrong once must not refuse requests for long.
    """
    _refill(bucket, now)
    whole = min(amount, max(0, math.floor(bucket.tokens)))
    bucket.tokens -= whole
    excess = min(amount - whole, math.floor(bucket.excess))
    bucket.excess -= excess
    bucket.tokens -= amount - whole - excess
    bucket.tokens = max(bucket.tokens, -most_debt)


def give_back(bucket: models.Bucket, now: float) -> None:
    """Put a token back."""
    _refill(bucket, now)
    bucket.tokens += 1.0
    allowance = bucket.allowance
    if bucket.tokens > allowance.burst:
        bucket.excess += bucket.tokens - allowance.burst
        bucket.excess = min(bucket.excess, allowance.excess)
        bucket.tokens = allowance.burst


def next_at(bucket: models.Bucket, now: float) -> float:
    """Return the time from which a token is there, in seconds."""
    _refill(bucket, now)
    tokens = bucket.tokens
    if tokens > 0:
        tokens += bucket.excess
    if tokens >= 1.0 or bucket.excess >= 1.0:
        return now
    rate = bucket.allowance.rate
    return now + (1.0 - tokens) / rate if rate > 0 else math.inf
