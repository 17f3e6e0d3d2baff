"""State of reachability and relays."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class ServiceReach:
    """What this entry reaches of a service's targets.

    Attributes:
        cut_since: When the entry was found to be cut off from them, in seconds;
            None if it isn't.
        answered_at: When one last answered a request, in seconds.
        unreached: Targets that were not reached since another one was.
        down: Targets that were not reached while others were.
        probing: Targets that are probed now.
        probed_at: When they were last probed, in seconds.
        regained: Targets that answered in this round of trying the way back.
        is_watched: Whether a timer looks for requests without an answer.
    """

    cut_since: float | None = None
    answered_at: float = -math.inf
    unreached: set[str] = dataclasses.field(default_factory=set)
    down: set[str] = dataclasses.field(default_factory=set)
    probing: set[str] = dataclasses.field(default_factory=set)
    probed_at: float = -math.inf
    regained: set[str] = dataclasses.field(default_factory=set)
    is_watched: bool = False


@dataclasses.dataclass(slots=True)
class Relay:
    """An entry that relays requests for this one.

    Attributes:
        outstanding: Requests given to it that haven't ended.
        avoid_until: Time until which it is passed over, in seconds.
    """

    outstanding: int = 0
    avoid_until: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceDue:
    """Requests of a service may be without an answer for too long (timer)."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecheckDue:
    """The way back to a service's targets is tried again (timer)."""

    service: str


@dataclasses.dataclass(slots=True)
class ReachState:
    """Reachability and relays.

    Attributes:
        services: What is reached of each service.
        relays: Relays in use, by entry.
        cut_peers: Services that other entries are cut off from, by entry.
        relayed: Number of requests that this entry relays now.
    """

    services: dict[str, ServiceReach] = dataclasses.field(default_factory=dict)
    relays: dict[str, Relay] = dataclasses.field(default_factory=dict)
    cut_peers: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    relayed: int = 0
