"""Refusal of requests that may be served nowhere."""

import random

from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.regions import const


def jitter(seconds: float, rng: random.Random) -> float:
    """Return a time to wait in seconds, spread around the given one."""
    return seconds * (1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1))


def no_allowed_region(rng: random.Random) -> outcome_models.Refusal:
    """Return the refusal of a request that no region may serve."""
    return outcome_models.Refusal(
        outcome_const.STATUS_UNAVAILABLE,
        outcome_models.Outcome.NOT_RUN,
        const.REASON_NO_ALLOWED_REGION,
        "No target is in a region in which the request may be served.",
        jitter(const.RETRY_AFTER_SECONDS, rng),
    )
