"""State of routed calls and of their attempts."""

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import models as route_models
from agateshelf.core.target_notices import models as notice_models

if TYPE_CHECKING:
    from agateshelf.core import events


class EndCause(enum.Enum):
    """Why this entry ends an attempt whose target may be at work on it.

    Only the first three end a request that may run at most once: nothing else
    is a reason to end it sooner, whatever the target's silence suggests.
    """

    DEADLINE = "deadline"
    STOP = "stop"
    CALLER_LEFT = "caller-left"
    ANSWERED = "answered"
    REFUSED = "refused"
    MOVED = "moved"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt in flight.

    Attributes:
        number: Number of the attempt, unique within the process.
        call: Number of its call.
        target: Identifier of its target.
        started: Time it started.
        owner: Owner of the service, the entry that granted the target.
        dispatch_number: Number of the request that the owner granted it for;
            negative for a hedge.
        running: Requests in progress at the target, as reported with the
            answer; None if it reported no load.
        queued: Requests queued at the target, as reported with the answer.
        slowness: Ratio of the target's current processing time to its usual
            one.
        notice: What its target said of itself, for the owner.
        relay: The entry that sends it on; empty if this one sends it.
        relays_tried: Entries that were to send it on.
    """

    number: int
    call: int
    target: str
    started: float
    owner: str
    dispatch_number: int
    running: int | None = None
    queued: int = 0
    slowness: float = 1.0
    notice: notice_models.Notice | None = None
    relay: str = ""
    relays_tried: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Call:
    """One call whose response is not decided yet, or is being streamed.

    Attributes:
        number: Number of the call.
        request_id: The caller's identifier of the request.
        route: The route it arrived on; route changes don't affect the call.
        service: Service that it is sent to.
        fingerprint: Digest by which repeats of the request are recognised.
        caller: Address of the caller, for logs.
        arrived: Time it arrived.
        soft_deadline: Time after which an answer is less useful.
        deadline: Time by which the caller gets an answer or a refusal.
        dispatch_number: Number of the pending request for a target; None if
            there is none.
        attempts: Numbers of its attempts in flight.
        tried: Targets that it was sent to.
        attempt_count: Number of attempts started so far.
        verdict: The worst verdict of its ended attempts.
        lost_connections: Attempts that lost their connection after any byte of
            the request was sent.
        declined_grants: Grants that were turned down, as the owner didn't
            know what their target had said of itself.
        relayed_for: Address of the entry that has the call and relays it
            through this one; empty for a call of a caller.
        workspace: Name of the workspace that sent it; empty if there is none,
            None if no workspaces are configured.
        workspace_priority: Rank of the workspace, which goes before that of the
            route.
        key_digest: Digest of the key that it came with.
        regions: Regions in which it may be served; empty for any.
        routes_stamp: Version and position of the routes by which its key and
            regions were last checked.
        counted_at: When it was last counted for its workspace's quota.
        held_grant: Granted target that it holds while it is counted again.
        uncounted_wait: Seconds that it may have waited unread and that its
            deadline doesn't count.
    """

    number: int
    request_id: str
    route: route_models.Route
    service: str
    fingerprint: bytes
    caller: str
    arrived: float
    soft_deadline: float
    deadline: float
    dispatch_number: int | None = None
    attempts: set[int] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    verdict: outcome_models.Verdict = outcome_models.Verdict.DID_NOT_RUN
    lost_connections: int = 0
    declined_grants: int = 0
    relayed_for: str = ""
    workspace: str | None = None
    workspace_priority: int = 0
    key_digest: str = ""
    regions: tuple[str, ...] = ()
    routes_stamp: tuple[int, int] = (0, 0)
    counted_at: float = -math.inf
    held_grant: "events.DispatchDecided | None" = None
    uncounted_wait: float = 0.0


@dataclasses.dataclass(slots=True)
class ForwardingState:
    """All calls and attempts in progress.

    Attributes:
        calls: Calls in progress, by number.
        attempts: Attempts in flight, by number.
        streaming: Attempts whose answer is being streamed to the caller.
        last_attempt: Number of the latest attempt.
    """

    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    streaming: set[int] = dataclasses.field(default_factory=set)
    last_attempt: int = 0
