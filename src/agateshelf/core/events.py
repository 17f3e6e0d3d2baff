"""Events: all that can happen to an entry, as data.

Times are not part of an event: the reducer is given the loop's time, in
seconds, beside each.
"""

from typing import TYPE_CHECKING

import msgspec

from agateshelf.core import storage
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.feed import models as feed_models
from agateshelf.core.membership import models as membership_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.peers import models as peer_models

# An entry that follows routes never loads what only services need.
if TYPE_CHECKING:
    from agateshelf.core.claims import models as claim_models
    from agateshelf.core.configuration import content
    from agateshelf.core.configuration import models as configuration_models
    from agateshelf.core.routing import models as routing_models


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller's request was read whole.

    Attributes:
        call: Number of the call, unique within the entry's life.
        caller: Name of the caller.
        method: HTTP method.
        path: Path with query.
        idempotency_key: The caller's key, if it sent one.
        timeout: Seconds the caller will wait, if it said so.
        no_retry: Whether a hop above already retries.
        body_digest: Digest of the body, for comparing repeats.
        host: Host that the request names.
        request_id: The caller's identifier of the request, for logs.
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


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller's connection ended before its answer."""

    call: int


class TargetLoad(msgspec.Struct, frozen=True):
    """Load that a target reported of itself.

    Attributes:
        in_flight: Requests it works on.
        queued: Requests that wait for a slot.
        slots: Requests it can work on at once.
        age: Seconds since the target measured it.
        slowness: How many times as long as usual its work takes now.
    """

    in_flight: int
    queued: int
    slots: int
    age: float = 0.0
    slowness: float = 1.0


class AttemptAnswered(msgspec.Struct, frozen=True):
    """A target answered; the answer is held whole, or streams from here on.

    Attributes:
        attempt: Number of the attempt.
        status: HTTP status.
        headers: Answer headers, names in lower case.
        streaming: Whether more of the body is still to come.
        load: Load carried on the answer.
        draining: Whether the target said that it is leaving.
        body: The body if it is whole and small, for repeats.
        not_run: Whether the target said that it did not run the request.
        misdirected: Whether another target has the address now.
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


class TargetRefused(msgspec.Struct, frozen=True):
    """A target that was to be checked refused a connection."""

    target: str


class StreamEnded(msgspec.Struct, frozen=True):
    """The rest of a streaming answer arrived or broke off."""

    attempt: int
    whole: bool


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt ended without a whole answer.

    Attributes:
        attempt: Number of the attempt.
        kind: How it ended.
        any_byte_sent: Whether any byte of the request may have left.
        kept_connection: Whether it ran on a connection used before.
    """

    attempt: int
    kind: outcome_models.FailureKind
    any_byte_sent: bool
    kept_connection: bool = False


class ConfigurationRead(msgspec.Struct, frozen=True):
    """A whole, checked configuration version arrived."""

    configuration: "configuration_models.Configuration"


class StopRequested(msgspec.Struct, frozen=True):
    """The process was asked to stop gracefully."""


class StopDeadlinePassed(msgspec.Struct, frozen=True):
    """The graceful stop has taken too long; give every call its last word."""


class Tick(msgspec.Struct, frozen=True):
    """The time of the earliest timer has come."""


class DeadlinePassed(msgspec.Struct, frozen=True):
    """A call's deadline passed (timer)."""

    call: int


class CallAdmitted(msgspec.Struct, frozen=True):
    """The limits let a call pass (internal)."""

    call: int


class CallRejected(msgspec.Struct, frozen=True):
    """A part gives a call its final word in place of an answer (internal)."""

    call: int
    refusal: outcome_models.Refusal


class CallCleared(msgspec.Struct, frozen=True):
    """A call may start its attempts: any claim it needs is held (internal)."""

    call: int


class CallReplayed(msgspec.Struct, frozen=True):
    """A call repeats an ended one and gets its answer (internal)."""

    call: int
    answer: outcome_models.RecordedAnswer


class ClaimDecided(msgspec.Struct, frozen=True):
    """An appender decided a proposed record (internal).

    Attributes:
        decision: The decision.
        peer: The entry that appends; None for this one.
    """

    decision: "claim_models.Decision"
    peer: str | None = None


