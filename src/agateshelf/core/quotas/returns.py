"""Tells refused callers of a workspace when to come back.

Answers a workspace far beyond its quota. If all of its refused callers are told
the time of the next token, they come back together within milliseconds, double
the load of the counter and are refused again. So each is told the time of a
token of its own, after those of the callers refused before it.
"""

import math

from agateshelf.core.quotas import buckets
from agateshelf.core.quotas import const
from agateshelf.core.quotas import models


def reserve(bucket: models.Bucket, now: float) -> float:
    """Reserve a time to come back; return the seconds until then.

    Args:
        bucket: The bucket of the workspace, which has no token now.
        now: Current time in seconds.
    """
    first = buckets.next_at(bucket, now)
    rate = bucket.allowance.rate
    if rate <= 0:
        return math.inf
    latest = max(first, now + const.MAX_RETURN_SECONDS)
    at = min(max(first, bucket.next_return_at), latest)
    bucket.next_return_at = at + 1.0 / rate
    return at - now
