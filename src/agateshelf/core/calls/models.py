"""Calls and attempts in progress."""

import dataclasses

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routing import models as routing_models


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt in flight.

    Attributes:
        number: Number of the attempt.
        call: Number of its call.
        target: Identifier of its target.
        started: Start time, in seconds.
        placement: Number of its placement.
        streaming: Whether its response is being streamed to the caller.
        ending: How the attempt ended, as evidence about its target; neutral
            until known.
        draining: Whether the target reported that it is draining.
    """

    number: int
    call: int
    target: str
    started: float
    placement: int
    streaming: bool = False
    ending: routing_models.Ending = routing_models.Ending.NEUTRAL
    draining: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """A call without a final response.

    Attributes:
        number: Number of the call.
        service: Service configuration in force when the call arrived, used
            until the call ends.
        caller: Name of the caller.
        method: HTTP method.
        path: Path with query.
        deadline: Time after which the caller no longer waits, in seconds.
        arrived: Time of arrival, in seconds.
        idempotent: Whether the request may run more than once.
        idempotency_key: Idempotency key sent by the caller.
        no_retry: Whether a previous hop already retries.
        body_digest: Digest of the body.
        attempts: Numbers of the attempts in flight.
        tried: Identifiers of the targets tried so far.
        verdict: Worst verdict of the ended attempts.
        lost_connections: Number of attempts whose connection was lost after
            sending.
        answer: Latest response as recorded for the caller's retries, if any.
    """

    number: int
    service: configuration_models.Service
    caller: str
    method: str
    path: str
    deadline: float
    arrived: float
    idempotent: bool
    idempotency_key: str | None
    no_retry: bool
    body_digest: bytes
    attempts: set[int] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    verdict: outcome_models.Verdict = outcome_models.Verdict.DID_NOT_RUN
    lost_connections: int = 0
    answer: outcome_models.RecordedAnswer | None = None


@dataclasses.dataclass(slots=True)
class CallsState:
    """All calls and attempts in progress, by number."""

    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    last_attempt: int = 0
