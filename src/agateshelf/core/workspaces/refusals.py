"""Refusals of requests whose key doesn't permit them."""

import random

from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.workspaces import const

_NOT_RUN = outcome_models.Outcome.NOT_RUN


def _unauthorized(reason: str, detail: str) -> outcome_models.Refusal:
    return outcome_models.Refusal(
        const.STATUS_UNAUTHORIZED, _NOT_RUN, reason, detail, None
    )


MISSING_KEY = _unauthorized(
    const.REASON_MISSING_KEY, "The request has no key of a workspace."
)
INVALID_KEY = _unauthorized(
    const.REASON_INVALID_KEY, "The key of the request is malformed."
)
UNKNOWN_KEY = _unauthorized(
    const.REASON_UNKNOWN_KEY, "No workspace has the key of the request."
)


def no_proof(rng: random.Random) -> outcome_models.Refusal:
    """Return the refusal of an entry that may not serve keys now."""
    spread = 1 + const.NO_PROOF_JITTER * rng.uniform(-1, 1)
    return outcome_models.Refusal(
        outcome_const.STATUS_UNAVAILABLE,
        _NOT_RUN,
        const.REASON_NO_PROOF,
        "This entry can't prove that its list of keys is the newest one.",
        const.NO_PROOF_RETRY_AFTER_SECONDS * spread,
    )