class ClaimEnded(msgspec.Struct, frozen=True):
    """A claimed call had its final word (internal).

    Attributes:
        call: Number of the call.
        verdict: The worst verdict of its attempts.
        answer: What is kept of its answer, if it had one.
    """

    call: int
    verdict: outcome_models.Verdict
    answer: outcome_models.RecordedAnswer | None


class ClaimsSettled(msgspec.Struct, frozen=True):
    """The ends of all claims of a stopping entry are recorded (internal)."""


class ClaimOverdue(msgspec.Struct, frozen=True):
    """A proposed record may have waited too long (timer)."""

    nonce: bytes


class ClaimsDue(msgspec.Struct, frozen=True):
    """A shard of claims may go on (timer)."""

    shard: int


class ClaimsBeat(msgspec.Struct, frozen=True):
    """Time to look whether this process was stopped for a while (timer)."""


class SlotFreed(msgspec.Struct, frozen=True):
    """An attempt or claim of a service ended while calls wait (internal)."""

    service: str


class LoansDue(msgspec.Struct, frozen=True):
    """Time to ask other entries for parts of rates (timer)."""


class WaitEnded(msgspec.Struct, frozen=True):
    """A call has waited for a free target as long as it may (timer)."""

    call: int


class StoreAnswered(msgspec.Struct, frozen=True):
    """The platform's store answered a request, or did not.

    Attributes:
        request: Number the request was sent with.
        answer: The answer.
    """

    request: int
    answer: storage.StoreAnswer


class PeerSpoke(msgspec.Struct, frozen=True):
    """Another entry's message arrived, checked to come from an entry.

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
        failure_domain: Where it runs.
    """

    id: str
    failure_domain: str


class EntriesSeen(msgspec.Struct, frozen=True):
    """Which entries are believed live, this one included (internal).

    Membership posts it whenever its belief changes.
    """

    entries: tuple[LiveEntry, ...]


class Started(msgspec.Struct, frozen=True):
    """The entry's process began; membership and configuration set out.

    Attributes:
        incarnation: Number that grows with each process of this entry.
        address: `HOST:PORT` at which other entries reach this one, or None
            if it runs without peers.
        seeds: Entries to speak to first.
        has_store: Whether the platform's store keeps a configuration of
            services for this entry.
        has_feed: Whether this entry follows routes and registrations.
    """

    incarnation: int
    address: str | None = None
    seeds: tuple[membership_models.Seed, ...] = ()
    has_store: bool = True
    has_feed: bool = False


class PeerVersionHeard(msgspec.Struct, frozen=True):
    """Another entry said which configuration it has in force (internal)."""

    peer: str
    version: int


class ConfigurationInvalid(msgspec.Struct, frozen=True):
    """The border refused a content that the core had it check."""

    version: int
    detail: str


class PatchRequested(msgspec.Struct, frozen=True):
    """An operator's patch was applied at the border to its base version.

    Attributes:
        operation: Number that its answer will carry.
        patch_id: The patch's own identifier; the same one is the same patch.
        base_version: Version that the patch was written for.
        parts: The new configuration whole and checked; None if the base
            version is not in force here, so that it could not be applied.
        author: Who asks.
        reason: Why.
        at: When, in Unix seconds.
    """

    operation: int
    patch_id: str
    base_version: int
    parts: "tuple[content.Part, ...] | None"
    author: str
    reason: str
    at: float


class RepublishRequested(msgspec.Struct, frozen=True):
    """An operator wants what is in force written over a lower head.

    For a store that lost its latest versions; `AnswerPatch` follows.
    """

    operation: int
    patch_id: str
    author: str
    reason: str
    at: float


class PatchLookup(msgspec.Struct, frozen=True):
    """An operator asks what became of a patch."""

    operation: int
    patch_id: str


class HistoryRequested(msgspec.Struct, frozen=True):
    """An operator asks for the latest changes, the newest first."""

    operation: int
    limit: int


