"""Messages between entries that forward requests, owners and samplers.

Points in time are sent as seconds relative to the time of sending, since the
clocks of entries differ.
"""

from typing import ClassVar

import msgspec

from agateshelf.core.peers import models as peer_models
from agateshelf.core.target_notices import models as notice_models


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as reported by a probe.

    Attributes:
        target: Identifier of the target.
        outstanding: Requests running and queued there; None if the probe got no
            response.
        slowness: Factor by which work takes longer there than usual.
    """

    target: str
    outstanding: int | None
    slowness: float


class LoadSubscription(peer_models.PeerMessage, frozen=True):
    """Subscribes to the loads of a service's targets in a failure domain.

    Attributes:
        service: Name of the service.
        failure_domain: Failure domain of the targets.
        duration: Duration of the subscription in seconds; 0 cancels it.
        interval: Seconds between two probes of a target.
        skipped: Targets that must not be probed, as they leave or pause.
    """

    wire_name: ClassVar[str] = "LoadsWanted"

    service: str
    failure_domain: str
    duration: float = msgspec.field(name="seconds")
    interval: float = msgspec.field(name="every")
    skipped: tuple[str, ...] = ()


class LoadReport(peer_models.PeerMessage, frozen=True):
    """Reports the loads that a sampler received since its last report.

    Attributes:
        service: Name of the service.
        failure_domain: Failure domain of the targets.
        loads: Loads of the targets that were probed.
        notices: What the targets said of themselves.
    """

    wire_name: ClassVar[str] = "LoadsTold"

    service: str
    failure_domain: str
    loads: tuple[TargetLoad, ...]
    notices: tuple[notice_models.Notice, ...] = ()


class DispatchRequest(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Requests a target. Sending it again with the same number is idempotent.

    Attributes:
        number: Number of the request at the sender.
        service: Name of the service.
        route: Name of the route.
        priority: Rank of the request; 0 goes first.
        idempotent: Whether the request may run more than once.
        work: Initial estimate of the request's run time in seconds on an idle
            target of usual speed.
        soft_timeout: Seconds until a response is late, by the route's target
            latency.
        timeout: Seconds until the caller stops waiting.
        tried: Targets that the request was already sent to.
        notices: What the service's targets said that the owner may not know.
        workspace: Name of the workspace; empty if there is none.
        workspace_priority: Rank of the workspace, which goes before `priority`.
        regions: Regions whose targets may serve it; empty for any.
        connected: Targets to which the sender has an idle connection that the
            request may use, the most recently used first. None from a version
            that doesn't tell.
        may_be_trial: Whether it may test an estimate by which it can't be
            served before its timeout.
    """

    wire_name: ClassVar[str] = "TurnAsked"

    number: int = msgspec.field(name="ask")
    service: str
    route: str
    priority: int
    idempotent: bool
    work: float
    soft_timeout: float = msgspec.field(name="aim")
    timeout: float = msgspec.field(name="give_up")
    tried: tuple[str, ...] = ()
    notices: tuple[notice_models.Notice, ...] = msgspec.field(
        name="limits", default=()
    )
    workspace: str = ""
    workspace_priority: int = 0
    regions: tuple[str, ...] = ()
    connected: tuple[str, ...] | None = None
    may_be_trial: bool = True


class DispatchQueued(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Acknowledges a request that waits for a target.

    Attributes:
        number: Number of the request.
        late: Seconds by which the owner is late; 0 if it isn't in overload.
    """

    wire_name: ClassVar[str] = "TurnWaits"

    number: int = msgspec.field(name="ask")
    late: float = 0.0


class DispatchGranted(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Grants a request a target.

    Attributes:
        number: Number of the request; negative for a hedge.
        target: Identifier of the target.
        expected_seconds: Seconds that the request is expected to run there.
        speed: Speed that the target last reported; 1 is the usual speed.
        speed_age: Seconds since that report.
        outstanding: Other requests that the target holds.
        notice: What the owner knows of the target. If it has a rate, or says
            that the target is cold, the owner counted the request for that.
        late: Seconds by which the owner is late; 0 if it isn't in overload.
    """

    wire_name: ClassVar[str] = "TurnGiven"

    number: int = msgspec.field(name="ask")
    target: str
    expected_seconds: float = msgspec.field(name="expected", default=0.0)
    speed: float = 1.0
    speed_age: float = msgspec.field(name="heard", default=0.0)
    outstanding: int = msgspec.field(name="held", default=0)
    notice: notice_models.Notice | None = msgspec.field(
        name="limit", default=None
    )
    late: float = 0.0


class DispatchRefused(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Refuses a request a target.

    Attributes:
        number: Number of the request.
        reason: Value of `models.Refusal`.
        retry_after: Seconds after which the caller should try again.
        waiting: Requests waiting at the owner.
        usable_targets: Targets that may currently get requests.
        work: Estimated run time in seconds on an idle target of usual speed.
        limited_targets: Those of them that named a limit, if these left no room
            for the request.
        paused_targets: Targets that want no requests now, if no other target
            has room for the request.
        cold_targets: Usable targets that are cold, if these left no room for
            the request and most are.
        late: Seconds by which the owner is late; 0 if it isn't in overload.
    """

    wire_name: ClassVar[str] = "TurnRefused"

    number: int = msgspec.field(name="ask")
    reason: int = msgspec.field(name="why")
    retry_after: float
    waiting: int = 0
    usable_targets: int = msgspec.field(name="usable", default=0)
    work: float = 0.0
    limited_targets: int = 0
    paused_targets: int = 0
    cold_targets: int = 0
    late: float = 0.0


class DispatchEnded(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Reports how a request ended, or cancels it.

    Attributes:
        number: Number of the request; negative for a hedge.
        ending: Value of `models.Ending`.
        seconds: Run time in seconds.
        running: Requests running at the target by its response; None if it did
            not report its load. The owner checks only whether it is None, and
            then ignores the slowness.
        queued: Requests queued at the target by its response. The owner does
            not read it.
        slowness: Factor by which work took longer there than usual.
        notice: What the target said of itself, if anything.
    """

    wire_name: ClassVar[str] = "TurnEnded"

    number: int = msgspec.field(name="ask")
    ending: int
    seconds: float = 0.0
    running: int | None = None
    queued: int = 0
    slowness: float = 1.0
    notice: notice_models.Notice | None = msgspec.field(
        name="limit", default=None
    )
