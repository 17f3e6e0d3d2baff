"""Refusals of poisonous requests."""

from agateshelf.core import state as core_state
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.poison import const
from agateshelf.core.poison import records
from agateshelf.core.poison import trials


def refusal_of(
    state: core_state.State,
    now: float,
    fingerprint: bytes,
    limit: int,
    outcome: outcome_models.Outcome = outcome_models.Outcome.NOT_RUN,
) -> outcome_models.Refusal | None:
    """Return the refusal of a request that crashed too many targets, if any.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        fingerprint: Fingerprint of the request.
        limit: Crashes from which on the request is withheld.
        outcome: Whether an earlier attempt of this call may have run.
    """
    until = records.withheld_until(state, now, fingerprint, limit)
    if until is None or trials.is_due(state, now, fingerprint):
        return None
    crashes = len(records.active_crashes(state, now, fingerprint))
    status = outcome_const.STATUS_BAD_GATEWAY
    if outcome is outcome_models.Outcome.NOT_RUN:
        status = outcome_const.STATUS_UNAVAILABLE
    return outcome_models.Refusal(
        status=status,
        outcome=outcome,
        reason=const.REASON_POISONOUS,
        detail=(
            f"Targets crashed {crashes} times while they ran this request. "
            "It was not forwarded this time; earlier attempts may have run."
        ),
        retry_after=_retry_after(state, now, fingerprint, until),
    )


def _retry_after(
    state: core_state.State, now: float, fingerprint: bytes, until: float
) -> float:
    """Return the seconds until the request may be served again."""
    trial_at = trials.next_at(state, now, fingerprint)
    after_trial = max(trial_at - now, 0.0) + const.TRIAL_RETRY_SECONDS
    return min(until - now, after_trial)
