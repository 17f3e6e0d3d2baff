"""The one table of what an attempt's end says about its request."""

from typing import TYPE_CHECKING
from typing import Final

from agateshelf.core.outcomes import models

if TYPE_CHECKING:
    from agateshelf.core.configuration import models as configuration_models

_FIRST_SERVER_ERROR = 500

_UNSENT = models.Verdict.DID_NOT_RUN
_MAYBE = models.Verdict.MAY_HAVE_RUN
_KIND = models.FailureKind

# The verdict on each way an attempt ends without a whole answer: first if no
# byte of the request left, then if any may have left. docs/OUTCOMES.md shows
# the same table.
FAILURE_VERDICTS: Final = {
    _KIND.CONNECT: (_UNSENT, _MAYBE),
    _KIND.UNSENT: (_UNSENT, _MAYBE),
    _KIND.WRITE_CUT: (_MAYBE, _MAYBE),
    _KIND.RESET: (_MAYBE, _MAYBE),
    _KIND.TIMEOUT: (_MAYBE, _MAYBE),
    _KIND.BAD_ANSWER: (_MAYBE, _MAYBE),
    _KIND.ANSWER_CUT: (_MAYBE, _MAYBE),
    _KIND.CANCELLED: (_UNSENT, _MAYBE),
}


def verdict_of_failure(
    kind: models.FailureKind, *, any_byte_sent: bool
) -> models.Verdict:
    """Return the verdict on an attempt that brought no whole answer."""
    return FAILURE_VERDICTS[kind][any_byte_sent]


def verdict_of_answer(
    service: "configuration_models.Service",
    status: int,
    headers: tuple[tuple[str, str], ...],
) -> models.Verdict:
    """Return the verdict on an attempt that was answered.

    Only a mark that the service declares says "did not run"; a plain error
    status of a target leaves open what ran before it.
    """
    if is_refusal(service, headers):
        return models.Verdict.DID_NOT_RUN
    if status >= _FIRST_SERVER_ERROR:
        return models.Verdict.MAY_HAVE_RUN
    return models.Verdict.RAN


def recorded(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes | None
) -> models.RecordedAnswer:
    """Return what is kept of an answer."""
    content_type = dict(headers).get("content-type", "")
    return models.RecordedAnswer(status, content_type, body)


def is_refusal(
    service: "configuration_models.Service",
    headers: tuple[tuple[str, str], ...],
) -> bool:
    """Return whether an answer carries one of the service's refusal marks."""
    for mark in service.refusal_marks:
        if (mark.header, mark.value) in headers:
            return True
    return False


def told(verdict: models.Verdict, *, in_flight: bool = False) -> models.Outcome:
    """Return what a caller is told when no answer can be given.

    Args:
        verdict: What the attempts that have ended say.
        in_flight: Whether others are under way, which may run yet.
    """
    if in_flight:
        return models.Outcome.UNKNOWN
    if verdict is models.Verdict.DID_NOT_RUN:
        return models.Outcome.NOT_RUN
    return models.Outcome.UNKNOWN
