"""Events: all inputs of the reducer, as data.

Events carry no time of their own: the reducer gets the loop's time, in
seconds, with each event. "(internal)" marks events that parts of the core post
to each other, "(timer)" events that the core schedules.
"""

import math
from typing import TYPE_CHECKING

import msgspec

from agateshelf.core import storage
from agateshelf.core.confirmation import models as confirmation_models
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.feed import models as feed_models
from agateshelf.core.membership import models as membership_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.overload import models as overload_models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.poison import models as poison_models
from agateshelf.core.quotas import models as quota_models
from agateshelf.core.reach import models as reach_models
from agateshelf.core.target_notices import models as notice_models

# Imported for types only: an entry that follows routes doesn't load the modules
# that only services need.
if TYPE_CHECKING:
    from agateshelf.core.claims import models as claim_models
    from agateshelf.core.configuration import content
    from agateshelf.core.configuration import models as configuration_models
    from agateshelf.core.routing import models as routing_models


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller's request was read completely.

    Attributes:
        call: Number of the call, unique within the process.
        caller: Name of the caller.
        method: HTTP method.
        path: Path with query.
        idempotency_key: The caller's idempotency key, if it sent one.
        timeout: Seconds the caller waits, if it announced them.
        no_retry: Whether an upstream hop already retries.
        body_digest: Digest of the body, to compare repeated requests.
        host: Host of the request.
        request_id: The caller's identifier of the request, for logs.
        relay_target: Identifier of the target that another entry was granted
            for the request, which it can't reach itself; empty for a request
            of a caller.
        key_digest: SHA-256 digest of the caller's key, in hexadecimal; empty
            without a valid one.
        key_malformed: Whether it sent a key that is not valid.
        relay_workspace: Workspace of a request that another entry relays; None
            if that entry named none.
        waited: Seconds that it may have waited in its socket; 0 if that is not
            long.
        held: Seconds for which this entry has held it since it was read.
    """

    call: int
    caller: str
    method: str
    path: str
    idempotency_key: str | None = None
    timeout: float | None = None
    no_retry: bool = False
    body_digest: bytes = b""
    host: str = ""
    request_id: str = ""
    relay_target: str = ""
    key_digest: str = ""
    key_malformed: bool = False
    relay_workspace: str | None = None
    waited: float = 0.0
    held: float = 0.0


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller's connection was closed before it got a response."""

    call: int


class TargetLoad(msgspec.Struct, frozen=True):
    """Load reported by a target.

    Attributes:
        in_flight: Requests that it is processing.
        queued: Requests that wait for a slot.
        slots: Requests that it can process concurrently.
        age: Seconds since the target measured it.
        slowness: Ratio of its current processing time to its usual one.
    """

    in_flight: int
    queued: int
    slots: int
    age: float = 0.0
    slowness: float = 1.0


class AttemptAnswered(msgspec.Struct, frozen=True):
    """A target answered; the answer is buffered whole or being streamed.

    Attributes:
        attempt: Number of the attempt.
        status: HTTP status.
        headers: Headers of the answer, names in lower case.
        streaming: Whether more of the body is still to arrive.
        load: Load reported with the answer.
        draining: Whether the target reported that it is draining.
        body: The body if it is complete and small enough to be replayed.
        not_run: Whether the target reported that it did not run the request.
        misdirected: Whether the address now belongs to another target.
        limit: Requests a second that the target takes from all entries
            together, if it named a limit.
        pause: Seconds for which it wants no requests; 0 if it asked for none.
        invalid_notices: What the target said of itself that is not valid, as
            pairs of the kind (`limit`, `leaving` or `pause`) and the text.
        kept_connection: Whether it came on a kept-alive connection.
        idle_connections: Idle connections to the target after it.
    """

    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    streaming: bool = False
    load: TargetLoad | None = None
    draining: bool = False
    body: bytes | None = None
    not_run: bool = False
    misdirected: bool = False
    limit: float | None = None
    pause: float = 0.0
    invalid_notices: tuple[tuple[str, str], ...] = ()
    kept_connection: bool = False
    idle_connections: int = 0


class IdleConnectionsClosed(msgspec.Struct, frozen=True):
    """The last idle connections to some addresses were closed."""

    addresses: tuple[str, ...]


class TargetRefused(msgspec.Struct, frozen=True):
    """A checked target refused the connection."""

    target: str


class TargetSilent(msgspec.Struct, frozen=True):
    """A checked target neither accepted nor refused the connection."""

    target: str


class AttemptAbandoned(msgspec.Struct, frozen=True):
    """An attempt was cancelled before it got an answer (internal)."""

    attempt: int


