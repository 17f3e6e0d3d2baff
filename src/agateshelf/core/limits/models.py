"""State of one entry's rate limits, concurrency limits and queues."""

import collections
import dataclasses
import enum

from agateshelf.core.configuration import models as configuration_models


class Phase(enum.Enum):
    """Stage of a call in admission control.

    Attributes:
        QUEUED: It waits in the queue of its pool.
        PASSING: It was admitted, and its first attempt has not started.
        CLAIMING: It was admitted and waits for its claim.
        STARTED: Its first attempt has started, or it was rejected or ended.
    """

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
        needs_claim: Whether the call needs a claim before it may start.
        deadline: Time after which the caller no longer waits, in seconds.
        arrived: Time of arrival, in seconds.
        pool: Pool the call counts against.
        phase: Current stage.
    """

    call: int
    service: configuration_models.Service
    caller: str
    weight: float
    needs_claim: bool
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
        virtual_time: Virtual time at which the flow is served next; each call
            advances it by 1 / weight.
        plain: Queued calls that need no claim.
        claiming: Queued calls that need a claim.
    """

    service: str
    caller: str
    weight: float
    virtual_time: float
    plain: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque
    )
    claiming: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque
    )


FlowKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class FlowUsage:
    """Traffic of one flow in the current measuring period.

    Attributes:
        weight: Weight relative to other flows.
        offered: Number of calls that arrived.
        admitted: Number of calls admitted.
    """

    weight: float
    offered: int = 0
    admitted: int = 0


@dataclasses.dataclass(slots=True)
class FairShare:
    """Measures which flows exceed their fair share of a pool.

    Attributes:
        period_started: Start of the current measuring period, in seconds.
        usage: Traffic in the current period.
        over_share: Flows that exceeded their fair share in the previous period.
        last_seen: Time of the latest call of each priority class, in seconds.
    """

    period_started: float = 0.0
    usage: dict[FlowKey, FlowUsage] = dataclasses.field(default_factory=dict)
    over_share: frozenset[FlowKey] = frozenset()
    last_seen: dict[configuration_models.Priority, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Queue:
    """Calls of a pool that wait for a free target.

    Attributes:
        flows: Flows by priority class, then by service and caller.
        lengths: Number of queued calls by service.
        length: Number of all queued calls.
        virtual_time: Virtual time of the queue, at which new flows start.
        releases: Number of calls dequeued while several classes were waiting.
        last_empty: Last time the queue was seen empty, in seconds.
    """

    flows: dict[configuration_models.Priority, dict[FlowKey, Flow]]
    lengths: dict[str, int] = dataclasses.field(default_factory=dict)
    length: int = 0
    virtual_time: float = 0.0
    releases: int = 0
    last_empty: float = 0.0


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
        median_latency: Median latency in seconds; 0 while unknown.
        yield_share: Part of the window that yielding calls may use.
        fair_share: Which flows exceed their fair share.
    """

    services: frozenset[str]
    targets: dict[str, TargetLimit]
    window: float
    queue: Queue
    in_flight: int = 0
    passing: int = 0
    claiming: int = 0
    median_latency: float = 0.0
    yield_share: float = 1.0
    fair_share: FairShare = dataclasses.field(default_factory=FairShare)


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveShare:
    """The share of a service that a caller's calls count against.

    Attributes:
        name: Name of the share: the caller's own, or that of all others.
        weight: Weight of the share under overload.
        rate: Calls per second over all entries; None if unlimited.
    """

    name: str
    weight: float
    rate: float | None


@dataclasses.dataclass(slots=True)
class Loan:
    """Rate allowance lent by one entry to another for a limited time.

    Attributes:
        rate: Calls per second.
        until: Time of expiry in seconds, by the clock of the entry that holds
            this record.
        requested_at: Time of the request in seconds, by the borrower's clock.
    """

    rate: float
    until: float
    requested_at: float


@dataclasses.dataclass(slots=True)
class RateLimiter:
    """This entry's part of the rate limit of one share of a service.

    Attributes:
        rate: Calls per second over all entries together.
        tokens: Calls that may be admitted now.
        filled_at: Time of the latest refill, in seconds.
        demand: Moving average of calls per second, including refused ones.
        demand_at: Time of the latest update of `demand`, in seconds.
        borrowed: Loans from other entries, by lender.
        lent: Loans to other entries, by borrower.
        loan_requests: Recent requests for loans, by borrower: rate and time.
    """

    rate: float
    tokens: float = 0.0
    filled_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    borrowed: dict[str, Loan] = dataclasses.field(default_factory=dict)
    lent: dict[str, list[Loan]] = dataclasses.field(default_factory=dict)
    loan_requests: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


ShareKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class RatesState:
    """Rate limits of all shares at this entry.

    Attributes:
        limiters: Rate limiters by service and share, for shares with a rate.
        peers: Identifiers of the other entries; None until the first list of
            live entries is known.
        short_shares: Shares whose allowance is short, for the next loan
            request.
        request_due_at: Time of the next loan request, in seconds; None if none
            is scheduled.
        requested_at: Time of the latest loan request, in seconds.
    """

    limiters: dict[ShareKey, RateLimiter] = dataclasses.field(
        default_factory=dict
    )
    peers: tuple[str, ...] | None = None
    short_shares: set[ShareKey] = dataclasses.field(default_factory=set)
    request_due_at: float | None = None
    requested_at: float = 0.0


@dataclasses.dataclass(slots=True)
class LimitsState:
    """State of all limits of this entry.

    Attributes:
        pools: Pools by service name.
        tickets: Admission state of all calls, by call number.
        shares: Shares by service name and share name.
        rates: Rate limits.
        entries: Number of live entries for which the limits are scaled.
    """

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    tickets: dict[int, Ticket] = dataclasses.field(default_factory=dict)
    shares: dict[str, dict[str, EffectiveShare]] = dataclasses.field(
        default_factory=dict
    )
    rates: RatesState = dataclasses.field(default_factory=RatesState)
    entries: int = 1


def create_queue() -> Queue:
    """Create an empty queue."""
    return Queue({priority: {} for priority in configuration_models.Priority})
