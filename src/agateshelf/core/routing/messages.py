"""Messages between entries about target selection."""

from typing import ClassVar

import msgspec

from agateshelf.core.peers import models as peer_models


class TargetRequest(peer_models.PeerMessage, frozen=True):
    """Asks the owner of a group for a target.

    Attributes:
        number: Number of the request at the sender.
        service: Name of the service.
        group: Index of the group.
        tried: Targets that the call was already sent to.
        idempotent: Whether the call may be retried if its target fails.
        hedge: Whether another attempt of the call is in flight.
    """

    wire_name: ClassVar[str] = "TargetAsked"

    number: int = msgspec.field(name="ask")
    service: str
    group: int
    tried: tuple[str, ...]
    idempotent: bool
    hedge: bool


class TargetResponse(peer_models.PeerMessage, frozen=True):
    """Reply of the owner of a group to a request for a target.

    Attributes:
        number: Number of the request.
        target: Identifier of the granted target; None if none is suitable.
    """

    wire_name: ClassVar[str] = "TargetNamed"

    number: int = msgspec.field(name="ask")
    target: str | None


class AttemptEnded(peer_models.PeerMessage, frozen=True):
    """Reports that an attempt at a granted target ended or never started.

    Attributes:
        number: Number of the request.
        ending: Value of `models.Ending`.
        draining: Whether the target reported that it is draining.
    """

    wire_name: ClassVar[str] = "AttemptSettled"

    number: int = msgspec.field(name="ask")
    ending: int
    draining: bool


class TargetStateUpdate(peer_models.PeerMessage, frozen=True):
    """Announces a changed state of a target to all entries.

    Attributes:
        service: Name of the service.
        target: Identifier of the target.
        draining: Whether the target reported that it is draining.
        open_seconds: Seconds until a trial of its open breaker is due; 0 if the
            breaker is closed. Also 0 or less if the breaker is open and a trial
            is due; the receiver closes its breaker in both cases.
    """

    wire_name: ClassVar[str] = "TargetTold"

    service: str
    target: str
    draining: bool
    open_seconds: float
