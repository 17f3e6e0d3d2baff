"""Verdicts and the evidence they rest on."""

import dataclasses
import enum


class Verdict(enum.IntEnum):
    """Whether an attempt ran its request; a higher value is worse to repeat."""

    DID_NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


class FailureKind(enum.Enum):
    """How an attempt ended without a whole answer."""

    CONNECT = "connect"
    UNSENT = "unsent"
    WRITE_CUT = "write-cut"
    RESET = "reset"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad-answer"
    ANSWER_CUT = "answer-cut"
    CANCELLED = "cancelled"


class Outcome(enum.Enum):
    """What the caller is told of a request that has no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """What is kept of an answer, for repeats of its request.

    Attributes:
        status: HTTP status.
        content_type: Content type; empty if there was none.
        body: The body; None if it is too large to be kept.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final word to a caller in place of a target's answer.

    Attributes:
        status: HTTP status.
        outcome: What is known of the request.
        reason: Short code, stable for scripts.
        detail: One sentence for a person.
        retry_after: Seconds after which the caller may come back; None if
            sending the same request again is of no use.
    """

    status: int
    outcome: Outcome
    reason: str
    detail: str
    retry_after: float | None
