"""Calls and attempts on routes."""

import dataclasses

from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import models as route_models


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt in flight.

    Attributes:
        number: Number of the attempt.
        call: Number of its call.
        target: Identifier of its target.
        started: Time it started.
        home: Entry that granted the target.
        question: Number of the question that the home answered.
        running: Requests its target worked on by its answer, if it told.
        queued: Requests that waited there.
        slowness: How many times as long as usual work took there.
    """

    number: int
    call: int
    target: str
    started: float
    home: str
    question: int
    running: int | None = None
    queued: int = 0
    slowness: float = 1.0


@dataclasses.dataclass(slots=True)
class Call:
    """One call that has not had its final word.

    Attributes:
        number: Number of the call.
        request_id: The caller's identifier of the request.
        route: The route it arrived on, kept until it ends.
        service: Service that it goes to.
        fingerprint: Recognises the request when it is sent again.
        arrived: Time it arrived.
        aim_at: Time by which its answer is of full use.
        deadline: Time by which it gets its final word.
        question: Number of the question for a target under way.
        attempts: Numbers of its attempts in flight.
        tried: Targets that it was sent to.
        sends: How often it was sent.
        verdict: The worst verdict of its ended attempts.
        cuts: How many of its attempts lost their connection after sending.
    """

    number: int
    request_id: str
    route: route_models.Route
    service: str
    fingerprint: bytes
    arrived: float
    aim_at: float
    deadline: float
    question: int | None = None
    attempts: set[int] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    verdict: outcome_models.Verdict = outcome_models.Verdict.DID_NOT_RUN
    cuts: int = 0


@dataclasses.dataclass(slots=True)
class ForwardingState:
    """All calls and attempts under way.

    Attributes:
        calls: Calls without their final word, by number.
        attempts: Attempts in flight, by number.
        streaming: Attempts whose answer is on its way to the caller.
        last_attempt: Number of the latest attempt.
    """

    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    streaming: set[int] = dataclasses.field(default_factory=set)
    last_attempt: int = 0
