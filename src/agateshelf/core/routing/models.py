"""What an entry believes of the targets it routes to."""

from collections import abc
import dataclasses
import enum

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.routing import const


class Ending(enum.IntEnum):
    """How an attempt ended, as evidence on its target."""

    ANSWERED = 0
    ERROR = 1
    REFUSED = 2
    UNREACHABLE = 3
    NEUTRAL = 4


@dataclasses.dataclass(slots=True)
class Breaker:
    """Circuit breaker of a target.

    Attributes:
        errors_in_row: Errors since the last good answer.
        open_until: Time until which no call goes there; None when closed.
        period: Seconds that it is opened for next.
        in_trial: Whether a single trial call is in flight.
    """

    errors_in_row: int = 0
    open_until: float | None = None
    period: float = const.FIRST_OPEN_SECONDS
    in_trial: bool = False


@dataclasses.dataclass(slots=True)
class TargetView:
    """One target as this entry sees it.

    Attributes:
        target: The target.
        in_flight: This entry's own attempts in flight there.
        held: All attempts in flight there that this entry knows of.
        work: Slot-seconds that attempts took lately, decayed.
        answers: Answers they brought lately, decayed.
        work_as_of: Time up to which `work` and `answers` are right.
        errors: Errors lately, decayed.
        successes: Good answers lately, decayed.
        errors_as_of: Time up to which `errors` and `successes` are right.
        breaker: Its circuit breaker.
        draining: Whether it said, or a peer said, that it is leaving.
        reported: Requests it held by its latest answer.
        reported_at: When that answer came.
        sent_since: Own attempts sent since then.
        warm_at: Time from which it gets its full share.
    """

    target: configuration_models.Target
    in_flight: int = 0
    held: int = 0
    work: float = 0.0
    answers: float = 0.0
    work_as_of: float = 0.0
    errors: float = 0.0
    successes: float = 0.0
    errors_as_of: float = 0.0
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    draining: bool = False
    reported: int = 0
    reported_at: float = 0.0
    sent_since: int = 0
    warm_at: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it gets no new call because it leaves."""
        return self.draining or self.target.draining


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A target that another entry was told to take.

    Attributes:
        group: The group.
        view: The target.
        expires: Time after which the attempt can't be in flight any more.
        trial: Whether it is the trial call of an open breaker.
    """

    group: "Group"
    view: TargetView
    expires: float
    trial: bool


@dataclasses.dataclass(slots=True)
class Group:
    """Some targets of a service whose calls one entry, the home, places.

    Attributes:
        name: Name of the group, the same at every entry.
        index: Its index within the service.
        service: The service.
        views: Its targets.
        work: Slot-seconds of all its attempts, halved from time to time.
        answers: Answers that they brought, halved with them.
        home: Entry that places its calls, or None for choice by itself.
    """

    name: str
    index: int
    service: configuration_models.Service
    views: list[TargetView]
    work: float = const.TYPICAL_FIRST_ANSWERS * const.FIRST_MEAN_SECONDS
    answers: float = const.TYPICAL_FIRST_ANSWERS
    home: str | None = None

    @property
    def mean(self) -> float:
        """Slot-seconds that an answer usually takes."""
        return self.work / self.answers


@dataclasses.dataclass(slots=True)
class ServiceView:
    """One service as this entry sees it.

    Attributes:
        service: The service.
        group_count: Number of its groups.
        groups: The groups this entry has had to do with, by index.
        targets: All its targets, by identifier.
        views: What is believed of targets, by identifier.
        out: Targets that leave or whose breaker is open.
    """

    service: configuration_models.Service
    group_count: int
    targets: dict[str, configuration_models.Target]
    groups: dict[int, Group] = dataclasses.field(default_factory=dict)
    views: dict[str, TargetView] = dataclasses.field(default_factory=dict)
    out: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a call needs a target for.

    Attributes:
        call: Number of the call.
        service: Name of the service.
        tried: Targets that it has been sent to.
        idempotent: Whether it may be repeated if its target fails.
        hedge: Whether another attempt of it is in flight.
    """

    call: int
    service: str
    tried: abc.Set[str]
    idempotent: bool
    hedge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A question to a home that waits for its answer."""

    wish: Wish
    group: Group
    home: str
    asked_at: float


@dataclasses.dataclass(slots=True)
class Placement:
    """Where an attempt was placed, from the choice until its end.

    Attributes:
        group: The group.
        view: The target.
        home: Entry that is to hear of its end, or None.
        ask: Number of the question to that entry.
        trial: Whether it is the trial call of an open breaker.
        started: Time of the choice.
    """

    group: Group
    view: TargetView
    home: str | None
    ask: int
    trial: bool
    started: float


@dataclasses.dataclass(slots=True)
class RoutingState:
    """All that the choice of targets rests on.

    Attributes:
        services: Services by name.
        entries: Failure domains of the live entries, by identifier.
        rank: This entry's place among the live entries in order.
        asks: Questions that wait for an answer, by number.
        last_ask: Number of the latest question or placement.
        placements: Placements not yet ended, by number.
        grants: Targets named to other entries, by entry and question.
        ask_tokens: Questions that may be asked at once.
        ask_tokens_at: Time up to which they are counted.
        suspected: Until when a silent home is not asked, by entry.
        crossing: Seconds that a round trip to another failure domain takes.
    """

    services: dict[str, ServiceView] = dataclasses.field(default_factory=dict)
    entries: dict[str, str] = dataclasses.field(default_factory=dict)
    rank: int = 0
    asks: dict[int, Ask] = dataclasses.field(default_factory=dict)
    last_ask: int = 0
    placements: dict[int, Placement] = dataclasses.field(default_factory=dict)
    grants: dict[tuple[str, int], Grant] = dataclasses.field(
        default_factory=dict
    )
    ask_tokens: float = const.MOST_ASKS_AT_ONCE
    ask_tokens_at: float = 0.0
    suspected: dict[str, float] = dataclasses.field(default_factory=dict)
    crossing: float = const.FIRST_CROSSING_SECONDS
