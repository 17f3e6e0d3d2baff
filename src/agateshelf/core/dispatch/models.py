"""State of dispatch: requests, targets, samplers and timers."""

import collections
import dataclasses
import enum
import math

from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages

TurnKey = tuple[str, int]


class Ending(enum.IntEnum):
    """How a granted request ended, as far as it concerns the target."""

    ANSWERED = 0
    ERROR = 1
    REFUSED = 2
    UNREACHABLE = 3
    MISPLACED = 4
    NEUTRAL = 5


class Refusal(enum.IntEnum):
    """Reason for refusing a request a target."""

    NO_TARGET = 0
    TOO_LATE = 1
    OVERLOAD = 2
    NO_REPEAT = 3


@dataclasses.dataclass(slots=True)
class Turn:
    """A request that waits for a target or was granted one.

    Attributes:
        key: Requesting entry and its number for the request.
        route: Name of the route.
        priority: Rank of the request; 0 goes first.
        idempotent: Whether it may run more than once.
        work: Expected run time in seconds on an idle target of usual speed.
        arrived: Time of arrival at the owner.
        aim_at: Time after which a response is late.
        give_up_at: Time at which the caller stops waiting.
        tried: Targets that it was already sent to.
        failure_domain: Failure domain of the requesting entry.
        target: Target granted to it; None while it waits.
        granted_at: Time of the grant.
        expected: Expected run time in seconds, as of the grant.
        alone: Expected run time without contention, as of the grant.
        crowded: Whether the grant caused contention on the target.
        hedged: Whether it has a hedge, or is one.
        done: Estimated work done so far, in seconds on an idle target of usual
            speed.
        counted_at: Time as of which the work done is estimated.
    """

    key: TurnKey
    route: str
    priority: int
    idempotent: bool
    work: float
    arrived: float
    aim_at: float
    give_up_at: float
    tried: frozenset[str]
    failure_domain: str
    target: str | None = None
    granted_at: float = 0.0
    expected: float = 0.0
    alone: float = 0.0
    crowded: bool = False
    hedged: bool = False
    done: float = 0.0
    counted_at: float = 0.0


@dataclasses.dataclass(slots=True)
class TargetState:
    """State of one target at the owner of its service.

    Attributes:
        registration: Current registration of the target.
        turns: Granted requests that have not ended, by key.
        foreign: Requests it holds that this owner did not grant.
        speed: Speed it last reported; 1 is the usual speed, less is slower.
        mean_speed: Moving average of the reported speeds.
        heard_at: Time of the last report.
        warm_at: Time at which its warm-up ends.
        errors: Recent errors, decayed exponentially.
        answers: Recent successful responses, decayed exponentially.
        counted_at: Time up to which the errors and successes are decayed.
        errors_in_row: Errors since the last successful response.
        barred_until: Time until which it gets no requests.
        bar_seconds: Duration of the next ejection.
        unanswered: Consecutive probes without a reply.
    """

    registration: directory_models.Registration
    turns: dict[TurnKey, Turn] = dataclasses.field(default_factory=dict)
    foreign: int = 0
    speed: float = const.INITIAL_SPEED
    mean_speed: float = const.INITIAL_SPEED
    heard_at: float = -math.inf
    warm_at: float = -math.inf
    errors: float = 0.0
    answers: float = 0.0
    counted_at: float = 0.0
    errors_in_row: int = 0
    barred_until: float = -math.inf
    bar_seconds: float = const.INITIAL_EJECTION_SECONDS
    unanswered: int = 0

    @property
    def held(self) -> int:
        """Estimated number of requests that the target holds."""
        return len(self.turns) + self.foreign


