"""Refusals of calls that got no response from a target."""

from agateshelf.core.calls import const
from agateshelf.core.calls import models
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts


def deadline_passed(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call whose deadline has passed."""
    return _refusal_of(
        call,
        outcome_const.STATUS_TIMEOUT,
        outcome_const.REASON_DEADLINE,
        "The deadline passed before a target answered.",
    )


def stopping(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call unfinished at the end of a graceful stop."""
    return _refusal_of(
        call,
        outcome_const.STATUS_UNAVAILABLE,
        outcome_const.REASON_STOPPING,
        "This entry is stopping and could not wait for the answer.",
    )


def no_target(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call for which no target is available."""
    return _refusal_of(
        call,
        outcome_const.STATUS_UNAVAILABLE,
        outcome_const.REASON_NO_TARGET,
        "No target is available for the request.",
    )


def target_failed(call: models.Call) -> outcome_models.Refusal:
    """Return the refusal of a call whose last attempt failed."""
    return _refusal_of(
        call,
        outcome_const.STATUS_BAD_GATEWAY,
        outcome_const.REASON_TARGET_FAILED,
        "The target gave no whole answer.",
    )


def no_service() -> outcome_models.Refusal:
    """Return the refusal of a request whose path matches no service."""
    return outcome_models.Refusal(
        status=outcome_const.STATUS_NOT_FOUND,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=const.REASON_NO_SERVICE,
        detail="No service has a prefix that matches this path.",
        retry_after=None,
    )


def not_ready() -> outcome_models.Refusal:
    """Return the refusal of a request at an entry without a configuration."""
    return outcome_models.Refusal(
        status=outcome_const.STATUS_UNAVAILABLE,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=outcome_const.REASON_NOT_READY,
        detail="This entry has no configuration yet.",
        retry_after=const.DEFAULT_RETRY_AFTER_SECONDS,
    )


def _refusal_of(
    call: models.Call, status: int, reason: str, detail: str
) -> outcome_models.Refusal:
    return outcome_models.Refusal(
        status=status,
        outcome=verdicts.outcome_of(
            call.verdict, in_flight=bool(call.attempts)
        ),
        reason=reason,
        detail=detail,
        retry_after=const.DEFAULT_RETRY_AFTER_SECONDS,
    )
