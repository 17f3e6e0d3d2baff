"""Derives from an attempt's end whether its request ran.

This is the only place where failures are classified.
"""

from typing import TYPE_CHECKING
from typing import Final

from agateshelf.core.outcomes import models

if TYPE_CHECKING:
    from agateshelf.core.configuration import models as configuration_models

_FIRST_SERVER_ERROR = 500

_DID_NOT_RUN = models.Verdict.DID_NOT_RUN
_MAY_HAVE_RUN = models.Verdict.MAY_HAVE_RUN
_KIND = models.FailureKind

# Verdicts on attempts without a complete response: the first one if no byte of
# the request was sent, the second one if any may have been. docs/OUTCOMES.md
# contains the same table.
FAILURE_VERDICTS: Final = {
    _KIND.CONNECT: (_DID_NOT_RUN, _MAY_HAVE_RUN),
    _KIND.UNSENT: (_DID_NOT_RUN, _MAY_HAVE_RUN),
    _KIND.WRITE_CUT: (_MAY_HAVE_RUN, _MAY_HAVE_RUN),
    _KIND.RESET: (_MAY_HAVE_RUN, _MAY_HAVE_RUN),
    _KIND.TIMEOUT: (_MAY_HAVE_RUN, _MAY_HAVE_RUN),
    _KIND.BAD_ANSWER: (_MAY_HAVE_RUN, _MAY_HAVE_RUN),
    _KIND.ANSWER_CUT: (_MAY_HAVE_RUN, _MAY_HAVE_RUN),
    _KIND.CANCELLED: (_DID_NOT_RUN, _MAY_HAVE_RUN),
    _KIND.RELAY: (_DID_NOT_RUN, _MAY_HAVE_RUN),
}


def verdict_of_failure(
    kind: models.FailureKind, *, any_byte_sent: bool
) -> models.Verdict:
    """Return the verdict on an attempt without a complete response."""
    return FAILURE_VERDICTS[kind][any_byte_sent]


def verdict_of_answer(
    service: "configuration_models.Service",
    status: int,
    headers: tuple[tuple[str, str], ...],
) -> models.Verdict:
    """Return the verdict on an attempt with a response.

    Only a refusal mark declared by the service proves that the request did not
    run. A target that responds with a plain server error may have run part of
    it.
    """
    if is_refusal(service, headers):
        return models.Verdict.DID_NOT_RUN
    if status >= _FIRST_SERVER_ERROR:
        return models.Verdict.MAY_HAVE_RUN
    return models.Verdict.RAN


def recorded_answer(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes | None
) -> models.RecordedAnswer:
    """Return the parts of a response that are recorded for retries."""
    content_type = dict(headers).get("content-type", "")
    return models.RecordedAnswer(status, content_type, body)


def is_refusal(
    service: "configuration_models.Service",
    headers: tuple[tuple[str, str], ...],
) -> bool:
    """Return whether a response has one of the service's refusal marks."""
    for mark in service.refusal_marks:
        if (mark.header, mark.value) in headers:
            return True
    return False


def outcome_of(
    verdict: models.Verdict, *, in_flight: bool = False
) -> models.Outcome:
    """Return the outcome to report for a call without a response.

    Args:
        verdict: Worst verdict of the ended attempts.
        in_flight: Whether other attempts are in flight, which may still run.
    """
    if in_flight:
        return models.Outcome.UNKNOWN
    if verdict is models.Verdict.DID_NOT_RUN:
        return models.Outcome.NOT_RUN
    return models.Outcome.UNKNOWN
