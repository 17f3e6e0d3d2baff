"""Refusals as problem documents (RFC 9457)."""

import dataclasses
import http
import math

import msgspec

from agateshelf import const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.callers import const as caller_const

_LEAST_WAIT_SECONDS = 0.05


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    send_again: bool
    retry_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer that this entry gives by itself."""

    status: int
    reason: bytes
    headers: messages.Headers
    body: bytes


def reply_of(
    refusal: outcome_models.Refusal, *, fractions: bool = False
) -> Reply:
    """Return the answer that tells a caller of a refusal.

    Args:
        refusal: The refusal.
        fractions: Whether callers read fractions of a second in
            `Retry-After`; the standard knows whole seconds only.
    """
    wait = refusal.retry_after
    seconds = None if wait is None else max(1, math.ceil(wait))
    again = "no" if seconds is None else "yes"
    problem = Problem(
        type=caller_const.PROBLEM_TYPE_BASE + refusal.reason,
        title=refusal.reason,
        status=refusal.status,
        detail=refusal.detail,
        outcome=refusal.outcome.value,
        send_again=seconds is not None,
        retry_after=seconds,
    )
    headers = [
        (b"content-type", caller_const.CONTENT_PROBLEM),
        (const.HEADER_OUTCOME.encode(), refusal.outcome.value.encode()),
        (const.HEADER_SEND_AGAIN.encode(), again.encode()),
    ]
    if seconds is not None:
        told = b"%d" % seconds
        if fractions and wait is not None:
            told = b"%.2f" % max(wait, _LEAST_WAIT_SECONDS)
        headers.append((b"retry-after", told))
    body = msgspec.json.encode(problem)
    reason = http.HTTPStatus(refusal.status).phrase.encode()
    return Reply(refusal.status, reason, tuple(headers), body)


def untaken(
    status: int, reason: str, detail: str, retry_after: float | None = None
) -> Reply:
    """Return the answer to a request that was never taken."""
    refusal = outcome_models.Refusal(
        status=status,
        outcome=outcome_models.Outcome.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after=retry_after,
    )
    return reply_of(refusal)


def malformed(status: int, reason: str, detail: str) -> Reply:
    """Return the answer to a request that could not be read."""
    return untaken(status, reason, detail)
