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
        caller: Name of the share it takes from.
        weight: Weight of that share.
        claims: Whether it needs a claim before it may start.
        deadline: Time after which nobody waits, in seconds.
        arrived: Time it came, in seconds.
        pool: Where it counts.
        phase: How far it has come.
    """

    call: int
    service: configuration_models.Service
    caller: str
    weight: float
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
class Use:
    """What one flow offered lately.

    Attributes:
        weight: Its share against the other flows.
        offered: Calls that came.
        passed: Calls that were let pass.
    """

    weight: float
    offered: int = 0
    passed: int = 0


@dataclasses.dataclass(slots=True)
class Sharing:
    """Which flows take more than their fair share of a pool.

    Attributes:
        began: When the present period began, in seconds.
        uses: Uses of the present period.
        over: Flows that were above their fair share in the last one.
        seen: Time of the latest call of each class, in seconds.
    """

    began: float = 0.0
    uses: dict[FlowKey, Use] = dataclasses.field(default_factory=dict)
    over: frozenset[FlowKey] = frozenset()
    seen: dict[configuration_models.Priority, float] = dataclasses.field(
        default_factory=dict
    )


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
        in_flight: This entry's attempts in flight at all of them.
        passing: Calls let pass whose first attempt is about to start.
        claiming: Calls let pass that wait for their claim.
        queue: Calls that wait.
        median: Usual time of an answer in seconds; 0 while unknown.
        yield_share: Part of the window that yielding calls may fill.
        sharing: Which calls yield.
    """

    services: frozenset[str]
    targets: dict[str, TargetLimit]
    window: float
    queue: Queue
    in_flight: int = 0
    passing: int = 0
    claiming: int = 0
    median: float = 0.0
    yield_share: float = 1.0
    sharing: Sharing = dataclasses.field(default_factory=Sharing)


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What a call takes from.

    Attributes:
        share: Name of the share: the caller's, or that of all others.
        weight: Weight of the share under overload.
        rate: Calls a second over all entries; None is no limit.
    """

    share: str
    weight: float
    rate: float | None


@dataclasses.dataclass(slots=True)
class Loan:
    """A part of a rate that one entry leaves to another for a while.

    Attributes:
        rate: Calls a second.
        until: Time it ends, in seconds of the clock of whoever keeps this.
        asked_at: When the borrower asked, in seconds of the borrower's clock.
    """

    rate: float
    until: float
    asked_at: float


@dataclasses.dataclass(slots=True)
class RatePart:
    """This entry's part of the rate of one share of one service.

    Attributes:
        rate: Calls a second over all entries together.
        tokens: Calls it may let pass now.
        filled_at: Time of the latest refill, in seconds.
        demand: Calls a second that came lately, refused ones too.
        demand_at: Time at which `demand` was right, in seconds.
        borrowed: Loans from other entries, by lender.
        lent: Loans to other entries, by borrower.
        wanted: What borrowers asked for lately: rate and time.
    """

    rate: float
    tokens: float = 0.0
    filled_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    borrowed: dict[str, Loan] = dataclasses.field(default_factory=dict)
    lent: dict[str, list[Loan]] = dataclasses.field(default_factory=dict)
    wanted: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


ShareKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class RatesState:
    """Parts of rates by service and share.

    Attributes:
        parts: The parts, only of shares that have a rate.
        peers: Identifiers of the other entries; None before any was heard of.
        wanting: Parts that are short, to be asked for.
        ask_at: When the next request for loans is due; None if none is.
        asked_at: When the latest one was sent.
    """

    parts: dict[ShareKey, RatePart] = dataclasses.field(default_factory=dict)
    peers: tuple[str, ...] | None = None
    wanting: set[ShareKey] = dataclasses.field(default_factory=set)
    ask_at: float | None = None
    asked_at: float = 0.0


@dataclasses.dataclass(slots=True)
class LimitsState:
    """State of all limits.

    Attributes:
        pools: Pools by service name.
        tickets: Calls under way by number.
        standings: Standings by service name and share.
        rates: Parts of callers' rates.
        entries: Number of live entries that the limits are scaled for.
    """

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    tickets: dict[int, Ticket] = dataclasses.field(default_factory=dict)
    standings: dict[str, dict[str, Standing]] = dataclasses.field(
        default_factory=dict
    )
    rates: RatesState = dataclasses.field(default_factory=RatesState)
    entries: int = 1


def create_queue() -> Queue:
    """Create an empty queue."""
    return Queue({priority: {} for priority in configuration_models.Priority})
