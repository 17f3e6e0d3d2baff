"""Refusal of requests that other routes may allow."""

import random

from agateshelf.core.confirmation import const
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models


def unconfirmed(rng: random.Random) -> outcome_models.Refusal:
    """Return the refusal of an entry that may lack newer routes."""
    spread = 1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1)
    return outcome_models.Refusal(
        outcome_const.STATUS_UNAVAILABLE,
        outcome_models.Outcome.NOT_RUN,
        const.REASON_UNCONFIRMED,
        "This entry can't confirm that its routes are the newest ones.",
        const.RETRY_AFTER_SECONDS * spread,
    )
