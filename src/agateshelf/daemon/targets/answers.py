"""Answers of targets, buffered or streamed."""

import dataclasses
import http
import math

from agateshelf import const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.targets import connection


@dataclasses.dataclass(slots=True)
class Answer:
    """A target's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: End-to-end headers, including this hop's `Via`.
        body: The body, or its first part if the rest is streamed.
        source: Connection to stream the rest from; None if the body is
            complete.
        attempt: Number of the attempt.
        reserved: Bytes of the body reserved in the memory budget.
        expires_at: Loop time by which the target must have sent all of it.
    """

    status: int
    reason: bytes
    headers: messages.Headers
    body: bytes
    source: connection.TargetConnection | None
    attempt: int
    reserved: int = 0
    expires_at: float = math.inf


def replayed(recorded: outcome_models.RecordedAnswer) -> Answer:
    """Return the recorded answer of an earlier request, marked as replayed."""
    headers = [(const.HEADER_REPLAYED.encode(), b"1")]
    if recorded.content_type:
        content_type = recorded.content_type.encode("latin-1")
        headers.append((b"content-type", content_type))
    return Answer(
        status=recorded.status,
        reason=_phrase(recorded.status),
        headers=tuple(headers),
        body=recorded.body or b"",
        source=None,
        attempt=0,
    )


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
