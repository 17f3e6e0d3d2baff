"""The words that callers are told about claims."""

import dataclasses

from agateshelf.core.claims import const
from agateshelf.core.outcomes import models as outcome_models

_STATUS_CONFLICT = 409
_STATUS_UNPROCESSABLE = 422
_STATUS_UNAVAILABLE = 503
_FIRST_SERVER_ERROR = 500


def in_flight() -> outcome_models.Refusal:
    """Return the word on a repeat whose original is not known to have ended."""
    return outcome_models.Refusal(
        status=_STATUS_CONFLICT,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_IN_FLIGHT,
        detail=(
            "A request with this key was let run and its end is not known yet. "
            "This copy was not run."
        ),
        retry_after=const.IN_FLIGHT_RETRY_AFTER_SECONDS,
    )


def mismatch() -> outcome_models.Refusal:
    """Return the word on a key that belongs to another request."""
    return outcome_models.Refusal(
        status=_STATUS_UNPROCESSABLE,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=const.REASON_MISMATCH,
        detail="The key was used for another request; this one was not run.",
        retry_after=None,
    )


def not_kept(status: int) -> outcome_models.Refusal:
    """Return the word on a repeat whose answer was too large to keep."""
    ran = status < _FIRST_SERVER_ERROR
    outcome = outcome_models.Outcome.UNKNOWN
    if ran:
        outcome = outcome_models.Outcome.RAN
    return outcome_models.Refusal(
        status=_STATUS_CONFLICT,
        outcome=outcome,
        reason=const.REASON_NOT_KEPT,
        detail=(
            f"A request with this key was answered with status {status}; "
            "the answer is no longer kept. This copy was not run."
        ),
        retry_after=None,
    )


def never_known() -> outcome_models.Refusal:
    """Return the word on a repeat whose original ended without an answer."""
    return outcome_models.Refusal(
        status=_STATUS_CONFLICT,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_NEVER_KNOWN,
        detail=(
            "A request with this key may have run and gave no answer. "
            "This copy was not run."
        ),
        retry_after=None,
    )


def store_away() -> outcome_models.Refusal:
    """Return the word while claims can't be decided.

    It is not `not-run`: an earlier copy with the key may have run.
    """
    return outcome_models.Refusal(
        status=_STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_STORE_AWAY,
        detail=(
            "Whether this key was used can't be found out now. This copy was "
            "not run; an earlier one may have been."
        ),
        retry_after=const.AWAY_RETRY_AFTER_SECONDS,
    )


def entry_paused() -> outcome_models.Refusal:
    """Return the word on a request that may have waited through a pause."""
    return outcome_models.Refusal(
        status=_STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_ENTRY_PAUSED,
        detail=(
            "This entry was stopped for a while. This copy was not run; an "
            "earlier one with its key may have been."
        ),
        retry_after=const.IN_FLIGHT_RETRY_AFTER_SECONDS,
    )


def claim_late() -> outcome_models.Refusal:
    """Return the word on a claim that was held too long to be relied on."""
    return outcome_models.Refusal(
        status=_STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_CLAIM_LATE,
        detail=(
            "The right to run this key came too late. This copy was not run; "
            "another one may have been."
        ),
        retry_after=const.IN_FLIGHT_RETRY_AFTER_SECONDS,
    )


def of_undecided_key(
    refusal: outcome_models.Refusal,
) -> outcome_models.Refusal:
    """Return a refusal that says nothing of earlier copies of a key."""
    if refusal.outcome is not outcome_models.Outcome.NOT_RUN:
        return refusal
    if refusal.reason == const.REASON_MISMATCH:
        return refusal
    return dataclasses.replace(
        refusal,
        outcome=outcome_models.Outcome.UNKNOWN,
        detail=(
            f"{refusal.detail} This copy was not run; an earlier one with its "
            "key may have been."
        ),
    )
