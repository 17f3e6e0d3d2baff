"""What a home knows of a service's targets, and the requests it places."""

import collections
import dataclasses
import enum
import math

from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages

TurnKey = tuple[str, int]


class Ending(enum.IntEnum):
    """How a granted turn ended, as evidence on its target."""

    ANSWERED = 0
    ERROR = 1
    REFUSED = 2
    UNREACHABLE = 3
    MISPLACED = 4
    NEUTRAL = 5


class Refusal(enum.IntEnum):
    """Why a turn is refused."""

    NO_TARGET = 0
    TOO_LATE = 1
    OVERLOAD = 2
    NO_REPEAT = 3


@dataclasses.dataclass(slots=True)
class Turn:
    """A request that waits for a target, or was granted one.

    Attributes:
        key: Entry that asks, and its number for the question.
        route: Name of the route.
        priority: Rank of the request; 0 goes first.
        idempotent: Whether it may run more than once.
        work: Seconds that it is expected to run on an idle usual target.
        arrived: Time it came.
        aim_at: Time by which its answer is of full use.
        give_up_at: Time after which nobody waits for it.
        tried: Targets it was sent to before.
        failure_domain: Where it is sent from.
        target: Target granted to it; None while it waits.
        granted_at: Time of the grant.
        expected: Seconds it was expected to run when it was granted.
        alone: The same, had its target not been crowded.
        crowded: Whether all slots of its target were taken by the grant.
        hedged: Whether it has a second send, or is one.
        done: Work that its target has probably done, in seconds of an idle
            usual target.
        counted_at: Time up to which that is counted.
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
    """One target as a home sees it.

    Attributes:
        registration: What it registered of itself.
        turns: Turns granted to it that have not ended.
        foreign: Requests it holds that this home did not grant.
        speed: Speed it last reported; 1 is the usual one, less is slower.
        mean_speed: Average of its reports of the latest seconds.
        heard_at: Time it last reported.
        warm_at: Time from which it is no longer slow from its start.
        errors: Errors lately, decayed.
        answers: Good answers lately, decayed.
        counted_at: Time up to which `errors` and `answers` are decayed.
        errors_in_row: Errors since the last good answer.
        barred_until: Time until which it gets no request.
        bar_seconds: How long it is barred for next.
        unanswered: Probes in a row without any answer.
    """

    registration: directory_models.Registration
    turns: dict[TurnKey, Turn] = dataclasses.field(default_factory=dict)
    foreign: int = 0
    speed: float = const.USUAL_SPEED
    mean_speed: float = const.USUAL_SPEED
    heard_at: float = -math.inf
    warm_at: float = -math.inf
    errors: float = 0.0
    answers: float = 0.0
    counted_at: float = 0.0
    errors_in_row: int = 0
    barred_until: float = -math.inf
    bar_seconds: float = const.FIRST_BAR_SECONDS
    unanswered: int = 0

    @property
    def held(self) -> int:
        """Requests that it probably holds."""
        return len(self.turns) + self.foreign


@dataclasses.dataclass(slots=True)
class RepeatWindow:
    """Requests and repeats of the latest window.

    Attributes:
        requests: Times of the first sends.
        repeats: Times of the further sends.
    """

    requests: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    repeats: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class Seat:
    """Who samples the targets of a failure domain for a desk.

    Attributes:
        entry: The sampler.
        heard_at: Time it was last heard of, or chosen.
        renew_at: Time at which it is asked to go on.
    """

    entry: str
    heard_at: float
    renew_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """What a desk wants of a sampler.

    Attributes:
        until: Time until which it wants to know.
        every: Seconds between two probes of a target.
    """

    until: float
    every: float


@dataclasses.dataclass(slots=True)
class Sampler:
    """Sampling of a service's targets in a failure domain by this entry.

    Attributes:
        service: Name of the service.
        failure_domain: Where the targets are.
        wanted: What the desks want, by their entry.
        probing: Targets whose probe is under way.
        loads: What was heard since the last report.
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
    """Dispatch of one service at the entry that does it.

    Attributes:
        service: Name of the service.
        targets: Its targets by identifier.
        waiting: Turns that wait for a target, by key.
        granted: Turns that were granted a target, by key.
        works: Measured run time of each route on an idle usual target.
        crowding: How much longer work takes on a crowded target.
        repeats: Sends of the latest window.
        asked_at: Time of the latest question.
        asked_by_others_at: Time of the latest question of another entry.
        sampled: Whether its targets are being sampled.
        seats: Who samples the targets of each failure domain.
        quiet: Until when an entry is not made a sampler.
        wakes_at: Time of the earliest timer.
    """

    service: str
    targets: dict[str, TargetState] = dataclasses.field(default_factory=dict)
    waiting: dict[TurnKey, Turn] = dataclasses.field(default_factory=dict)
    granted: dict[TurnKey, Turn] = dataclasses.field(default_factory=dict)
    works: dict[str, float] = dataclasses.field(default_factory=dict)
    crowding: float = const.FIRST_CROWDING
    repeats: RepeatWindow = dataclasses.field(default_factory=RepeatWindow)
    asked_at: float = -math.inf
    asked_by_others_at: float = -math.inf
    sampled: bool = False
    seats: dict[str, Seat] = dataclasses.field(default_factory=dict)
    quiet: dict[str, float] = dataclasses.field(default_factory=dict)
    wakes_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment sets.

    Attributes:
        repeat_share: Further sends as a share of the requests.
        repeat_slack: Further sends beyond that share.
        repeat_seconds: Window that both are counted in.
        probes_per_second: Probes that a target may get from all entries.
    """

    repeat_share: float = 0.2
    repeat_slack: float = 50.0
    repeat_seconds: float = 10.0
    probes_per_second: float = 40.0


@dataclasses.dataclass(slots=True)
class Question:
    """A question to a home that waits for its target.

    Attributes:
        number: Number of the question.
        call: Number of the call.
        service: Name of the service.
        home: Entry that was asked.
        tried: Homes asked so far.
        waits: Whether the home said that it is known and waits.
        round: Grows with each message to the home.
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
    """All desks and questions of an entry.

    Attributes:
        bounds: Bounds that the deployment sets.
        desks: Desks of the services that this entry was asked about.
        samplers: What this entry samples, by service and failure domain.
        questions: Questions under way, by number.
        last_question: Number of the latest one.
        homes: Live entries in the order in which they are homes of a service,
            until the live entries or the routes change.
        sampling_orders: The same of sampling, by service and failure domain.
        suspected: Until when a silent home is passed over.
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
    """A waiting turn of a service may have to be decided (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SamplersDue:
    """The samplers of a desk are to be looked after (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SampleDue:
    """The targets of a service in a failure domain are to be probed (timer)."""

    service: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportDue:
    """What was heard from sampled targets is to be told (timer)."""

    service: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuestionDue:
    """A home should have said something by now (timer)."""

    number: int
    round: int


DispatchTimer = DeskDue | SamplersDue | SampleDue | ReportDue | QuestionDue