class CrashesChanged(msgspec.Struct, frozen=True):
    """The crashes that count against a request changed (internal).

    Attributes:
        fingerprint: Fingerprint of the request.
    """

    fingerprint: bytes


class PeerCrashesReported(msgspec.Struct, frozen=True):
    """Another entry reported the digest of the crashes it knows (internal).

    Attributes:
        peer: The entry.
        digest: Digest of its crashes; 0 for none.
    """

    peer: str
    digest: int


class StreamEnded(msgspec.Struct, frozen=True):
    """A streamed answer ended, completely or not."""

    attempt: int
    whole: bool


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt ended without a complete answer.

    Attributes:
        attempt: Number of the attempt.
        kind: How it failed.
        any_byte_sent: Whether any byte of the request may have been sent.
        kept_connection: Whether it used a kept-alive connection.
    """

    attempt: int
    kind: outcome_models.FailureKind
    any_byte_sent: bool
    kept_connection: bool = False


class ConfigurationRead(msgspec.Struct, frozen=True):
    """A complete, validated configuration version was read."""

    configuration: "configuration_models.Configuration"


class StopRequested(msgspec.Struct, frozen=True, repr_omit_defaults=True):
    """A graceful stop of the process was requested.

    Attributes:
        seconds: Time from the signal until the remaining calls are refused.
        elapsed: Time that has passed since the signal.
    """

    seconds: float = math.inf
    elapsed: float = 0.0


class StopDeadlinePassed(msgspec.Struct, frozen=True):
    """The time for a graceful stop is over; all calls left are refused."""


class Tick(msgspec.Struct, frozen=True):
    """The earliest timer is due."""


class DeadlinePassed(msgspec.Struct, frozen=True):
    """A call's deadline passed (timer)."""

    call: int


class CallAdmitted(msgspec.Struct, frozen=True):
    """A call was admitted by the limits (internal)."""

    call: int


class CallRejected(msgspec.Struct, frozen=True):
    """A part of the core refused a call (internal)."""

    call: int
    refusal: outcome_models.Refusal


class CallReady(msgspec.Struct, frozen=True):
    """A call holds any claim it needs and may start attempts (internal)."""

    call: int


class CallReplayed(msgspec.Struct, frozen=True):
    """A call repeats a completed one and gets its answer (internal)."""

    call: int
    answer: outcome_models.RecordedAnswer


class ClaimDecided(msgspec.Struct, frozen=True):
    """The appender of a claim shard decided a proposed record (internal).

    Attributes:
        decision: The decision.
        peer: The entry that is the appender; None for this one.
    """

    decision: "claim_models.Decision"
    peer: str | None = None


class ClaimEnded(msgspec.Struct, frozen=True):
    """A call with a claim ended (internal).

    Attributes:
        call: Number of the call.
        verdict: The worst verdict of its attempts.
        answer: The recorded part of its answer, if it had one.
    """

    call: int
    verdict: outcome_models.Verdict
    answer: outcome_models.RecordedAnswer | None


class ClaimsSettled(msgspec.Struct, frozen=True):
    """A stopping entry has recorded the end of all its claims (internal)."""


class ClaimOverdue(msgspec.Struct, frozen=True):
    """The time for a decision on a proposed record may be over (timer)."""

    nonce: bytes


class ClaimShardDue(msgspec.Struct, frozen=True):
    """A claim shard may write or ask the store again (timer)."""

    shard: int


class PauseCheckDue(msgspec.Struct, frozen=True):
    """The check whether this process was paused is due (timer)."""


class SlotFreed(msgspec.Struct, frozen=True):
    """An attempt or claim of a service ended while calls wait (internal)."""

    service: str


class RateLoansDue(msgspec.Struct, frozen=True):
    """Loans of rates are to be requested from other entries (timer)."""


class QueueTimeoutPassed(msgspec.Struct, frozen=True):
    """A call's time in the queue for a free target is over (timer)."""

    call: int


class StoreAnswered(msgspec.Struct, frozen=True):
    """A request to the platform's store was answered, or timed out.

    Attributes:
        request: Number of the request.
        answer: The answer.
    """

    request: int
    answer: storage.StoreAnswer


class StoreRestored(msgspec.Struct, frozen=True):
    """The platform's store came back from an older copy (internal)."""


class PeerMessageReceived(msgspec.Struct, frozen=True):
    """An authenticated message of another entry arrived.

    Attributes:
        peer: Identifier of the entry.
        message: The message.
    """

    peer: str
    message: peer_models.PeerMessage


class LiveEntry(msgspec.Struct, frozen=True):
    """An entry that is believed to be live.

    Attributes:
        id: Identifier of the entry.
        failure_domain: Failure domain it runs in.
    """

    id: str
    failure_domain: str


