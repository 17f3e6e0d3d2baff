"""State of the detection of poisonous requests."""

import collections
import dataclasses
import enum
import math


class Status(enum.IntEnum):
    """What is known of a possible crash; a higher value replaces a lower one.

    Attributes:
        SUSPECTED: The target answers nothing, not even new connections.
        CONFIRMED: The target's process ended.
        CLEARED: Another target answered the request meanwhile.
    """

    SUSPECTED = 0
    CONFIRMED = 1
    CLEARED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """A process of a target, as all entries name it.

    Attributes:
        target: Identifier of the target.
        born: Start of the process in Unix milliseconds, if known.
        nonce: Text that tells a process whose start isn't known yet from the
            one before it; usually empty.
    """

    target: str
    born: int | None = None
    nonce: str = ""


@dataclasses.dataclass(slots=True)
class Crash:
    """One process that ended, or seems to have, while it ran a request.

    Attributes:
        status: What is known of it.
        until: Time of expiry, in seconds.
    """

    status: Status
    until: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request suspected of crashing its targets.

    Attributes:
        crashes: Crashes by process. Copies of a request on one process are
            thus one crash, whichever entries sent them.
    """

    crashes: dict[Process, Crash] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Trial:
    """The latest trial of a withheld request by this entry.

    Attributes:
        attempt: Number of its attempt.
        retry_at: Time before which no other follows, in seconds.
        failed: Trials without an answer, this one included while it runs.
        answered: Trials in a row that were answered.
    """

    attempt: int
    retry_at: float = -math.inf
    failed: int = 0
    answered: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A request that was sent to a target.

    Attributes:
        attempt: Number of the attempt.
        request_id: The caller's identifier of the request, for logs.
        fingerprint: Digest by which repeats of the request are recognised.
        caller: Name or address of the caller, for logs.
        target: Identifier of the target.
        address: `HOST:PORT` of the target.
        sent_at: Time of sending, in seconds.
        born: Start of the target's process in Unix milliseconds, if known.
        revision: Revision of the target's registration; 0 if it has none.
        crash_limit: Crashes from which on the request is withheld.
        loss_is_crash: Whether a lost connection that was not kept counts as a
            crash without further evidence.
    """

    attempt: int
    request_id: str
    fingerprint: bytes
    target: str
    address: str
    sent_at: float
    crash_limit: int
    caller: str = ""
    born: int | None = None
    revision: int = 0
    loss_is_crash: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A send without an answer that may have been a crash.

    Attributes:
        send: The send.
        lost_at: Time of the loss, in seconds.
        until: Time after which evidence no longer makes it a crash.
        kept_connection: Whether a kept-alive connection was lost.
    """

    send: Send
    lost_at: float
    until: float
    kept_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCheckDue:
    """A target that lost connections is to be checked again (timer)."""

    target: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsDue:
    """Reports that waited for the rate limit may be sent (timer)."""


PoisonTimer = TargetCheckDue | ReportsDue


class StoreUse(enum.Enum):
    """What a request to the store is for; the values are logged.

    Attributes:
        LOAD: Read by an entry that has become the reader.
        FIRST_LOAD: Read at the start of an entry, mostly a stale one.
        LEASE: Grant of the lease of what is written.
        WRITE: Write of a withheld request.
    """

    LOAD = "load"
    FIRST_LOAD = "load stale"
    LEASE = "lease"
    WRITE = "write"


@dataclasses.dataclass(frozen=True, slots=True)
class PendingStoreRequest:
    """A request to the store without an answer yet.

    Attributes:
        number: Number of the request.
        use: What it is for.
        fingerprint: Fingerprint of the request that is written, if any.
    """

    number: int
    use: StoreUse
    fingerprint: bytes


@dataclasses.dataclass(slots=True)
class StoringState:
    """State of keeping withheld requests in the store.

    Attributes:
        pending: The request to the store under way, one at a time.
        loaded: Whether this reader has read what is stored.
        unstored: Fingerprints of requests to store, in order.
        stored: Times until which requests are stored, by fingerprint.
        lease: Lease under which requests are written.
        leased_at: When it was granted, in seconds.
        failures: Failed requests to the store in a row.
        retry_at: Time before which no request is sent, in seconds.
    """

    pending: PendingStoreRequest | None = None
    loaded: bool = False
    unstored: dict[bytes, None] = dataclasses.field(default_factory=dict)
    stored: dict[bytes, float] = dataclasses.field(default_factory=dict)
    lease: str | None = None
    leased_at: float = -math.inf
    failures: int = 0
    retry_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class PoisonState:
    """Suspects, sends in flight and losses of this entry, all bounded.

    Attributes:
        suspects: Suspects by fingerprint, the least recent first.
        trials: Trials of withheld requests by fingerprint, the oldest first.
        in_flight: Sends without an answer yet, by attempt.
        losses: Losses by fingerprint, the least recent first.
        doubtful: Targets that refused a connection while this entry may be cut
            off from all of them.
        ended: When each process was found to have ended, the oldest first.
        answered_at: When a target last answered this entry, in seconds.
        checked_at: When each target was last checked after a loss.
        unsent: Fingerprint and process of the crashes still to be reported to
            the other entries, in order.
        reports_due: Whether a timer for them is set.
        tokens: Messages that may be sent to other entries now.
        refilled: Time of the latest refill of `tokens`, in seconds.
        digest: Digest of all crashes; None when it must be computed again.
        next_expiry: Earliest time at which a crash expires, in seconds.
        process_nonce: Random text that tells this process from others.
        storing: State of keeping withheld requests in the store.
    """

    suspects: collections.OrderedDict[bytes, Suspect] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    trials: dict[bytes, Trial] = dataclasses.field(default_factory=dict)
    in_flight: dict[int, Send] = dataclasses.field(default_factory=dict)
    losses: collections.OrderedDict[bytes, list[Loss]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    doubtful: set[str] = dataclasses.field(default_factory=set)
    ended: collections.OrderedDict[Process, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    answered_at: float = -math.inf
    checked_at: dict[str, float] = dataclasses.field(default_factory=dict)
    unsent: dict[tuple[bytes, Process], None] = dataclasses.field(
        default_factory=dict
    )
    reports_due: bool = False
    tokens: float = 0.0
    refilled: float = 0.0
    digest: int | None = 0
    next_expiry: float = 0.0
    process_nonce: str = ""
    storing: StoringState = dataclasses.field(default_factory=StoringState)
