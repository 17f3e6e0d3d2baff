"""Refusals of poisonous requests."""

from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import const


def poisonous(crashes: int, retry_after: float) -> outcome_models.Refusal:
    """Return the refusal of a request that crashed too many targets.

    Args:
        crashes: Number of target crashes that are attributed to the request.
        retry_after: Seconds until the request is no longer a suspect.
    """
    return outcome_models.Refusal(
        status=outcome_const.STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=const.REASON_POISONOUS,
        detail=(
            f"Targets crashed {crashes} times while they ran this request. "
            "It was not forwarded this time; earlier attempts may have run."
        ),
        retry_after=retry_after,
    )