class LiveEntriesChanged(msgspec.Struct, frozen=True):
    """The set of live entries changed (internal).

    Attributes:
        entries: All entries believed to be live, including this one.
    """

    entries: tuple[LiveEntry, ...]


class Started(msgspec.Struct, frozen=True):
    """The entry's process started.

    Attributes:
        incarnation: Number that grows with each process of this entry.
        address: `HOST:PORT` at which other entries reach this one, or None
            if it runs without peers.
        seeds: Entries to contact first.
        has_store: Whether the platform's store keeps a configuration of
            services for this entry.
        has_feed: Whether this entry follows routes and registrations.
        unix_time: Unix time of the event in seconds.
        relay_address: `HOST:PORT` at which this entry relays requests of other
            entries; empty if it doesn't.
    """

    incarnation: int
    address: str | None = None
    seeds: tuple[membership_models.Seed, ...] = ()
    has_store: bool = True
    has_feed: bool = False
    unix_time: float = 0.0
    relay_address: str = ""


class PeerVersionReported(msgspec.Struct, frozen=True):
    """Another entry reported its configuration version (internal)."""

    peer: str
    version: int


class ConfigurationInvalid(msgspec.Struct, frozen=True):
    """A configuration's content did not pass `CheckConfiguration`."""

    version: int
    detail: str


class PatchRequested(msgspec.Struct, frozen=True):
    """An operator's patch was applied to its base version, outside the core.

    Attributes:
        operation: Number that its answer carries.
        patch_id: Identifier of the patch, which makes repeats idempotent.
        base_version: Version that the patch was written for.
        parts: All parts of the new configuration, validated; None if the base
            version is not in force here, so that it could not be applied.
        author: Operator who sent it.
        reason: Reason given by the operator.
        at: Time of the request, in Unix seconds.
    """

    operation: int
    patch_id: str
    base_version: int
    parts: "tuple[content.Part, ...] | None"
    author: str
    reason: str
    at: float


class RepublishRequested(msgspec.Struct, frozen=True):
    """An operator requests that the configuration in force is written again.

    It replaces the lower version of a store that lost its latest versions;
    `AnswerPatch` follows.
    """

    operation: int
    patch_id: str
    author: str
    reason: str
    at: float


class PatchLookupRequested(msgspec.Struct, frozen=True):
    """An operator requests the result of a patch."""

    operation: int
    patch_id: str


class HistoryRequested(msgspec.Struct, frozen=True):
    """An operator requests the latest changes, the newest first."""

    operation: int
    limit: int


class SurveyRequested(msgspec.Struct, frozen=True):
    """An operator requests the configuration version of each entry."""

    operation: int


