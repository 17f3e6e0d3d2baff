"""State of dispatch: requests, targets, samplers and timers."""

import collections
from collections import abc
import dataclasses
import enum
import math

from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import service_accounts
from agateshelf.core.target_notices import models as notice_models

RequestKey = tuple[str, int]


class Ending(enum.IntEnum):
    """How a granted request ended, as far as it concerns the target.

    Attributes:
        ANSWERED: The target sent a response other than an error.
        ERROR: The target sent a server error, or failed during the request.
        REFUSED: The target reported that it did not run the request.
        UNREACHABLE: No connection to the target could be established.
        MISPLACED: The target reported a misdirected request, or the requesting
            entry knows no such target or knows that it is draining.
        NEUTRAL: The end says nothing about the target.
    """

    ANSWERED = 0
    ERROR = 1
    REFUSED = 2
    UNREACHABLE = 3
    MISPLACED = 4
    NEUTRAL = 5


class Refusal(enum.IntEnum):
    """Reason for refusing a request a target.

    Attributes:
        NO_TARGET: The service has no targets.
        TOO_LATE: Even an idle target could not respond before the deadline.
        OVERLOAD: More late requests wait than the targets could serve.
        NO_RETRY: The retry budget is exhausted.
        NO_REGION: No target in a region that may serve it accepts requests.
    """

    NO_TARGET = 0
    TOO_LATE = 1
    OVERLOAD = 2
    NO_RETRY = 3
    NO_REGION = 4


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request that waits for a target or was granted one.

    Attributes:
        key: Requesting entry and its number for the request. The number is
            negative for a hedge.
        route: Name of the route.
        priority: Rank of the request; 0 goes first.
        idempotent: Whether it may run more than once.
        work: Expected run time in seconds on an idle target of usual speed.
        initial_work: The same before any run was measured.
        arrived_at: Time of arrival at the owner.
        soft_deadline: Time after which a response is late.
        deadline: Time at which the caller stops waiting.
        tried: Targets that it was already sent to.
        failure_domain: Failure domain of the requesting entry.
        domains: Failure domains whose targets may serve it; None for all.
        connected: Targets to which the requesting entry has an idle connection;
            None if it doesn't tell.
        crossing: Measured seconds of a round trip from the requesting entry's
            failure domain to others, by failure domain.
        target: Target granted to it; None while it waits.
        granted_at: Time of the grant.
        expected_seconds: Expected run time in seconds, as of the grant.
        uncontended_seconds: Expected run time without contention in seconds, as
            of the grant.
        contended: Whether the grant caused contention on the target.
        hedged: Whether it has a hedge, or is one.
        work_done: Estimated work done so far, in seconds on an idle target of
            usual speed.
        work_updated_at: Time as of which the work done is estimated.
        is_trial: Whether its run replaces the estimate of work.
        may_be_trial: Whether it may become one.
        workspace: Name of the workspace that sent it; empty if there is none.
        workspace_priority: Rank of the workspace, which goes before `priority`.
        priorities: Both priorities, the workspace's first.
        fair_rank: Its place in the last full decision among requests of other
            workspaces; set only while requests name workspaces.
        latest_start: Time by which it must start to be in time on an idle
            target of usual speed.
        rank: Its place among the requests that can be in time; the lowest goes
            first.
        late_rank: Its place among those that can't.
    """

    key: RequestKey
    route: str
    priority: int
    idempotent: bool
    work: float
    initial_work: float
    arrived_at: float
    soft_deadline: float
    deadline: float
    tried: frozenset[str]
    failure_domain: str
    domains: frozenset[str] | None = None
    connected: tuple[str, ...] | None = None
    crossing: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    target: str | None = None
    granted_at: float = 0.0
    expected_seconds: float = 0.0
    uncontended_seconds: float = 0.0
    contended: bool = False
    hedged: bool = False
    work_done: float = 0.0
    work_updated_at: float = 0.0
    is_trial: bool = False
    may_be_trial: bool = True
    workspace: str = ""
    workspace_priority: int = 0
    fair_rank: tuple[tuple[int, int], float] = ((0, 0), 0.0)
    priorities: tuple[int, int] = dataclasses.field(init=False)
    latest_start: float = dataclasses.field(init=False)
    rank: tuple[int, int, float] = dataclasses.field(init=False)
    late_rank: tuple[int, int, float] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.priorities = (self.workspace_priority, self.priority)
        self.set_work(self.work)

    def set_work(self, work: float) -> None:
        """Set the expected run time, and the urgency that follows from it."""
        self.work = work
        self.latest_start = self.soft_deadline - work
        self.rank = (*self.priorities, self.latest_start)
        self.late_rank = (*self.priorities, self.deadline - work)


@dataclasses.dataclass(slots=True, eq=False)
class TargetState:
    """State of one target at the owner of its service.

    Attributes:
        registration: Current registration of the target.
        requests: Granted requests that have not ended, by key.
        untracked: Reported requests beyond those that this owner granted.
        speed: Speed it last reported; 1 is the usual speed, less is slower.
        mean_speed: Moving average of the reported speeds.
        reported_at: Time of the last report.
        warm_at: Time at which its warm-up ends.
        errors: Recent failures of all kinds, decayed exponentially.
        successes: Recent successful responses, decayed exponentially.
        errors_decayed_at: Time up to which errors and successes are decayed.
        consecutive_errors: Results `ERROR` and `REFUSED` since the last
            successful response; `UNREACHABLE` and `MISPLACED` don't count.
        open_until: Time until which its circuit breaker is open.
        next_open_seconds: Seconds for which the breaker opens next.
        unanswered_probes: Consecutive probes without a response.
        probed_at: Time of the last report of an answered probe.
        pace: Keeps the grants within the limit that it names; None if it names
            none.
        is_cold: Whether its pace, if any, follows from its warm-up.
        leaving: Whether it said that it is leaving.
        paused_until: Time until which it wants no requests.
        resuming: Whether no request has succeeded there since its pause began.
    """

    registration: directory_models.Registration
    requests: dict[RequestKey, Request] = dataclasses.field(
        default_factory=dict
    )
    untracked: int = 0
    speed: float = const.INITIAL_SPEED
    mean_speed: float = const.INITIAL_SPEED
    reported_at: float = -math.inf
    warm_at: float = -math.inf
    errors: float = 0.0
    successes: float = 0.0
    errors_decayed_at: float = 0.0
    consecutive_errors: int = 0
    open_until: float = -math.inf
    next_open_seconds: float = const.INITIAL_OPEN_SECONDS
    unanswered_probes: int = 0
    probed_at: float = -math.inf
    pace: notice_models.Pace | None = None
    is_cold: bool = False
    leaving: bool = False
    paused_until: float = -math.inf
    resuming: bool = False

    @property
    def outstanding(self) -> int:
        """Estimated number of requests that the target runs and queues."""
        return len(self.requests) + self.untracked

    @property
    def slots(self) -> int:
        """Number of requests that it may hold; one just after a pause."""
        return 1 if self.resuming else self.registration.slots

    @property
    def is_departing(self) -> bool:
        """Return whether it must get no more requests, by whichever source."""
        return self.leaving or self.registration.draining


@dataclasses.dataclass(slots=True)
class RetryWindow:
    """Sliding window of the retry budget.

    Attributes:
        requests: Times of first attempts.
        retries: Times of further attempts, both retries and hedges.
    """

    requests: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    retries: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class SamplerAssignment:
    """The entry that samples a failure domain for a dispatcher.

    Attributes:
        entry: Entry that samples.
        last_report_at: Time of its last report, or of its assignment.
        renew_at: Time at which the subscription is renewed.
        skipped: Targets that it was told not to probe.
    """

    entry: str
    last_report_at: float
    renew_at: float = -math.inf
    skipped: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """A dispatcher's subscription at a sampler.

    Attributes:
        expires_at: Time at which the subscription ends.
        interval: Seconds between two probes of a target.
        skipped: Targets that must not be probed.
    """

    expires_at: float
    interval: float
    skipped: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Sampler:
    """Sampling of a pool's targets in a failure domain by this entry.

    Attributes:
        pool: Name of the pool.
        failure_domain: Failure domain of the targets.
        subscriptions: Subscriptions by subscribing entry.
        probing: Targets with a probe in flight.
        loads: Loads received since the last report.
        notices: What targets said of themselves since then.
        told_cold: Time until which a target is cold, as subscribers were last
            told, minus infinity if it was warm, and when that was.
        report_scheduled: Whether a report is scheduled.
    """

    pool: str
    failure_domain: str
    subscriptions: dict[str, Subscription] = dataclasses.field(
        default_factory=dict
    )
    probing: set[str] = dataclasses.field(default_factory=set)
    loads: list[messages.TargetLoad] = dataclasses.field(default_factory=list)
    notices: list[notice_models.Notice] = dataclasses.field(
        default_factory=list
    )
    told_cold: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    report_scheduled: bool = False


@dataclasses.dataclass(slots=True)
class Dispatcher:
    """Dispatch state of one pool of targets at its owner.

    Attributes:
        pool: Name of the pool; that of its service if it is the only one.
        targets: Targets of the pool by identifier.
        waiting: Requests that wait for a target, by key.
        granted: Requests that were granted a target, by key.
        work_estimates: Estimated run time in seconds on an idle target of usual
            speed, by route.
        trials: Latest trial of each route's estimate.
        contention_factor: Factor by which contention slows down work.
        retry_window: Attempts counted for the retry budget.
        last_request_at: Time of the latest request.
        last_peer_request_at: Time of the latest request of another entry.
        sampled: Whether its samplers are checked regularly.
        is_owner: Whether this entry owned the service at the last such check.
        role_since: Time since which it does, or does not.
        probes_from: Time from which this entry has targets probed for requests
            of its own alone.
        samplers: Assigned sampler of each failure domain.
        excluded_samplers: Times until which entries are not assigned as
            samplers, by entry.
        next_check_at: Time of the earliest scheduled check.
        next_full_at: Time from which the next decision is a full one.
        usable: Targets that were usable at the last full decision, and are not
            on trial.
        connected: When targets last answered an entry that doesn't tell its
            connections, by entry and target, the latest last.
        next_release_at: Time of the next look for grants that ended unnoticed.
        next_return_at: Time before which no further refused request is told to
            come back, while targets name limits.
        notices_seen: Number of changes of what targets said that were applied.
        restricted: Targets that said anything of themselves.
        paced: Targets that have a pace.
        evacuated: Failure domains whose targets count as absent.
        is_reduced: Whether it has such targets, so that requests beyond the
            capacity of the others are refused at once.
        role: What this entry was to the service at the last decision.
        role_at: Time since which it has been that.
        paced_at: When paces were last set, in seconds.
        served_domains: Whether any target in a set of failure domains accepts
            requests, as far as asked for since the targets last changed.
        service: Service that workspaces recently got.
        max_granted: Requests that may run at its targets at once.
        start_window: The same while this entry has just started.
        start_reduced_at: Time at which that was last reduced.
    """

    pool: str
    targets: dict[str, TargetState] = dataclasses.field(default_factory=dict)
    waiting: dict[RequestKey, Request] = dataclasses.field(default_factory=dict)
    granted: dict[RequestKey, Request] = dataclasses.field(default_factory=dict)
    work_estimates: dict[str, float] = dataclasses.field(default_factory=dict)
    trials: dict[str, RequestKey] = dataclasses.field(default_factory=dict)
    contention_factor: float = const.INITIAL_CONTENTION
    retry_window: RetryWindow = dataclasses.field(default_factory=RetryWindow)
    last_request_at: float = -math.inf
    last_peer_request_at: float = -math.inf
    max_granted: float = math.inf
    start_window: float = const.SLOW_START_WINDOW
    start_reduced_at: float = -math.inf
    sampled: bool = False
    is_owner: bool = False
    role_since: float = math.inf
    probes_from: float = -math.inf
    samplers: dict[str, SamplerAssignment] = dataclasses.field(
        default_factory=dict
    )
    excluded_samplers: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    next_check_at: float = math.inf
    next_full_at: float = -math.inf
    usable: list[TargetState] = dataclasses.field(default_factory=list)
    connected: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    next_release_at: float = -math.inf
    next_return_at: float = -math.inf
    notices_seen: int = 0
    restricted: set[str] = dataclasses.field(default_factory=set)
    paced: set[str] = dataclasses.field(default_factory=set)
    evacuated: frozenset[str] = frozenset()
    is_reduced: bool = False
    role: notice_models.Role | None = None
    role_at: float = -math.inf
    paced_at: float = -math.inf
    served_domains: dict[frozenset[str], bool] = dataclasses.field(
        default_factory=dict
    )
    service: service_accounts.ServiceAccounts = dataclasses.field(
        default_factory=service_accounts.ServiceAccounts
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds set by the deployment's settings.

    Attributes:
        retry_share: Retries and hedges allowed, as a share of the requests.
        retry_slack: Retries and hedges allowed beyond that share.
        retry_window_seconds: Length of the window in which both are counted.
        probes_per_second: Limit on the probes of a target by all entries.
    """

    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_seconds: float = 10.0
    probes_per_second: float = 40.0


