"""The word on requests that crash targets."""

from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import const


def poisonous(crashes: int, retry_after: float) -> outcome_models.Refusal:
    """Return the word on a request that crashed too many targets.

    Args:
        crashes: Targets that were lost while they ran it.
        retry_after: Seconds until it is forgotten.
    """
    return outcome_models.Refusal(
        status=outcome_const.STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=const.REASON_POISONOUS,
        detail=(
            f"{crashes} targets were lost while they ran this request. "
            "This copy was not run; earlier ones may have been."
        ),
        retry_after=retry_after,
    )
