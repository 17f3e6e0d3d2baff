"""Refusals of calls that exceed a limit.

A refused call was not sent to any target, so its outcome is "not-run". Its
Retry-After value has jitter, so that callers do not all return at once.
"""

import random

from agateshelf.core.limits import const
from agateshelf.core.outcomes import models as outcome_models

_DETAILS = {
    const.REASON_RATE_EXCEEDED: (
        "The caller has used up its rate for this service."
    ),
    const.REASON_QUEUE_FULL: "The queue of this service is full.",
    const.REASON_QUEUE_TOO_SLOW: (
        "No target became free within the maximum queueing time."
    ),
    const.REASON_DEADLINE_TOO_NEAR: (
        "No target could answer before the deadline."
    ),
    const.REASON_ENTRY_FULL: "This entry has too many requests in progress.",
}


def refusal(
    rng: random.Random,
    reason: str,
    retry_after: float = const.RETRY_AFTER_SECONDS,
) -> outcome_models.Refusal:
    """Return the refusal of a call that was not sent to any target.

    Args:
        rng: Source of the jitter.
        reason: Reason code of the refusal.
        retry_after: Seconds after which a retry is useful, before jitter.
    """
    status = const.STATUS_UNAVAILABLE
    if reason == const.REASON_RATE_EXCEEDED:
        status = const.STATUS_TOO_MANY_REQUESTS
    spread = 1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1)
    return outcome_models.Refusal(
        status=status,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=reason,
        detail=_DETAILS[reason],
        retry_after=retry_after * spread,
    )