@dataclasses.dataclass(slots=True, eq=False, repr=False)
class IdleConnections:
    """Idle connections of this entry to a target.

    Attributes:
        address: Address that they lead to.
        count: Number of them.
        answered_at: Time of the last answer on one of them.
    """

    address: str
    count: int
    answered_at: float


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request for a target that the owner has not decided yet.

    Attributes:
        number: Number of the request.
        call: Number of the call.
        pool: Pool of targets that was chosen.
        owner: Entry that was asked last.
        tried_owners: Entries asked so far.
        queued: Whether the owner acknowledged that the request is queued.
        timer_generation: Incremented by each request sent and each
            acknowledgement. A timer with an earlier generation is ignored.
    """

    number: int
    call: int
    pool: str
    owner: str
    tried_owners: set[str]
    queued: bool = False
    timer_generation: int = 0


@dataclasses.dataclass(slots=True)
class DispatchState:
    """Dispatch state of an entry.

    Attributes:
        bounds: Bounds set by the deployment's settings.
        dispatchers: Dispatchers by service.
        started_at: Time at which this entry started.
        samplers: Samplers run by this entry, by service and failure domain.
        pending_requests: Pending requests by number.
        last_request: Number of the latest request.
        owner_rankings: Cached ranking of live entries as owners, by service.
            Cleared when the live entries or the routes change.
        sampler_rankings: Cached ranking of live entries as samplers, by service
            and failure domain.
        scores: Scores of entries by which they are ranked, by job and entry.
        scored_capacities: Capacities from which these follow, by entry.
        members: Targets of pools by index, for a service and number of pools,
            with the digest of the registrations from which they follow.
        pools: Pools of all services when rankings were last cleared for them.
        suspected_until: Times until which silent owners are skipped, by entry.
        idle_connections: Idle connections of this entry by target, the most
            recently used last.
        home_pools: Number of pools of a service and those that this entry
            prefers, by service.
        avoided_pools: Times until which pools are not preferred.
    """

    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    dispatchers: dict[str, Dispatcher] = dataclasses.field(default_factory=dict)
    started_at: float = -math.inf
    samplers: dict[tuple[str, str], Sampler] = dataclasses.field(
        default_factory=dict
    )
    pending_requests: dict[int, PendingRequest] = dataclasses.field(
        default_factory=dict
    )
    last_request: int = 0
    owner_rankings: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    sampler_rankings: dict[tuple[str, str], tuple[str, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    scores: dict[str, dict[str, tuple[float, str]]] = dataclasses.field(
        default_factory=dict
    )
    scored_capacities: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    members: dict[tuple[str, int], tuple[int, dict[int, tuple[str, ...]]]] = (
        dataclasses.field(default_factory=dict)
    )
    pools: list[str] = dataclasses.field(default_factory=list)
    suspected_until: dict[str, float] = dataclasses.field(default_factory=dict)
    idle_connections: dict[str, IdleConnections] = dataclasses.field(
        default_factory=dict
    )
    home_pools: dict[str, tuple[int, list[str]]] = dataclasses.field(
        default_factory=dict
    )
    avoided_pools: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherDue:
    """The waiting requests of a service are due for a decision (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SamplerCheckDue:
    """The samplers of a dispatcher are due for a check (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbesDue:
    """The targets of a service in a failure domain are due a probe (timer)."""

    service: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReportDue:
    """The loads of sampled targets are due to be reported (timer)."""

    service: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequestDue:
    """A pending request is due a reply or a recheck (timer)."""

    number: int
    timer_generation: int


DispatchTimer = (
    DispatcherDue
    | SamplerCheckDue
    | ProbesDue
    | LoadReportDue
    | PendingRequestDue
)
