"""Records in the log of claims, and the state of claims and shards."""

import collections
import dataclasses
import enum

import msgspec

INCARNATION_BYTES = 8


class RecordState(enum.IntEnum):
    """State of a key's latest claim.

    A claim starts as CLAIMED and ends as one of the others: ANSWERED by a
    target, UNKNOWN if the request may have run but was not answered, or
    RELEASED if it did not run, which makes the key free again.
    """

    CLAIMED = 1
    ANSWERED = 2
    UNKNOWN = 3
    RELEASED = 4


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record in the log: a claim or its completion.

    Attributes:
        digest: Digest of service, caller and idempotency key.
        nonce: Unique identifier of the call that claims the key.
        request_digest: Digest of method, path and body.
        state: State of the claim.
        status: HTTP status of the recorded response; 0 without one.
        content_type: Content type of the recorded response.
        body: Body of the recorded response; None if it was not kept.
    """

    digest: bytes
    nonce: bytes
    request_digest: bytes
    state: RecordState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The value of a shard's head key, or of a segment.

    Attributes:
        sealed_version: Version of the head that was last sealed, which means
            written as a segment; 0 if none was.
        records: The records since then, the latest of each digest.
    """

    sealed_version: int
    records: list[Record]


class ProposalResult(enum.IntEnum):
    """Result of an appender's decision on a proposed record.

    - GRANTED: the claim is in the log, and the call may start.
    - IN_FLIGHT, ANSWERED, UNKNOWN: the request duplicates another call's,
      whose claim has this state.
    - MISMATCH: the key was used for another request.
    - ALREADY_ENDED: the proposed claim has already ended.
    - STORE_UNAVAILABLE: the claim was not written.
    - CONFIRMED: the completion needs no further proposal.
    - STORE_UNAVAILABLE_MAYBE_WRITTEN: a write of the claim may take effect.
    """

    GRANTED = 1
    IN_FLIGHT = 2
    ANSWERED = 3
    UNKNOWN = 4
    MISMATCH = 5
    ALREADY_ENDED = 6
    STORE_UNAVAILABLE = 7
    CONFIRMED = 8
    STORE_UNAVAILABLE_MAYBE_WRITTEN = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An appender's decision on one proposed record.

    Attributes:
        nonce: Nonce of the proposed record.
        proposed: State of the proposed record.
        word: The result of the proposal. The field name is sent between entries
            and can't change.
        known: The completion in the log, if the proposal duplicates an answered
            request.
    """

    nonce: bytes
    proposed: RecordState
    word: ProposalResult
    known: Record | None = None


class Phase(enum.Enum):
    """Phase of a shard's appender.

    HEAD_STALE means that the head must be read before the next decision, and
    READY that nothing is under way; in the others a store request is in flight.
    SEALING writes the head as a segment.
    """

    HEAD_STALE = "cold"
    READING_HEAD = "reading-head"
    READING_SEGMENTS = "reading-segments"
    READY = "ready"
    LEASING = "leasing"
    SEALING = "spilling"
    SWAPPING = "swapping"


@dataclasses.dataclass(slots=True)
class Proposal:
    """A proposed record in a shard's queue.

    Attributes:
        record: The record.
        peer: The entry that proposed it; None for this one.
        may_be_written: Whether it was part of a write with unknown outcome.
    """

    record: Record
    peer: str | None
    may_be_written: bool = False


@dataclasses.dataclass(slots=True)
class IndexItem:
    """An item of a shard's index.

    Attributes:
        record: The record.
        added_at: Time at which it was added, in seconds.
    """

    record: Record
    added_at: float


@dataclasses.dataclass(slots=True)
class Shard:
    """State of a shard's log as this entry knows it, and of its appender.

    Attributes:
        number: Number of the shard.
        phase: Phase of the appender.
        version: Version of the head as last read or written; 0 if none.
        sealed_version: Version of the latest head sealed before the known one.
        head_records: Records in that head, by digest.
        head_bytes: Size of that head's encoded value.
        index: Latest record of each digest, the least recently changed first.
        body_bytes: Size of the recorded bodies in the index.
        queue: Proposals not decided yet.
        batch: Proposals in the swap under way.
        decisions: Decisions on them, sent when the swap has succeeded.
        next_head: The head being written.
        new_records: Records of the batch that are new in that head.
        next_head_bytes: Size of that head's encoded value.
        is_head_sealed: Whether the known head has been written as a segment.
        catch_up_head: A head that was read, while its segments are read.
        catch_up_version: Version of that head.
        tokens: Tokens of the rate limit; each allows one write.
        refilled_at: Time at which the tokens were last updated, in seconds.
        consecutive_failures: Store requests that failed since the last success.
        retry_at: Time of the end of the backoff, in seconds.
        wake_up_at: Time of the scheduled timer, in seconds; None without one.
    """

    number: int
    phase: Phase = Phase.HEAD_STALE
    version: int = 0
    sealed_version: int = 0
    head_records: dict[bytes, Record] = dataclasses.field(default_factory=dict)
    head_bytes: int = 0
    index: collections.OrderedDict[bytes, IndexItem] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    body_bytes: int = 0
    queue: collections.deque[Proposal] = dataclasses.field(
        default_factory=collections.deque
    )
    batch: list[Proposal] = dataclasses.field(default_factory=list)
    decisions: list[Decision] = dataclasses.field(default_factory=list)
    next_head: Head | None = None
    new_records: list[Record] = dataclasses.field(default_factory=list)
    next_head_bytes: int = 0
    is_head_sealed: bool = False
    catch_up_head: Head | None = None
    catch_up_version: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0
    consecutive_failures: int = 0
    retry_at: float = 0.0
    wake_up_at: float | None = None


class Stage(enum.Enum):
    """Stage of a call's claim.

    - PENDING: not decided yet.
    - GRANTED: the claim is recorded, and the call may start.
    - BYPASSED: the call may start without a claim, by the service's policy for
      outages of the store.
    - REJECTED: the call must not start; it is refused, or gets the recorded
      response of an earlier request.
    """

    PENDING = "asked"
    GRANTED = "held"
    BYPASSED = "unclaimed"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class ProposalProgress:
    """The proposals of one record so far.

    Attributes:
        owner: Entry that it was last proposed to.
        sent_at: Time at which it was last proposed, in seconds.
        proposal_count: Number of proposals so far.
        is_local: Whether it was submitted to this entry's own appender.
    """

    owner: str = ""
    sent_at: float = 0.0
    proposal_count: int = 0
    is_local: bool = False


@dataclasses.dataclass(slots=True)
class Claim:
    """The claim of one call.

    Attributes:
        call: Number of the call.
        record: The proposed record.
        proposed_at: Time at which it was first proposed, in seconds.
        progress: The proposals of the record so far.
        stage: Stage of the claim.
        may_be_written: Whether its record is, or may still get, in the log.
    """

    call: int
    record: Record
    proposed_at: float
    progress: ProposalProgress = dataclasses.field(
        default_factory=ProposalProgress
    )
    stage: Stage = Stage.PENDING
    may_be_written: bool = True


@dataclasses.dataclass(slots=True)
class PendingCompletion:
    """A completion record that no appender has confirmed yet.

    Attributes:
        record: The proposed record.
        retry_started_at: Time from which its maximum age is counted, in
            seconds: that of the first proposal, or of the stop of this entry.
        progress: The proposals of the record so far.
    """

    record: Record
    retry_started_at: float
    progress: ProposalProgress = dataclasses.field(
        default_factory=ProposalProgress
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store that segments are written under.

    Attributes:
        id: Identifier of the lease.
        requested_at: Time at which it was requested, in seconds.
        lifetime: Claim lifetime that it was requested for, in seconds.
    """

    id: str
    requested_at: float
    lifetime: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingStoreRequest:
    """A store request without a reply yet.

    Attributes:
        shard: Number of the shard that it is for.
        sent_at: Time at which it was sent, in seconds.
    """

    shard: int
    sent_at: float


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """All claims and shards of this entry.

    Attributes:
        incarnation: Random identifier of this process, which distinguishes it
            from earlier processes of the same entry.
        entries: Entries believed to be live.
        claims: Claims of the calls under way, by call number.
        calls_by_nonce: Numbers of these calls, by nonce.
        pending_completions: Completions not confirmed yet, by nonce.
        shards: Shards that this entry has used, by number.
        store_requests: Store requests in flight, by number.
        suspected_until: Time until which an owner that did not reply, or can't
            reach the store, is passed over, in seconds, by entry.
        last_decisions_at: Time of the latest decisions received, in seconds, by
            owner.
        store_answered_at: Time of the store's latest successful reply, in
            seconds.
        lease: The latest lease for segments.
        pause_check_due: Time of the next check for pauses, in seconds; None
            before the first is scheduled.
        refuse_keyed_until: Time until which keyed requests are refused after a
            pause of this process, in seconds.
    """

    incarnation: bytes
    entries: tuple[str, ...]
    claims: dict[int, Claim] = dataclasses.field(default_factory=dict)
    calls_by_nonce: dict[bytes, int] = dataclasses.field(default_factory=dict)
    pending_completions: dict[bytes, PendingCompletion] = dataclasses.field(
        default_factory=dict
    )
    shards: dict[int, Shard] = dataclasses.field(default_factory=dict)
    store_requests: dict[int, PendingStoreRequest] = dataclasses.field(
        default_factory=dict
    )
    suspected_until: dict[str, float] = dataclasses.field(default_factory=dict)
    last_decisions_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    store_answered_at: float = float("-inf")
    lease: Lease | None = None
    pause_check_due: float | None = None
    refuse_keyed_until: float = 0.0


def create_state(entry: str, incarnation: bytes) -> ClaimsState:
    """Create the state of an entry that knows no other entries yet."""
    return ClaimsState(incarnation, (entry,))
