"""Messages between entries that forward requests, owners and samplers.

Points in time are sent as seconds relative to the time of sending, since the
clocks of entries differ.
"""

import msgspec

from agateshelf.core.peers import models as peer_models


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as reported by a probe.

    Attributes:
        target: Identifier of the target.
        held: Requests running and queued there; None if the probe got no reply.
        slowness: Factor by which work takes longer there than usual.
    """

    target: str
    held: int | None
    slowness: float


class LoadsWanted(peer_models.PeerMessage, frozen=True):
    """Subscribes to the loads of a service's targets in a failure domain.

    Attributes:
        service: Name of the service.
        failure_domain: Failure domain of the targets.
        seconds: Duration of the subscription in seconds; 0 cancels it.
        every: Seconds between two probes of a target.
    """

    service: str
    failure_domain: str
    seconds: float
    every: float


class LoadsTold(peer_models.PeerMessage, frozen=True):
    """Reports the loads that a sampler received since its last report.

    Attributes:
        service: Name of the service.
        failure_domain: Failure domain of the targets.
        loads: Loads of the targets that were probed.
    """

    service: str
    failure_domain: str
    loads: tuple[TargetLoad, ...]


class TurnAsked(peer_models.PeerMessage, frozen=True):
    """Requests a target. Sending it again with the same number is idempotent.

    Attributes:
        ask: Number of the request at the sender.
        service: Name of the service.
        route: Name of the route.
        priority: Rank of the request; 0 goes first.
        idempotent: Whether the request may run more than once.
        work: Initial estimate of the route's run time in seconds.
        aim: Seconds until a response is late, by the route's target latency.
        give_up: Seconds until the caller stops waiting.
        tried: Targets that the request was already sent to.
    """

    ask: int
    service: str
    route: str
    priority: int
    idempotent: bool
    work: float
    aim: float
    give_up: float
    tried: tuple[str, ...] = ()


class TurnWaits(peer_models.PeerMessage, frozen=True):
    """Acknowledges a request that waits for a target.

    Attributes:
        ask: Number of the request.
    """

    ask: int


class TurnGiven(peer_models.PeerMessage, frozen=True):
    """Grants a request a target.

    Attributes:
        ask: Number of the request; negative for a hedge.
        target: Identifier of the target.
        expected: Seconds that the request is expected to run there.
        speed: Speed that the target last reported; 1 is the usual speed.
        heard: Seconds since that report.
        held: Other requests that the target holds.
    """

    ask: int
    target: str
    expected: float = 0.0
    speed: float = 1.0
    heard: float = 0.0
    held: int = 0


class TurnRefused(peer_models.PeerMessage, frozen=True):
    """Refuses a request a target.

    Attributes:
        ask: Number of the request.
        why: Value of `models.Refusal`.
        retry_after: Seconds after which the caller should try again.
        waiting: Requests waiting at the owner.
        usable: Targets that may currently get requests.
    """

    ask: int
    why: int
    retry_after: float
    waiting: int = 0
    usable: int = 0


class TurnEnded(peer_models.PeerMessage, frozen=True):
    """Reports how a request ended, or cancels it.

    Attributes:
        ask: Number of the request; negative for a hedge.
        ending: Value of `models.Ending`.
        seconds: Run time in seconds.
        running: Requests running at the target by its response; None if it did
            not report its load.
        queued: Requests queued at the target by its response.
        slowness: Factor by which work took longer there than usual.
    """

    ask: int
    ending: int
    seconds: float = 0.0
    running: int | None = None
    queued: int = 0
    slowness: float = 1.0
