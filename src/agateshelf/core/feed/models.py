"""Answers of the platform's store to the feed, and the feed's state."""

import collections
import dataclasses
import enum
import math

from agateshelf.core.directory import models as directory_models
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.routes import models as route_models


class Topic(enum.Enum):
    """A part of the store that the feed follows."""

    ROUTES = "routes"
    TARGETS = "targets"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole content of a topic.

    Attributes:
        revision: Revision of the store at which it was read.
        table: The routes, if the topic holds any that can be parsed.
        targets: The registrations; one that can't be parsed is a removal.
        evacuated: Failure domains that are to be evacuated.
    """

    revision: int
    table: route_models.RouteTable | None = None
    targets: tuple[directory_models.Item, ...] = ()
    evacuated: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes in a topic since a revision.

    Attributes:
        revision: Revision of the store up to which these are all changes.
        table: The latest routes, if they changed and can be parsed.
        targets: Registrations and removals.
        evacuations: Changes of the evacuated failure domains.
        is_unreadable: Whether the routes changed to some that can't be parsed.
    """

    revision: int
    table: route_models.RouteTable | None = None
    targets: tuple[directory_models.Item, ...] = ()
    evacuations: tuple[evacuation_models.Change, ...] = ()
    is_unreadable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the requested changes; a full read is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store gave no usable answer."""

    reason: str


FeedAnswer = Snapshot | Changes | HistoryGone | Unavailable


class Phase(enum.Enum):
    """What the feed is doing with a topic."""

    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"


@dataclasses.dataclass(slots=True)
class TopicState:
    """State of following one topic.

    Attributes:
        phase: What the feed is doing with it.
        request: Number of the latest request for it.
        requested_at: Time at which that was sent.
        stale: Whether its answer may be some seconds old.
        known_at: Time as of which all its changes in the store are known here.
        revision: Revision up to which it was read.
        failures: Failed requests in a row.
        retry_at: Time before which no request is sent.
        changed_at: Time at which a watch last returned changes.
    """

    phase: Phase = Phase.IDLE
    request: int = 0
    requested_at: float = -math.inf
    stale: bool = False
    known_at: float = -math.inf
    revision: int = 0
    failures: int = 0
    retry_at: float = 0.0
    changed_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredRemoval:
    """A removal that may be an expired registration of a running target.

    Attributes:
        removal: The removal.
        until: Time at which it takes effect.
        made_after: Earliest time at which it can have been made.
    """

    removal: directory_models.Removal
    until: float
    made_after: float


class ProofStage(enum.Enum):
    """Whom an entry waits for that needs proof of its routes."""

    IDLE = "idle"
    READER = "reader"
    OTHER = "other"
    STORE = "store"


@dataclasses.dataclass(slots=True)
class ProofState:
    """State of proving that the routes in force are the newest ones.

    Attributes:
        stage: Whom this entry waits for.
        asked_at: When it asked, in seconds.
        next_at: Time before which it asks for no further proof.
        tokens: When each unanswered request was sent, by its token.
        reads: When each read of the store began whose answer is not stale, by
            number.
        read_at: Time before which no further own read is sent.
        era: Latest era of the store that was seen; None before the first.
        counts_from: Time before which no read counts that began earlier, since
            the store came back from an older copy.
        proven_revision: Revision of the store as of which the routes in force
            were shown to be its newest ones, so that only later changes are
            asked for; 0 if they have to be read.
    """

    stage: ProofStage = ProofStage.IDLE
    asked_at: float = -math.inf
    next_at: float = -math.inf
    tokens: dict[int, float] = dataclasses.field(default_factory=dict)
    reads: dict[int, float] = dataclasses.field(default_factory=dict)
    read_at: float = -math.inf
    era: int | None = None
    counts_from: float = -math.inf
    proven_revision: int = 0


@dataclasses.dataclass(slots=True)
class NewestRoutes:
    """The newest routes that another entry is known to have.

    Attributes:
        version: Their version; 0 if none are known.
        at: Position at which they were written; 0 if that is not known.
        entry: The entry that told.
        awaited_until: Time before which nobody else is asked for them.
        asked_entry: The entry that was asked for them last.
        reads_store: Whether the store is asked for them next, or an entry.
    """

    version: int = 0
    at: int = 0
    entry: str = ""
    awaited_until: float = -math.inf
    asked_entry: str = ""
    reads_store: bool = True


@dataclasses.dataclass(slots=True)
class FeedState:
    """State of the feed.

    Attributes:
        enabled: Whether this entry follows routes and registrations.
        is_reader: Whether it is the reader of its failure domain.
        announced: Whether it has said so since it became the reader.
        topics: State of each topic.
        topic_of: Topic of each pending request, by request number.
        last_request: Number of the latest request.
        synced_at: Latest time at which the data here was known to be current.
        reader: Neighbour that sent the latest heartbeat.
        reachable: Whether the store answered the latest read or watch.
        store_heard_at: Latest time at which the store was known to answer.
        answered_at: Time of the latest answer of the store to this entry.
        failed_at: Time at which the store was last known not to answer.
        returned_after: Earliest time at which the store can have come back from
            its latest outage.
        return_request: Number of the pending request that shows whether the
            store is back; 0 if there is none.
        return_asked_at: Time at which that was sent.
        removal_grace_until: Time until which removals are deferred, since the
            store was away.
        deferred_removals: Deferred removals, by target.
        check_request: Number of the pending check; 0 if there is none.
        check_at: Time before which no further check is sent.
        checked_at: Time at which the latest check was sent.
        store_unresponsive: Whether the store did not answer this reader's last
            check.
        resigned_reader: Neighbour that last announced that it stops being the
            reader.
        proven_at: Latest time as of which the routes in force here were shown
            to be the newest ones of the store.
        confirmed_at: Latest time as of which other entries took these for the
            newest ones.
        proof: How proof is had.
        newest: The newest routes that another entry is known to have.
        whole_sent: Times at which this entry sent its routes as a whole.
        ignored_at: Position of the latest routes that were logged as ignored.
        asked_at: Time of the latest request for what a heartbeat announced.
        relayed_at: Revision up to which this reader has relayed all changes of
            registrations.
        differs_since: Time since which a reader's registrations have been
            other ones than those here; infinite if they are the same.
    """

    enabled: bool = False
    is_reader: bool = False
    announced: bool = False
    topics: dict[Topic, TopicState] = dataclasses.field(
        default_factory=lambda: {topic: TopicState() for topic in Topic}
    )
    topic_of: dict[int, Topic] = dataclasses.field(default_factory=dict)
    last_request: int = 0
    synced_at: float = -math.inf
    reader: str | None = None
    reachable: bool = True
    store_heard_at: float = -math.inf
    answered_at: float = -math.inf
    failed_at: float = -math.inf
    returned_after: float = -math.inf
    return_request: int = 0
    return_asked_at: float = -math.inf
    removal_grace_until: float = -math.inf
    deferred_removals: dict[str, DeferredRemoval] = dataclasses.field(
        default_factory=dict
    )
    check_request: int = 0
    check_at: float = -math.inf
    checked_at: float = -math.inf
    store_unresponsive: bool = False
    resigned_reader: str | None = None
    proven_at: float = -math.inf
    confirmed_at: float = -math.inf
    proof: ProofState = dataclasses.field(default_factory=ProofState)
    newest: NewestRoutes = dataclasses.field(default_factory=NewestRoutes)
    whole_sent: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    ignored_at: int = 0
    asked_at: float = -math.inf
    relayed_at: int = 0
    differs_since: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class FeedDue:
    """The feed's periodic work is due (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverDue:
    """The reader may have been silent for long enough (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalsDue:
    """Deferred removals are due (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartupDue:
    """A starting entry asks another for what it doesn't know (timer).

    Attributes:
        attempt: Number of the request, from 1.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResumeDue:
    """A topic is to be watched again after a watch returned changes (timer).

    Attributes:
        topic: The topic.
        request: Number of the watch that returned them.
    """

    topic: Topic
    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderResigned:
    """A neighbour announced that it stops being the reader (internal)."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsReadWanted:
    """This reader's registrations need to be read again (internal)."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnReadWanted:
    """A peer has newer routes that can't be adopted from it (internal)."""