OperatorRequest = (
    PatchRequested
    | RepublishRequested
    | PatchLookupRequested
    | HistoryRequested
    | SurveyRequested
)


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings were reloaded with other entries to contact first."""

    seeds: tuple[membership_models.Seed, ...]


class FeedAnswered(msgspec.Struct, frozen=True):
    """A request of the feed to the platform's store ended.

    Attributes:
        request: Number of the request.
        answer: The answer, or that there was none.
    """

    request: int
    answer: feed_models.FeedAnswer


class RoutesAdopted(msgspec.Struct, frozen=True):
    """A newer route table was adopted (internal)."""


class TargetsChanged(msgspec.Struct, frozen=True):
    """The registrations of these targets changed (internal)."""

    targets: tuple[str, ...]


class TargetProbed(msgspec.Struct, frozen=True):
    """A probe of a target ended.

    Attributes:
        service: Service of the target.
        target: Identifier of the target.
        load: Load that it reported; None if it did not answer.
        leaving: Whether it said that it is leaving.
        reached: Whether it answered, whatever it said.
        cold: Seconds for which it said that it is still cold; 0 if it is warm,
            negative if the value is not valid, None if it did not answer.
    """

    service: str
    target: str
    load: TargetLoad | None
    leaving: bool = False
    reached: bool = False
    cold: float | None = None


class EvacuationsChanged(msgspec.Struct, frozen=True):
    """Failure domains were evacuated or taken back (internal).

    Attributes:
        evacuated: Failure domains whose targets get nothing from now on.
        returned: Failure domains whose targets may be used again.
    """

    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()


class Suspended(msgspec.Struct, frozen=True):
    """The machine was suspended, for which the loop's clock did not run.

    Attributes:
        seconds: How long it was suspended.
    """

    seconds: float


class LoopDelayed(msgspec.Struct, frozen=True):
    """The event loop took long for what it had received.

    Attributes:
        seconds: Time that it took; what arrived meanwhile waited as long.
    """

    seconds: float


class ReachJudged(msgspec.Struct, frozen=True):
    """Probes have told whether targets or this entry's links fail (internal).

    Attributes:
        service: Service of the targets.
        is_cut: Whether this entry reaches none of them.
    """

    service: str
    is_cut: bool


class DispatchDecided(msgspec.Struct, frozen=True):
    """The owner of a service granted a call a target, or refused (internal).

    Attributes:
        call: Number of the call.
        dispatch_number: Number of the request to the owner; negative for a
            hedge, which the owner grants on its own initiative.
        owner: Entry that decided.
        target: Identifier of the target; None if it was refused.
        reason: Reason of a refusal.
        retry_after: Seconds after which a retry may succeed.
        log_details: The owner's data on the target, for the log.
        is_counted: Whether the owner counted it for the target's limit.
        obstacle: What the targets said of themselves that left no room for it,
            if that is why it was refused.
    """

    call: int
    dispatch_number: int
    owner: str
    target: str | None
    reason: dispatch_models.Refusal = dispatch_models.Refusal.NO_TARGET
    retry_after: float = 0.0
    log_details: tuple[tuple[str, float], ...] = ()
    is_counted: bool = False
    obstacle: notice_models.Obstacle | None = None


class TargetChosen(msgspec.Struct, frozen=True):
    """The search for a target for a call ended (internal).

    Attributes:
        call: Number of the call.
        placement: Number of the placement; None if no target is available.
        hedge: Whether the target is for a hedged attempt, while another one is
            in flight.
    """

    call: int
    placement: int | None
    hedge: bool


class PlacementEnded(msgspec.Struct, frozen=True):
    """An attempt ended, or was never started (internal).

    Attributes:
        placement: Number of its placement.
        ending: What its end says about the target.
        draining: Whether the target reported that it is draining.
    """

    placement: int
    ending: "routing_models.Ending"
    draining: bool


class TargetRequestOverdue(msgspec.Struct, frozen=True):
    """The owner of a target group did not name a target in time (timer)."""

    number: int


class HedgeDue(msgspec.Struct, frozen=True):
    """An attempt takes longer than most, so a hedge may start (timer).

    Attributes:
        call: Number of the call.
        attempt: Number of the attempt.
        search_count: Number of searches for a target for the hedge so far.
    """

    call: int
    attempt: int
    search_count: int = 0


# Events whose types every entry loads; the others are added below for type
# checks only.
_LoadedEvent = (
    RequestArrived
    | CallerDisconnected
    | AttemptAnswered
    | TargetRefused
    | TargetSilent
    | AttemptAbandoned
    | CrashesChanged
    | PeerCrashesReported
    | poison_models.PoisonTimer
    | IdleConnectionsClosed
    | StreamEnded
    | AttemptFailed
    | ConfigurationRead
    | StopRequested
    | StopDeadlinePassed
    | Tick
    | DeadlinePassed
    | CallAdmitted
    | CallRejected
    | CallReady
    | CallReplayed
    | ClaimDecided
    | ClaimEnded
    | ClaimsSettled
    | ClaimOverdue
    | ClaimShardDue
    | PauseCheckDue
    | SlotFreed
    | RateLoansDue
    | QueueTimeoutPassed
    | StoreAnswered
    | StoreRestored
    | PeerMessageReceived
    | LiveEntriesChanged
    | Started
    | PeerVersionReported
    | ConfigurationInvalid
    | PatchRequested
    | RepublishRequested
    | PatchLookupRequested
    | HistoryRequested
    | SurveyRequested
    | membership_models.MembershipTimer
    | TargetChosen
    | PlacementEnded
    | TargetRequestOverdue
    | HedgeDue
    | SeedsChanged
    | FeedAnswered
    | RoutesAdopted
    | TargetsChanged
    | TargetProbed
    | EvacuationsChanged
    | Suspended
    | LoopDelayed
    | ReachJudged
    | overload_models.OverloadCheckDue
    | reach_models.SilenceDue
    | reach_models.RecheckDue
    | DispatchDecided
    | confirmation_models.ConfirmationDue
    | confirmation_models.RoutesConfirmed
    | feed_models.FeedDue
    | feed_models.ReaderResigned
    | feed_models.RemovalsDue
    | feed_models.TakeoverDue
    | feed_models.OwnReadWanted
    | feed_models.TargetsReadWanted
    | feed_models.StartupDue
    | feed_models.WatchResumeDue
    | dispatch_models.DispatchTimer
    | quota_models.QuotaSettled
    | quota_models.QuotaTimer
)
if TYPE_CHECKING:
    Event = _LoadedEvent | configuration_models.ConfigurationTimer
else:
    Event = _LoadedEvent
