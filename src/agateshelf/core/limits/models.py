"""State of the limits of one entry."""

import collections
import dataclasses
import enum

from agateshelf.core.configuration import models as configuration_models


class Phase(enum.Enum):
    """How far a call has come through the limits."""

    QUEUED = "queued"
    PASSING = "passing"
    CLAIMING = "claiming"
    STARTED = "started"


@dataclasses.dataclass(slots=True)
class Ticket:
    """A call under way, as the limits see it.

    Attributes:
        call: Number of the call.
        service: The policy it arrived under.
        caller: Name of the caller.
        claims: Whether it needs a claim before it may start.
        deadline: Time after which nobody waits, in seconds.
        arrived: Time it came, in seconds.
        pool: Where it counts.
        phase: How far it has come.
    """

    call: int
    service: configuration_models.Service
    caller: str
    claims: bool
    deadline: float
    arrived: float
    pool: "Pool"
    phase: Phase = Phase.QUEUED


@dataclasses.dataclass(slots=True)
class Flow:
    """Calls of one caller of one service that wait, oldest first.

    Attributes:
        service: Name of the service.
        caller: Name of the caller.
        weight: Its share against the other flows.
        passed: Releases so far, each divided by the weight.
        plain: Waiting calls that need no claim.
        claiming: Waiting calls that need a claim.
    """

    service: str
    caller: str
    weight: float
    passed: float
    plain: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque
    )
    claiming: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque
    )


FlowKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Queue:
    """Calls of a pool that wait for a free target.

    Attributes:
        classes: Flows by class of priority, then by service and caller.
        lengths: Number of waiting calls by service.
        length: Number of all waiting calls.
        passed: The latest release's `passed`, where new flows begin.
        releases: Number of releases while a lower class waited.
        emptied: Last time the queue was seen empty, in seconds.
    """

    classes: dict[configuration_models.Priority, dict[FlowKey, Flow]]
    lengths: dict[str, int] = dataclasses.field(default_factory=dict)
    length: int = 0
    passed: float = 0.0
    releases: int = 0
    emptied: float = 0.0


@dataclasses.dataclass(slots=True)
class TargetLimit:
    """What this entry allows itself at one target.

    Attributes:
        limit: Attempts in flight, as a fraction where entries are many.
        slots: Requests it works on at once, as configured or reported.
        in_flight: This entry's attempts there.
    """

    limit: float
    slots: int
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class Pool:
    """Services that share targets, with the limits on those targets.

    Attributes:
        services: Names of the services.
        targets: Limits by target identifier.
        window: Sum of the limits.
        full: Targets at which this entry has reached its limit.
        in_flight: This entry's attempts in flight at all of them.
        passing: Calls let pass whose first attempt is about to start.
        claiming: Calls let pass that wait for their claim.
        queue: Calls that wait.
        median: Usual time of an answer in seconds; 0 while unknown.
    """

    services: frozenset[str]
    targets: dict[str, TargetLimit]
    window: float
    queue: Queue
    full: set[str] = dataclasses.field(default_factory=set)
    in_flight: int = 0
    passing: int = 0
    claiming: int = 0
    median: float = 0.0


@dataclasses.dataclass(slots=True)
class LimitsState:
    """Pools by service name, and tickets by call number."""

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    tickets: dict[int, Ticket] = dataclasses.field(default_factory=dict)


def create_queue() -> Queue:
    """Create an empty queue."""
    return Queue({priority: {} for priority in configuration_models.Priority})
