"""State of routing: targets, groups, breakers and placements."""

from collections import abc
import dataclasses
import enum

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.routing import const


class Ending(enum.IntEnum):
    """How an attempt ended, as far as it concerns the target.

    Attributes:
        ANSWERED: The target sent a response other than an error.
        ERROR: The target sent a server error, or failed during the attempt.
        REFUSED: The target refused the request, by the service's refusal marks.
        UNREACHABLE: No connection to the target could be established.
        NEUTRAL: The end says nothing about the target.
    """

    ANSWERED = 0
    ERROR = 1
    REFUSED = 2
    UNREACHABLE = 3
    NEUTRAL = 4


@dataclasses.dataclass(slots=True)
class Breaker:
    """Circuit breaker of a target.

    Attributes:
        consecutive_errors: Failures of all kinds since the last successful
            response.
        open_until: Time until which no call is sent, not even as a trial; None
            when closed. It stays set until the breaker closes.
        next_open_seconds: Seconds for which it opens next, before jitter.
        in_trial: Whether a trial call is in flight, as known to the entry that
            selected its target.
    """

    consecutive_errors: int = 0
    open_until: float | None = None
    next_open_seconds: float = const.INITIAL_OPEN_SECONDS
    in_trial: bool = False


@dataclasses.dataclass(slots=True)
class TargetView:
    """State of one target as known to this entry.

    Attributes:
        target: Configuration of the target.
        in_flight: Number of this entry's attempts in flight there.
        outstanding: Number of attempts in flight there that this entry started
            or granted.
        busy_slot_seconds: Seconds for which its slots were recently busy with
            these attempts, summed over slots and decayed exponentially.
        completions: Recent successful attempts, decayed exponentially with time
            constant `const.SPEED_DECAY_SECONDS`.
        speed_updated_at: Time up to which the slot-seconds and completions are
            updated.
        errors: Recent failures, decayed exponentially.
        successes: The same, but decayed with the longer time constant of the
            errors, `const.ERROR_DECAY_SECONDS`.
        errors_decayed_at: Time up to which errors and successes are decayed.
        breaker: Its circuit breaker.
        draining: Whether the target or a peer reported that it is draining.
        reported: Number of requests it held by its latest response.
        reported_at: Time as of which that number was valid.
        sent_since: Number of this entry's attempts sent since that response.
        warm_at: Time at which its warm-up ends.
    """

    target: configuration_models.Target
    in_flight: int = 0
    outstanding: int = 0
    busy_slot_seconds: float = 0.0
    completions: float = 0.0
    speed_updated_at: float = 0.0
    errors: float = 0.0
    successes: float = 0.0
    errors_decayed_at: float = 0.0
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    draining: bool = False
    reported: int = 0
    reported_at: float = 0.0
    sent_since: int = 0
    warm_at: float = 0.0

    @property
    def is_draining(self) -> bool:
        """Whether it gets no new calls because it is draining."""
        return self.draining or self.target.draining


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A target granted to another entry.

    Attributes:
        group: Group of the target.
        view: State of the target.
        expires_at: Time after which the attempt can't be in flight any more.
        trial: Whether the attempt is a trial of an open breaker.
    """

    group: "Group"
    view: TargetView
    expires_at: float
    trial: bool


@dataclasses.dataclass(slots=True)
class Group:
    """Targets of a service for which one entry, the owner, places all calls.

    Attributes:
        name: Name of the group, the same at every entry.
        index: Index of the group within the service.
        service: The service.
        views: States of its targets.
        busy_slot_seconds: Seconds for which slots of its targets were busy,
            summed over slots. Halved when the completions exceed
            `const.MAX_COMPLETIONS`.
        completions: Number of its successful attempts, halved likewise.
        owner: Entry that places its calls; None if no live entry is known.
    """

    name: str
    index: int
    service: configuration_models.Service
    views: list[TargetView]
    busy_slot_seconds: float = (
        const.INITIAL_COMPLETIONS * const.INITIAL_MEAN_SECONDS
    )
    completions: float = const.INITIAL_COMPLETIONS
    owner: str | None = None

    @property
    def mean_slot_seconds(self) -> float:
        """Mean slot-seconds per successful attempt."""
        return self.busy_slot_seconds / self.completions


@dataclasses.dataclass(slots=True)
class ServiceView:
    """State of one service as known to this entry.

    Attributes:
        service: The service.
        group_count: Number of its groups.
        groups: Groups that this entry has used so far, by index.
        targets: All its targets, by identifier.
        views: States of its targets, by identifier, created on first use.
        unavailable: Targets that are draining or have an open breaker.
    """

    service: configuration_models.Service
    group_count: int
    targets: dict[str, configuration_models.Target]
    groups: dict[int, Group] = dataclasses.field(default_factory=dict)
    views: dict[str, TargetView] = dataclasses.field(default_factory=dict)
    unavailable: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A call's request for a target.

    Attributes:
        call: Number of the call.
        service: Name of the service.
        tried: Targets that the call was already sent to.
        idempotent: Whether the call may be retried if its target fails.
        hedge: Whether another attempt of the call is in flight.
    """

    call: int
    service: str
    tried: abc.Set[str]
    idempotent: bool
    hedge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPlacement:
    """A placement request that waits for the reply of a group's owner.

    Attributes:
        request: The placement request.
        group: Group to select from.
        owner: Entry that was asked.
        sent_at: Time at which it was asked.
    """

    request: PlacementRequest
    group: Group
    owner: str
    sent_at: float


@dataclasses.dataclass(slots=True)
class Placement:
    """Target of an attempt, from its selection until the attempt ends.

    Attributes:
        group: Group of the target.
        view: State of the target.
        owner: Entry to which the end is reported; None if this entry selected
            the target itself.
        number: Number of the placement, which is that of the request if an
            owner was asked.
        trial: Whether the attempt is a trial of an open breaker. False if an
            owner granted the target, since the owner keeps track of the trial.
        started_at: Time of the selection.
    """

    group: Group
    view: TargetView
    owner: str | None
    number: int
    trial: bool
    started_at: float


@dataclasses.dataclass(slots=True)
class RoutingState:
    """Routing state of an entry.

    Attributes:
        services: Services by name.
        failure_domains: Failure domains of the live entries, by identifier.
        rank: Index of this entry among the live entries in order.
        pending: Placement requests that wait for a reply, by number.
        last_number: Number of the latest request or placement.
        placements: Placements that have not ended, by number.
        grants: Targets granted to other entries, by entry and number.
        request_tokens: Tokens of the rate limit on requests to owners.
        request_tokens_at: Time as of which the tokens are counted.
        suspected_until: Times until which silent owners are not asked, by
            entry.
        cross_domain_rtt: Round-trip time in seconds to another failure domain.
    """

    services: dict[str, ServiceView] = dataclasses.field(default_factory=dict)
    failure_domains: dict[str, str] = dataclasses.field(default_factory=dict)
    rank: int = 0
    pending: dict[int, PendingPlacement] = dataclasses.field(
        default_factory=dict
    )
    last_number: int = 0
    placements: dict[int, Placement] = dataclasses.field(default_factory=dict)
    grants: dict[tuple[str, int], Grant] = dataclasses.field(
        default_factory=dict
    )
    request_tokens: float = const.MAX_REQUEST_BURST
    request_tokens_at: float = 0.0
    suspected_until: dict[str, float] = dataclasses.field(default_factory=dict)
    cross_domain_rtt: float = const.INITIAL_CROSS_DOMAIN_RTT