@dataclasses.dataclass(slots=True)
class RepeatWindow:
    """Sliding window of the retry budget.

    Attributes:
        requests: Times of first attempts.
        repeats: Times of further attempts, both retries and hedges.
    """

    requests: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    repeats: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class Seat:
    """The sampler of a failure domain for a dispatcher.

    Attributes:
        entry: Entry that samples.
        heard_at: Time of its last report, or of its assignment.
        renew_at: Time at which the subscription is renewed.
    """

    entry: str
    heard_at: float
    renew_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A dispatcher's subscription at a sampler.

    Attributes:
        until: Time at which the subscription ends.
        every: Seconds between two probes of a target.
    """

    until: float
    every: float


@dataclasses.dataclass(slots=True)
class Sampler:
    """Sampling of a service's targets in a failure domain by this entry.

    Attributes:
        service: Name of the service.
        failure_domain: Failure domain of the targets.
        wanted: Subscriptions by subscribing entry.
        probing: Targets with a probe in flight.
        loads: Loads received since the last report.
        reporting: Whether a report is scheduled.
    """

    service: str
    failure_domain: str
    wanted: dict[str, Want] = dataclasses.field(default_factory=dict)
    probing: set[str] = dataclasses.field(default_factory=set)
    loads: list[messages.TargetLoad] = dataclasses.field(default_factory=list)
    reporting: bool = False


@dataclasses.dataclass(slots=True)
class Desk:
    """Dispatch state of one service at its owner.

    Attributes:
        service: Name of the service.
        targets: Targets of the service by identifier.
        waiting: Requests that wait for a target, by key.
        granted: Requests that were granted a target, by key.
        works: Estimated run time in seconds of each route's requests, on an
            idle target of usual speed.
        crowding: Factor by which contention slows down work.
        repeats: Attempts counted for the retry budget.
        asked_at: Time of the latest request.
        asked_by_others_at: Time of the latest request of another entry.
        sampled: Whether its targets are being sampled.
        seats: Assigned sampler of each failure domain.
        quiet: Times until which entries may not be assigned as samplers.
        wakes_at: Time of the earliest scheduled check.
    """

    service: str
    targets: dict[str, TargetState] = dataclasses.field(default_factory=dict)
    waiting: dict[TurnKey, Turn] = dataclasses.field(default_factory=dict)
    granted: dict[TurnKey, Turn] = dataclasses.field(default_factory=dict)
    works: dict[str, float] = dataclasses.field(default_factory=dict)
    crowding: float = const.INITIAL_CONTENTION
    repeats: RepeatWindow = dataclasses.field(default_factory=RepeatWindow)
    asked_at: float = -math.inf
    asked_by_others_at: float = -math.inf
    sampled: bool = False
    seats: dict[str, Seat] = dataclasses.field(default_factory=dict)
    quiet: dict[str, float] = dataclasses.field(default_factory=dict)
    wakes_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds set by the deployment's settings.

    Attributes:
        repeat_share: Retries and hedges allowed, as a share of the requests.
        repeat_slack: Retries and hedges allowed beyond that share.
        repeat_seconds: Length in seconds of the window in which both count.
        probes_per_second: Limit on the probes of a target by all entries.
    """

    repeat_share: float = 0.2
    repeat_slack: float = 50.0
    repeat_seconds: float = 10.0
    probes_per_second: float = 40.0


@dataclasses.dataclass(slots=True)
class Question:
    """A request for a target that the owner has not decided yet.

    Attributes:
        number: Number of the request.
        call: Number of the call.
        service: Name of the service.
        home: Entry that was asked last.
        tried: Entries asked so far.
        waits: Whether the owner acknowledged that the request is queued.
        round: Count of messages sent and acknowledged. A timer of an earlier
            round is ignored.
    """

    number: int
    call: int
    service: str
    home: str
    tried: set[str]
    waits: bool = False
    round: int = 0


@dataclasses.dataclass(slots=True)
class DispatchState:
    """Dispatch state of an entry.

    Attributes:
        bounds: Bounds set by the deployment's settings.
        desks: Dispatchers by service.
        samplers: Samplers run by this entry, by service and failure domain.
        questions: Pending requests by number.
        last_question: Number of the latest request.
        homes: Cached ranking of live entries as owners, by service. Cleared
            when the live entries or the routes change.
        sampling_orders: Cached ranking of live entries as samplers, by service
            and failure domain.
        suspected: Times until which silent owners are skipped, by entry.
    """

    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    desks: dict[str, Desk] = dataclasses.field(default_factory=dict)
    samplers: dict[tuple[str, str], Sampler] = dataclasses.field(
        default_factory=dict
    )
    questions: dict[int, Question] = dataclasses.field(default_factory=dict)
    last_question: int = 0
    homes: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    sampling_orders: dict[tuple[str, str], tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    suspected: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class DeskDue:
    """The waiting requests of a service are due for a decision (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SamplersDue:
    """The samplers of a dispatcher are due for a check (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SampleDue:
    """The targets of a service in a failure domain are due a probe (timer)."""

    service: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportDue:
    """The loads of sampled targets are due to be reported (timer)."""

    service: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuestionDue:
    """A pending request is due a reply or a recheck (timer)."""

    number: int
    round: int


DispatchTimer = DeskDue | SamplersDue | SampleDue | ReportDue | QuestionDue
