"""State of one entry's rate limits, concurrency limits and queues."""

import collections
import dataclasses
import enum

from agateshelf.core.configuration import models as configuration_models


class Phase(enum.Enum):
    """Stage of a call in admission control."""

    QUEUED = "queued"
    PASSING = "passing"
    CLAIMING = "claiming"
    STARTED = "started"


@dataclasses.dataclass(slots=True)
class Ticket:
    """Admission state of a call, kept until the call ends.

    Attributes:
        call: Number of the call.
        service: Service configuration in force when the call arrived.
        caller: Name of the share the call counts against.
        weight: Weight of that share.
        claims: Whether the call needs a claim before it may start.
        deadline: Time after which the caller no longer waits, in seconds.
        arrived: Time of arrival, in seconds.
        pool: Pool the call counts against.
        phase: Current stage.
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
    """Queued calls of one caller of one service, oldest first.

    Attributes:
        service: Name of the service.
        caller: Name of the caller's share.
        weight: Weight relative to other flows.
        passed: Virtual time of the flow: calls dequeued, divided by weight.
        plain: Queued calls that need no claim.
        claiming: Queued calls that need a claim.
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
    """Traffic of one flow in the current measuring period.

    Attributes:
        weight: Weight relative to other flows.
        offered: Number of calls that arrived.
        passed: Number of calls admitted.
    """

    weight: float
    offered: int = 0
    passed: int = 0


@dataclasses.dataclass(slots=True)
class Sharing:
    """Measures which flows exceed their fair share of a pool.

    Attributes:
        began: Start of the current measuring period, in seconds.
        uses: Traffic in the current period.
        over: Flows that exceeded their fair share in the previous period.
        seen: Time of the latest call of each priority class, in seconds.
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
        classes: Flows by priority class, then by service and caller.
        lengths: Number of queued calls by service.
        length: Number of all queued calls.
        passed: Virtual time of the queue, at which new flows start.
        releases: Number of calls dequeued while several classes were waiting.
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
    """Concurrency limit of this entry at one target.

    Attributes:
        limit: Maximum attempts in flight; a fraction, as it may be below 1.
        slots: Requests the target processes at once, configured or reported.
        in_flight: This entry's attempts in flight at the target.
    """

    limit: float
    slots: int
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class Pool:
    """Services that share targets, with the limits and queue of those targets.

    Attributes:
        services: Names of the services.
        targets: Limits by target identifier.
        window: Sum of the limits.
        in_flight: This entry's attempts in flight at all of the targets.
        passing: Admitted calls whose first attempt has not started.
        claiming: Admitted calls that wait for their claim.
        queue: Queued calls.
        median: Median latency in seconds; 0 while unknown.
        yield_share: Part of the window that yielding calls may use.
        sharing: Which flows exceed their fair share.
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
    """The share of a service that a caller's calls count against.

    Attributes:
        share: Name of the share: the caller's own, or that of all others.
        weight: Weight of the share under overload.
        rate: Calls per second over all entries; None if unlimited.
    """

    share: str
    weight: float
    rate: float | None


@dataclasses.dataclass(slots=True)
class Loan:
    """Rate allowance lent by one entry to another for a limited time.

    Attributes:
        rate: Calls per second.
        until: Time of expiry in seconds, by the clock of the entry that holds
            this record.
        asked_at: Time of the request in seconds, by the borrower's clock.
    """

    rate: float
    until: float
    asked_at: float


@dataclasses.dataclass(slots=True)
class RatePart:
    """This entry's part of the rate limit of one share of a service.

    Attributes:
        rate: Calls per second over all entries together.
        tokens: Calls that may be admitted now.
        filled_at: Time of the latest refill, in seconds.
        demand: Moving average of calls per second, including refused ones.
        demand_at: Time of the latest update of `demand`, in seconds.
        borrowed: Loans from other entries, by lender.
        lent: Loans to other entries, by borrower.
        wanted: Recent requests for loans, by borrower: rate and time.
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
    """Rate limits of all shares at this entry.

    Attributes:
        parts: Limits by service and share, only for shares with a rate.
        peers: Identifiers of the other entries; None until the first list of
            entries is known.
        wanting: Shares whose allowance is short, for the next loan request.
        ask_at: Time of the next loan request in seconds; None if none is
            scheduled.
        asked_at: Time of the latest loan request, in seconds.
    """

    parts: dict[ShareKey, RatePart] = dataclasses.field(default_factory=dict)
    peers: tuple[str, ...] | None = None
    wanting: set[ShareKey] = dataclasses.field(default_factory=set)
    ask_at: float | None = None
    asked_at: float = 0.0


@dataclasses.dataclass(slots=True)
class LimitsState:
    """State of all limits of this entry.

    Attributes:
        pools: Pools by service name.
        tickets: Admission state of all calls, by call number.
        standings: Shares by service name and share name.
        rates: Rate limits.
        entries: Number of live entries for which the limits are scaled.
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
