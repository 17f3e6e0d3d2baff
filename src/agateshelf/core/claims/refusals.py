"""Refusals sent to callers on behalf of claims."""

import dataclasses

from agateshelf.core.claims import const
from agateshelf.core.outcomes import models as outcome_models

_STATUS_CONFLICT = 409
_STATUS_UNPROCESSABLE = 422
_STATUS_UNAVAILABLE = 503
_FIRST_SERVER_ERROR = 500


def in_flight() -> outcome_models.Refusal:
    """Return the refusal of a duplicate whose original may still be running."""
    return outcome_models.Refusal(
        status=_STATUS_CONFLICT,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_IN_FLIGHT,
        detail=(
            "A request with this key was started and its outcome is not known "
            "yet. This request was not run."
        ),
        retry_after=const.IN_FLIGHT_RETRY_AFTER_SECONDS,
    )


def mismatch() -> outcome_models.Refusal:
    """Return the refusal of a request whose key was used for another one."""
    return outcome_models.Refusal(
        status=_STATUS_UNPROCESSABLE,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=const.REASON_MISMATCH,
        detail="The key was used for another request; this one was not run.",
        retry_after=None,
    )


def answer_not_stored(status: int) -> outcome_models.Refusal:
    """Return the refusal of a duplicate whose recorded response has no body.

    Bodies are not kept if they are too large or the index is full.
    """
    ran = status < _FIRST_SERVER_ERROR
    outcome = outcome_models.Outcome.UNKNOWN
    if ran:
        outcome = outcome_models.Outcome.RAN
    return outcome_models.Refusal(
        status=_STATUS_CONFLICT,
        outcome=outcome,
        reason=const.REASON_ANSWER_NOT_STORED,
        detail=(
            f"A request with this key was answered with status {status}, but "
            "the response is not stored. This request was not run."
        ),
        retry_after=None,
    )


def outcome_unknown() -> outcome_models.Refusal:
    """Return the refusal of a duplicate whose original got no response."""
    return outcome_models.Refusal(
        status=_STATUS_CONFLICT,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_OUTCOME_UNKNOWN,
        detail=(
            "A request with this key may have run but was not answered. "
            "This request was not run."
        ),
        retry_after=None,
    )


def store_unavailable() -> outcome_models.Refusal:
    """Return the refusal of a request whose claim was not recorded in time.

    The queue may be full, or the owner or the store may not respond. The
    outcome is not `not-run`, as an earlier request with the key may have run.
    """
    return outcome_models.Refusal(
        status=_STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_STORE_UNAVAILABLE,
        detail=(
            "The claim of this key could not be recorded in time (queue full, "
            "owner or store not responding). This request was not run, but an "
            "earlier one with its key may have been."
        ),
        retry_after=const.UNAVAILABLE_RETRY_AFTER_SECONDS,
    )


def entry_paused() -> outcome_models.Refusal:
    """Return the refusal of a request that may have waited through a pause."""
    return outcome_models.Refusal(
        status=_STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_ENTRY_PAUSED,
        detail=(
            "This entry's process was paused. This request was not run, but an "
            "earlier one with its key may have been."
        ),
        retry_after=const.IN_FLIGHT_RETRY_AFTER_SECONDS,
    )


def claim_expired() -> outcome_models.Refusal:
    """Return the refusal of a call whose granted claim is too old to use."""
    return outcome_models.Refusal(
        status=_STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.UNKNOWN,
        reason=const.REASON_CLAIM_EXPIRED,
        detail=(
            "The claim of this key was granted too late to be used. This "
            "request was not run, but another one with its key may have been."
        ),
        retry_after=const.IN_FLIGHT_RETRY_AFTER_SECONDS,
    )


def with_unknown_outcome(
    refusal: outcome_models.Refusal,
) -> outcome_models.Refusal:
    """Return the refusal with `unknown` in place of `not-run`.

    Without a granted claim, an earlier request with the key may have run. A
    mismatch keeps its outcome, as the key was used for another request.
    """
    if refusal.outcome is not outcome_models.Outcome.NOT_RUN:
        return refusal
    if refusal.reason == const.REASON_MISMATCH:
        return refusal
    return dataclasses.replace(
        refusal,
        outcome=outcome_models.Outcome.UNKNOWN,
        detail=(
            f"{refusal.detail} This request was not run, but an earlier one "
            "with its key may have been."
        ),
    )
