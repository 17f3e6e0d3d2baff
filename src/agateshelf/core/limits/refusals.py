"""Refusals by the limits: at once, truly not run, not all back together."""

import random

from agateshelf.core.limits import const
from agateshelf.core.outcomes import models as outcome_models

_DETAILS = {
    const.REASON_RATE: "The caller has used up its rate for this service.",
    const.REASON_QUEUE_FULL: "Too many requests already wait.",
    const.REASON_WAITED: "No target came free in time.",
    const.REASON_TOO_LATE: "No answer could come before the deadline.",
    const.REASON_ENTRY_FULL: "This entry has too many requests under way.",
}


def refusal(
    rng: random.Random,
    reason: str,
    retry_after: float = const.RETRY_AFTER_SECONDS,
) -> outcome_models.Refusal:
    """Return the final word to a call that was never sent anywhere.

    Args:
        rng: Spreads the callers' return.
        reason: Why it is refused.
        retry_after: Seconds until it is worth coming back.
    """
    status = const.STATUS_UNAVAILABLE
    if reason == const.REASON_RATE:
        status = const.STATUS_TOO_MANY
    spread = 1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1)
    return outcome_models.Refusal(
        status=status,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=reason,
        detail=_DETAILS[reason],
        retry_after=retry_after * spread,
    )
