"""Records of claims, and what an entry knows and waits for."""

import collections
import dataclasses
import enum

import msgspec

INCARNATION_BYTES = 8


class RecordState(enum.IntEnum):
    """What the log says of a key."""

    CLAIMED = 1
    ANSWERED = 2
    UNKNOWN = 3
    RELEASED = 4


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the log: a claim, or the end of one.

    Attributes:
        digest: Digest of service, caller and key.
        nonce: Names the one call that claims.
        request: Digest of method, path and body.
        state: What it says.
        status: HTTP status of the recorded answer.
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
    """The value of a shard's head key.

    Attributes:
        since: Version of the head that was last spilled into a segment.
        records: All records since then, the latest of each digest.
    """

    since: int
    records: list[Record]


class Word(enum.IntEnum):
    """What an appender decides of a proposed record."""

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
    """An appender's word on one proposed record.

    Attributes:
        nonce: Nonce of the proposed record.
        proposed: State that was proposed.
        word: The word.
        known: The record it rests on, for a repeat of an ended request.
    """

    nonce: bytes
    proposed: RecordState
    word: Word
    known: Record | None = None


class Phase(enum.Enum):
    """What an appender is doing with a shard."""

    COLD = "cold"
    READING_HEAD = "reading-head"
    READING_SEGMENTS = "reading-segments"
    READY = "ready"
    LEASING = "leasing"
    SPILLING = "spilling"
    SWAPPING = "swapping"


@dataclasses.dataclass(slots=True)
class Proposal:
    """A record that waits in a shard's queue.

    Attributes:
        record: The record.
        peer: The entry that proposed it; None for this one.
        unsure: Whether it was in a write whose fate is not known.
    """

    record: Record
    peer: str | None
    unsure: bool = False


@dataclasses.dataclass(slots=True)
class Known:
    """A record in a shard's index.

    Attributes:
        record: The record.
        learned: Time it was learned, in seconds.
    """

    record: Record
    learned: float


@dataclasses.dataclass(slots=True)
class Shard:
    """What this entry knows of one shard's log, and its appender.

    Attributes:
        number: Number of the shard.
        phase: What the appender is doing.
        version: Version of the head as last read or written; 0 if none.
        since: Version of the last spill under that head.
        recent: Records in that head.
        recent_bytes: Size of that head's value.
        index: All records known, the least recently changed first.
        body_bytes: Size of the recorded bodies in the index.
        queue: Proposals that wait.
        batch: Proposals in the swap under way.
        decisions: What each of them is told once it succeeds.
        next_head: The head being written.
        changes: Records of the batch that are new in it.
        next_bytes: Size of its value.
        spilled: Whether the known head is also in a segment.
        reading: The head being caught up with, while segments are read.
        reading_version: Its version.
        tokens: Writes that may be made at once.
        refilled: Time the tokens were counted, in seconds.
        failures: Store requests in a row that failed.
        retry_at: Time before which the store is left alone, in seconds.
        wakes_at: Time of the timer that is set, if any.
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
    """How far a call's claim has come."""

    ASKED = "asked"
    HELD = "held"
    UNCLAIMED = "unclaimed"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class Delivery:
    """How a record was proposed last.

    Attributes:
        owner: Entry it was proposed to.
        sent: Time it was proposed, in seconds.
        tries: How often it was proposed.
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
        asked: Time it was first proposed, in seconds.
        delivery: How it was proposed last.
        stage: How far it has come.
        may_be_written: Whether its record may be, or come to be, in the log.
    """

    call: int
    record: Record
    asked: float
    delivery: Delivery = dataclasses.field(default_factory=Delivery)
    stage: Stage = Stage.ASKED
    may_be_written: bool = True


@dataclasses.dataclass(slots=True)
class Untold:
    """The end of a claim that no appender has confirmed yet.

    Attributes:
        record: The proposed record.
        since: Time it was first proposed, in seconds.
        delivery: How it was proposed last.
    """

    record: Record
    since: float
    delivery: Delivery = dataclasses.field(default_factory=Delivery)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease for segments.

    Attributes:
        id: Name of the lease.
        asked: Time before it was asked for, in seconds.
        lifetime: Seconds that records under it must last.
    """

    id: str
    asked: float
    lifetime: float


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request to the store that has no answer yet.

    Attributes:
        shard: Number of the shard it is for.
        at: Time it was sent, in seconds.
    """

    shard: int
    at: float


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """All claims and shards of this entry.

    Attributes:
        incarnation: Sets this process apart from any other, also of its name.
        entries: Entries believed to be live.
        claims: Claims of calls under way, by call.
        calls_by_nonce: Their calls, by nonce.
        untold: Ends of claims not confirmed yet, by nonce.
        shards: Shards this entry has used, by number.
        asked: Store requests under way, by number.
        suspected: Owners that did not answer, and until when.
        heard: Time of the latest word of each owner, in seconds.
        store_seen: Time of the store's latest good answer, in seconds.
        lease: The latest lease for segments.
        beat_due: Time at which the next beat is due, in seconds.
        distrust_until: Until when requests may be older than they seem.
    """

    incarnation: bytes
    entries: tuple[str, ...]
    claims: dict[int, Claim] = dataclasses.field(default_factory=dict)
    calls_by_nonce: dict[bytes, int] = dataclasses.field(default_factory=dict)
    untold: dict[bytes, Untold] = dataclasses.field(default_factory=dict)
    shards: dict[int, Shard] = dataclasses.field(default_factory=dict)
    asked: dict[int, Asked] = dataclasses.field(default_factory=dict)
    suspected: dict[str, float] = dataclasses.field(default_factory=dict)
    heard: dict[str, float] = dataclasses.field(default_factory=dict)
    store_seen: float = float("-inf")
    lease: Lease | None = None
    beat_due: float | None = None
    distrust_until: float = 0.0


def create_state(entry: str, incarnation: bytes) -> ClaimsState:
    """Create the claims of an entry that knows no other entry yet."""
    return ClaimsState(incarnation, (entry,))