class SurveyRequested(msgspec.Struct, frozen=True):
    """An operator asks which version each entry has in force."""

    operation: int


Question = (
    PatchRequested
    | RepublishRequested
    | PatchLookup
    | HistoryRequested
    | SurveyRequested
)


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings name other entries to speak to first."""

    seeds: tuple[membership_models.Seed, ...]


class FeedAnswered(msgspec.Struct, frozen=True):
    """The platform's store answered a question of the feed, or did not."""

    request: int
    answer: feed_models.FeedAnswer


class RoutesAdopted(msgspec.Struct, frozen=True):
    """Newer routes came into force (internal)."""


class TargetsChanged(msgspec.Struct, frozen=True):
    """Registrations of these targets changed (internal)."""

    targets: tuple[str, ...]


class TargetProbed(msgspec.Struct, frozen=True):
    """A probe of a target ended.

    Attributes:
        service: Service of the target.
        target: Identifier of the target.
        load: What it said of its load; None if it did not answer.
    """

    service: str
    target: str
    load: TargetLoad | None


class TurnDecided(msgspec.Struct, frozen=True):
    """A home granted a call a target, or refused it one (internal).

    Attributes:
        call: Number of the call.
        question: Number of the question to the home.
        home: The home.
        target: The target; None if the call gets none.
        why: Why it gets none.
        retry_after: Seconds until it is worth asking again.
        basis: What the home knew of the target, for the log.
    """

    call: int
    question: int
    home: str
    target: str | None
    why: dispatch_models.Refusal = dispatch_models.Refusal.NO_TARGET
    retry_after: float = 0.0
    basis: tuple[tuple[str, float], ...] = ()


class TargetChosen(msgspec.Struct, frozen=True):
    """A target was found for a call, or none was (internal).

    Attributes:
        call: Number of the call.
        placement: Number of the placement; None if no target fits.
        hedge: Whether it was looked for while another attempt is in flight.
    """

    call: int
    placement: int | None
    hedge: bool


class PlacementEnded(msgspec.Struct, frozen=True):
    """An attempt ended, or never began (internal).

    Attributes:
        placement: Number of its placement.
        ending: What its end says of the target.
        draining: Whether the target said that it is leaving.
    """

    placement: int
    ending: "routing_models.Ending"
    draining: bool


class AskOverdue(msgspec.Struct, frozen=True):
    """The home of a group should have named a target by now (timer)."""

    ask: int


class HedgeDue(msgspec.Struct, frozen=True):
    """An attempt takes longer than most do (timer).

    Attributes:
        call: Number of the call.
        attempt: Number of the attempt.
        asked: How often a target for a second attempt was looked for.
    """

    call: int
    attempt: int
    asked: int = 0


_LoadedEvent = (
    RequestArrived
    | CallerLeft
    | AttemptAnswered
    | TargetRefused
    | StreamEnded
    | AttemptFailed
    | ConfigurationRead
    | StopRequested
    | StopDeadlinePassed
    | Tick
    | DeadlinePassed
    | CallAdmitted
    | CallRejected
    | CallCleared
    | CallReplayed
    | ClaimDecided
    | ClaimEnded
    | ClaimsSettled
    | ClaimOverdue
    | ClaimsDue
    | ClaimsBeat
    | SlotFreed
    | LoansDue
    | WaitEnded
    | StoreAnswered
    | PeerSpoke
    | EntriesSeen
    | Started
    | PeerVersionHeard
    | ConfigurationInvalid
    | PatchRequested
    | RepublishRequested
    | PatchLookup
    | HistoryRequested
    | SurveyRequested
    | membership_models.MembershipTimer
    | TargetChosen
    | PlacementEnded
    | AskOverdue
    | HedgeDue
    | SeedsChanged
    | FeedAnswered
    | RoutesAdopted
    | TargetsChanged
    | TargetProbed
    | TurnDecided
    | feed_models.FeedDue
    | feed_models.ReaderLeft
    | feed_models.RestOver
    | dispatch_models.DispatchTimer
)
if TYPE_CHECKING:
    Event = _LoadedEvent | configuration_models.ConfigurationTimer
else:
    Event = _LoadedEvent
