"""Calls and attempts under way."""

import dataclasses

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routing import models as routing_models


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt in flight.

    Attributes:
        number: Number of the attempt.
        call: Number of its call.
        target: Identifier of its target.
        started: Time it started, in seconds.
        placement: Number of its placement.
        streaming: Whether its answer is already on its way to the caller.
        ending: What its end says of its target, as far as it is known.
        draining: Whether its target said that it is leaving.
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
    """One call that has not had its final word.

    Attributes:
        number: Number of the call.
        service: The policy it arrived under, kept until it ends.
        caller: Name of the caller.
        method: HTTP method.
        path: Path with query.
        deadline: Time after which nobody waits, in seconds.
        arrived: Time it arrived, in seconds.
        idempotent: Whether it may be sent to more than one target.
        idempotency_key: The caller's key.
        no_retry: Whether a hop above already retries.
        body_digest: Digest of the body.
        attempts: Numbers of its attempts in flight.
        tried: Identifiers of the targets tried so far.
        verdict: The worst verdict of its ended attempts.
        cuts: How many of its attempts lost their connection after sending.
        answer: What is kept of its answer, for repeats.
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
    cuts: int = 0
    answer: outcome_models.RecordedAnswer | None = None


@dataclasses.dataclass(slots=True)
class CallsState:
    """All calls and attempts under way, by number."""

    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    last_attempt: int = 0
