"""What is read from the platform's store, and how far the reading has got."""

import dataclasses
import enum
import math

from agateshelf.core.directory import models as directory_models
from agateshelf.core.routes import models as route_models


class Topic(enum.Enum):
    """A part of the store that is followed."""

    ROUTES = "routes"
    TARGETS = "targets"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All that a topic holds.

    Attributes:
        revision: Revision of the store that it is right for.
        table: The routes, if the topic holds any that can be read.
        targets: The registrations, with those that can't be read.
    """

    revision: int
    table: route_models.RouteTable | None = None
    targets: tuple[directory_models.Item, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a topic since a revision."""

    revision: int
    table: route_models.RouteTable | None = None
    targets: tuple[directory_models.Item, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer knows what changed since; read everything anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer, or refused to."""

    reason: str


FeedAnswer = Snapshot | Changes | HistoryGone | Unavailable


class Phase(enum.Enum):
    """What is done about a topic."""

    IDLE = "idle"
    READING = "reading"
    WATCHING = "watching"


@dataclasses.dataclass(slots=True)
class TopicState:
    """How far the reading of a topic has got.

    Attributes:
        phase: What is done about it.
        request: Number of the question under way.
        revision: Revision up to which it was read.
        failures: Failed questions in a row.
        retry_at: Time before which no further question is asked.
    """

    phase: Phase = Phase.IDLE
    request: int = 0
    revision: int = 0
    failures: int = 0
    retry_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAbsence:
    """A removal that may be no more than a lapse.

    Attributes:
        absence: The removal.
        until: Time at which it is believed.
    """

    absence: directory_models.Absence
    until: float


@dataclasses.dataclass(slots=True)
class FeedState:
    """All that is known of the feed.

    Attributes:
        enabled: Whether this entry follows the store at all.
        reading: Whether it is the reader of its failure domain.
        topics: State of each topic.
        topic_of: Topic of each question under way, by its number.
        last_request: Number of the latest question.
        current_at: Time up to which what is known here is right.
        reader: Entry that was last heard to read for this failure domain.
        reachable: Whether the last question to the store was answered.
        interrupted_until: Time until which removals may be lapses.
        held: Removals held back, by target.
        check_request: Number of the check under way; 0 if there is none.
        check_at: Time before which no further check is made.
        deaf: Whether this reader's last check was not answered.
        left: Neighbour that last said it reads no longer.
    """

    enabled: bool = False
    reading: bool = False
    topics: dict[Topic, TopicState] = dataclasses.field(
        default_factory=lambda: {topic: TopicState() for topic in Topic}
    )
    topic_of: dict[int, Topic] = dataclasses.field(default_factory=dict)
    last_request: int = 0
    current_at: float = -math.inf
    reader: str | None = None
    reachable: bool = True
    interrupted_until: float = -math.inf
    held: dict[str, HeldAbsence] = dataclasses.field(default_factory=dict)
    check_request: int = 0
    check_at: float = -math.inf
    deaf: bool = False
    left: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FeedDue:
    """Time to look after the feed (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RestOver:
    """A topic that told of changes is to be watched again (timer).

    Attributes:
        topic: The topic.
        request: Number of the watch that told of them.
    """

    topic: Topic
    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderLeft:
    """The failure domain's reader reads no longer (internal)."""
