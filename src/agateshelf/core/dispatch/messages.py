"""Messages between an entry with a request and the home that places it.

Times are told as seconds from the sending, since clocks differ.
"""

import msgspec

from agateshelf.core.peers import models as peer_models


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a target said of its load.

    Attributes:
        target: Identifier of the target.
        held: Requests that it holds; None if it did not answer.
        slowness: How many times as long as usual work takes there.
    """

    target: str
    held: int | None
    slowness: float


class LoadsWanted(peer_models.PeerMessage, frozen=True):
    """Asks an entry to sample the targets of a service in a failure domain.

    Attributes:
        service: Name of the service.
        failure_domain: Where the targets are.
        seconds: For how long; 0 ends it.
        every: Seconds between two probes of a target.
    """

    service: str
    failure_domain: str
    seconds: float
    every: float


class LoadsTold(peer_models.PeerMessage, frozen=True):
    """Tells a desk what was heard from targets since the last time.

    Attributes:
        service: Name of the service.
        failure_domain: Where the targets are.
        loads: What they said.
    """

    service: str
    failure_domain: str
    loads: tuple[TargetLoad, ...]


class TurnAsked(peer_models.PeerMessage, frozen=True):
    """Asks for a target; asking again under the same number is the same.

    Attributes:
        ask: Number of the question.
        service: Name of the service.
        route: Name of the route.
        priority: Rank of the request.
        idempotent: Whether it may run more than once.
        work: Seconds that the route's work is thought to take.
        aim: Seconds until its answer is no longer of full use.
        give_up: Seconds until nobody waits for it.
        tried: Targets it was sent to before.
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
    """Says that a question is known and no target is free for it yet."""

    ask: int


class TurnGiven(peer_models.PeerMessage, frozen=True):
    """Names the target of a request.

    Attributes:
        ask: Number of the question.
        target: Identifier of the target.
        expected: Seconds that the request is expected to run there.
        speed: Speed that the target last reported.
        heard: Seconds since it reported that.
        held: Requests that it held already.
    """

    ask: int
    target: str
    expected: float = 0.0
    speed: float = 1.0
    heard: float = 0.0
    held: int = 0


class TurnRefused(peer_models.PeerMessage, frozen=True):
    """Says that a request gets no target.

    Attributes:
        ask: Number of the question.
        why: The reason, a `models.Refusal`.
        retry_after: Seconds until it is worth asking again.
        waiting: Requests that wait at the home.
        usable: Targets that could get requests.
    """

    ask: int
    why: int
    retry_after: float
    waiting: int = 0
    usable: int = 0


class TurnEnded(peer_models.PeerMessage, frozen=True):
    """Says how a request went, or that it is not wanted any more.

    Attributes:
        ask: Number of the question.
        ending: How it ended, a `models.Ending`.
        seconds: How long it ran.
        running: Requests its target then worked on; None if not told.
        queued: Requests that waited there.
        slowness: How many times as long as usual work took there.
    """

    ask: int
    ending: int
    seconds: float = 0.0
    running: int | None = None
    queued: int = 0
    slowness: float = 1.0
