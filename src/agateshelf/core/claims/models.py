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
        request: Digest of method, path and body.
        state: State of the claim.
        status: HTTP status of the recorded answer; 0 without one.
        content_type: Content type of the recorded answer.
        body: Body of the recorded answer; None if it was not kept.
    """

    digest: bytes
    nonce: bytes
    request: bytes
    state: RecordState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The value of a shard's head key, or of a segment.

    Attributes:
        since: Version of the head that was last written as a segment; 0 if
            none was.
        records: The records since then, the latest of each digest.
    """

    since: int
    records: list[Record]


class Word(enum.IntEnum):
    """Result of an appender's decision on a proposed record.

    - GRANTED: the claim is in the log, and the call may start.
    - IN_FLIGHT, ANSWERED, UNKNOWN: the request duplicates another call's,
      whose claim has this state.
    - MISMATCH: the key was used for another request.
    - VOID: the proposed claim has already ended.
    - AWAY: the store is unavailable, and the claim was not written.
    - KEPT: the completion needs no further proposal.
    - AWAY_UNSURE: the store is unavailable, and the claim may be written.
    """

    GRANTED = 1
    IN_FLIGHT = 2
    ANSWERED = 3
    UNKNOWN = 4
    MISMATCH = 5
    VOID = 6
    AWAY = 7
    KEPT = 8
    AWAY_UNSURE = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An appender's decision on one proposed record.

    Attributes:
        nonce: Nonce of the proposed record.
        proposed: State of the proposed record.
        word: The result.
        known: The completion in the log, if the proposal duplicates an answered
            request.
    """

    nonce: bytes
    proposed: RecordState
    word: Word
    known: Record | None = None


class Phase(enum.Enum):
    """Phase of a shard's appender.

    COLD means that the head must be read, and READY that nothing is under way;
    in the others a store request is in flight.
    """

    COLD = "cold"
    READING_HEAD = "reading-head"
    READING_SEGMENTS = "reading-segments"
    READY = "ready"
    LEASING = "leasing"
    SPILLING = "spilling"
    SWAPPING = "swapping"


@dataclasses.dataclass(slots=True)
class Proposal:
    """A proposed record in a shard's queue.

    Attributes:
        record: The record.
        peer: The entry that proposed it; None for this one.
        unsure: Whether it was part of a write whose outcome is not known.
    """

    record: Record
    peer: str | None
    unsure: bool = False


@dataclasses.dataclass(slots=True)
class Known:
    """An item of a shard's index.

    Attributes:
        record: The record.
        learned: Time at which it was added, in seconds.
    """

    record: Record
    learned: float


@dataclasses.dataclass(slots=True)
class Shard:
    """State of a shard's log as this entry knows it, and of its appender.

    Attributes:
        number: Number of the shard.
        phase: Phase of the appender.
        version: Version of the head as last read or written; 0 if none.
        since: Version of the head that was last written as a segment, as that
            head says.
        recent: Records in that head, by digest.
        recent_bytes: Size of that head's encoded value.
        index: Latest record of each digest, the least recently changed first.
        body_bytes: Size of the recorded bodies in the index.
        queue: Proposals not decided yet.
        batch: Proposals in the swap under way.
        decisions: Decisions on them, sent once the swap has succeeded.
        next_head: The head being written.
        changes: Records of the batch that are new in that head.
        next_bytes: Size of that head's encoded value.
        spilled: Whether the known head is also written as a segment.
        reading: A head that was read, while its segments are read.
        reading_version: Version of that head.
        tokens: Tokens of the rate limit; each allows one write.
        refilled: Time at which the tokens were last updated, in seconds.
        failures: Consecutive failed store requests.
        retry_at: Time of the end of the backoff, in seconds.
        wakes_at: Time of the scheduled timer, in seconds; None without one.
    """

    number: int
    phase: Phase = Phase.COLD
    version: int = 0
    since: int = 0
    recent: dict[bytes, Record] = dataclasses.field(default_factory=dict)
    recent_bytes: int = 0
    index: collections.OrderedDict[bytes, Known] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    body_bytes: int = 0
    queue: collections.deque[Proposal] = dataclasses.field(
        default_factory=collections.deque
    )
    batch: list[Proposal] = dataclasses.field(default_factory=list)
    decisions: list[Decision] = dataclasses.field(default_factory=list)
    next_head: Head | None = None
    changes: list[Record] = dataclasses.field(default_factory=list)
    next_bytes: int = 0
    spilled: bool = False
    reading: Head | None = None
    reading_version: int = 0
    tokens: float = 0.0
    refilled: float = 0.0
    failures: int = 0
    retry_at: float = 0.0
    wakes_at: float | None = None


class Stage(enum.Enum):
    """Stage of a call's claim.

    A claim is ASKED until it is decided. HELD allows the call to start, and so
    does UNCLAIMED, which runs without a claim by the service's policy; REJECTED
    doesn't.
    """

    ASKED = "asked"
    HELD = "held"
    UNCLAIMED = "unclaimed"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class Delivery:
    """The latest proposal of a record.

    Attributes:
        owner: Entry that it was proposed to.
        sent: Time at which it was proposed, in seconds.
        tries: Number of proposals so far.
        direct: Whether this entry's own appender has it.
    """

    owner: str = ""
    sent: float = 0.0
    tries: int = 0
    direct: bool = False


@dataclasses.dataclass(slots=True)
class Claim:
    """The claim of one call.

    Attributes:
        call: Number of the call.
        record: The proposed record.
        asked: Time at which it was first proposed, in seconds.
        delivery: The latest proposal.
        stage: Stage of the claim.
        may_be_written: Whether its record is, or may still get, in the log.
    """

    call: int
    record: Record
    asked: float
    delivery: Delivery = dataclasses.field(default_factory=Delivery)
    stage: Stage = Stage.ASKED
    may_be_written: bool = True


@dataclasses.dataclass(slots=True)
class Untold:
    """The completion of a claim that no appender has confirmed yet.

    Attributes:
        record: The proposed record.
        since: Time at which it was first proposed, in seconds.
        delivery: The latest proposal.
    """

    record: Record
    since: float
    delivery: Delivery = dataclasses.field(default_factory=Delivery)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store that segments are written under.

    Attributes:
        id: Identifier of the lease.
        asked: Time at which it was requested, in seconds.
        lifetime: Claim lifetime that it was requested for, in seconds.
    """

    id: str
    asked: float
    lifetime: float


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A store request without an answer yet.

    Attributes:
        shard: Number of the shard that it is for.
        at: Time at which it was sent, in seconds.
    """

    shard: int
    at: float


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """All claims and shards of this entry.

    Attributes:
        incarnation: Random identifier of this process, which distinguishes it
            from earlier processes of the same entry.
        entries: Entries believed to be live.
        claims: Claims of the calls under way, by call number.
        calls_by_nonce: Numbers of these calls, by nonce.
        untold: Completions not confirmed yet, by nonce.
        shards: Shards that this entry has used, by number.
        store_requests: Store requests in flight, by number.
        suspected: Time until which an owner that did not answer is passed over,
            in seconds, by entry.
        heard: Time of the latest decisions of each owner, in seconds.
        store_seen: Time of the store's latest good answer, in seconds.
        lease: The latest lease for segments.
        beat_due: Time of the next check for pauses, in seconds; None before the
            first is scheduled.
        distrust_until: Time until which a request may be older than it seems,
            after a pause, in seconds.
    """

    incarnation: bytes
    entries: tuple[str, ...]
    claims: dict[int, Claim] = dataclasses.field(default_factory=dict)
    calls_by_nonce: dict[bytes, int] = dataclasses.field(default_factory=dict)
    untold: dict[bytes, Untold] = dataclasses.field(default_factory=dict)
    shards: dict[int, Shard] = dataclasses.field(default_factory=dict)
    store_requests: dict[int, Asked] = dataclasses.field(default_factory=dict)
    suspected: dict[str, float] = dataclasses.field(default_factory=dict)
    heard: dict[str, float] = dataclasses.field(default_factory=dict)
    store_seen: float = float("-inf")
    lease: Lease | None = None
    beat_due: float | None = None
    distrust_until: float = 0.0


def create_state(entry: str, incarnation: bytes) -> ClaimsState:
    """Create the state of an entry that knows no other entries yet."""
    return ClaimsState(incarnation, (entry,))
