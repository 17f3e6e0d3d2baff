"""Answers of targets, held whole or streaming."""

import dataclasses

from agateshelf.daemon import messages
from agateshelf.daemon.targets import connection


@dataclasses.dataclass(slots=True)
class Answer:
    """A target's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: End-to-end headers.
        body: The body, or its first part if the rest streams.
        source: Connection the rest comes from; None if the body is whole.
        attempt: Number of the attempt.
    """

    status: int
    reason: bytes
    headers: messages.Headers
    body: bytes
    source: connection.TargetConnection | None
    attempt: int
