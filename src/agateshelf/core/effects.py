"""Effects: all that an entry may be told to do, as data."""

from typing import TYPE_CHECKING

import msgspec

from agateshelf.core import storage
from agateshelf.core.feed import models as feed_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import models as route_models

# An entry that follows routes never loads what only services need.
if TYPE_CHECKING:
    from agateshelf.core.configuration import content
    from agateshelf.core.configuration import results


class StartAttempt(msgspec.Struct, frozen=True):
    """Send a call's request to a target.

    Attributes:
        call: Number of the call.
        attempt: Number of the attempt, unique within the entry's life.
        target: Identifier of the target.
        address: `HOST:PORT` of the target.
        timeout: Seconds until the attempt is given up.
        fresh: Whether a connection must be new or proven alive just now.
        no_retry: Whether the hops below must not retry.
        not_after: Time after which nothing may be sent any more.
    """

    call: int
    attempt: int
    target: str
    address: str
    timeout: float
    fresh: bool
    no_retry: bool
    not_after: float = float("inf")


class CancelAttempt(msgspec.Struct, frozen=True):
    """Give an attempt up and close its connection."""

    attempt: int


class CheckTarget(msgspec.Struct, frozen=True):
    """Look whether a target still takes connections."""

    target: str
    address: str


class DeliverAnswer(msgspec.Struct, frozen=True):
    """Pass an attempt's answer to the caller."""

    call: int
    attempt: int


class Replay(msgspec.Struct, frozen=True):
    """Give the caller the recorded answer of an earlier copy."""

    call: int
    answer: outcome_models.RecordedAnswer


class Refuse(msgspec.Struct, frozen=True):
    """Give the caller a final word in place of a target's answer."""

    call: int
    refusal: outcome_models.Refusal


class Count(msgspec.Struct, frozen=True):
    """Add to a counter of the metrics."""

    name: str
    amount: int = 1


class Warn(msgspec.Struct, frozen=True):
    """Tell the operators something by the log."""

    sentence: str


class BecomeUnready(msgspec.Struct, frozen=True):
    """Answer readiness checks with "not ready" and take no new connection."""


class Exit(msgspec.Struct, frozen=True):
    """End the process: nothing is owed to anyone any more."""


class AskStore(msgspec.Struct, frozen=True):
    """Send a request to the platform's store.

    Attributes:
        request: Number that its answer will carry.
        body: The request.
        timeout: Seconds after which it counts as unanswered.
    """

    request: int
    body: storage.StoreRequest
    timeout: float


class SendToPeers(msgspec.Struct, frozen=True):
    """Send a message to other entries; nobody learns whether it arrived.

    Attributes:
        peers: Identifiers of the entries.
        message: The message.
    """

    peers: tuple[str, ...]
    message: peer_models.PeerMessage


class KnowPeer(msgspec.Struct, frozen=True):
    """Note where another entry is reached, for messages to come."""

    peer: str
    address: str


class ForgetPeer(msgspec.Struct, frozen=True):
    """Close what is open towards an entry; its address stays known."""

    peer: str


class CheckConfiguration(msgspec.Struct, frozen=True):
    """Check a content; `ConfigurationRead` or `ConfigurationInvalid` follows.

    Attributes:
        version: Number of its version.
        parts: The content whole.
    """

    version: int
    parts: "tuple[content.Part, ...]"


class AnswerPatch(msgspec.Struct, frozen=True):
    """Tell an operator what became of a patch."""

    operation: int
    result: "results.PatchResult"


class AnswerHistory(msgspec.Struct, frozen=True):
    """Tell an operator the latest changes; None if the store is away."""

    operation: int
    records: "tuple[results.HistoryRecord, ...] | None"


class AnswerSurvey(msgspec.Struct, frozen=True):
    """Tell an operator which entry has which version in force.

    Attributes:
        operation: Number of the question.
        heard: Versions of the entries that answered, by entry.
        silent: Entries thought to be live that did not answer.
    """

    operation: int
    heard: "tuple[results.EntryVersion, ...]"
    silent: tuple[str, ...]


class ReadFeed(msgspec.Struct, frozen=True):
    """Read a topic of the platform's store; `FeedAnswered` follows.

    Attributes:
        request: Number that its answer will carry.
        topic: What to read.
        stale: Whether an answer may be some seconds old, which costs less.
        timeout: Seconds after which it counts as unanswered.
    """

    request: int
    topic: feed_models.Topic
    stale: bool
    timeout: float


class WatchFeed(msgspec.Struct, frozen=True):
    """Wait for changes of a topic; `FeedAnswered` follows.

    Attributes:
        request: Number that its answer will carry.
        topic: What to watch.
        after: Revision after which changes count.
        wait: Seconds after which the store answers that there were none.
    """

    request: int
    topic: feed_models.Topic
    after: int
    wait: float


class StopFeed(msgspec.Struct, frozen=True):
    """Give up the watches that are waiting."""


class AdoptLimits(msgspec.Struct, frozen=True):
    """Hold callers to these limits from their next request on."""

    limits: route_models.Limits


class ProbeTarget(msgspec.Struct, frozen=True):
    """Ask a target for its load; `TargetProbed` follows.

    Attributes:
        service: Service of the target.
        target: Identifier of the target.
        address: `HOST:PORT` of the target.
        path: Path of its health check.
        timeout: Seconds after which it counts as unanswered.
    """

    service: str
    target: str
    address: str
    path: str
    timeout: float


class EndProbes(msgspec.Struct, frozen=True):
    """Close what is kept open for the probes of these targets.

    Attributes:
        targets: Identifiers of the targets.
    """

    targets: tuple[str, ...]


class Note(msgspec.Struct, frozen=True):
    """Log one decision, or one change of what is believed.

    Attributes:
        event: Stable name of what happened; docs/OPERATIONS.md lists them.
        request_id: Identifier of the request that it touches, if it does.
        details: What decided it, with its age or version, and the outcome.
    """

    event: str
    request_id: str = ""
    details: tuple[tuple[str, str | float | None], ...] = ()


Effect = (
    StartAttempt
    | CancelAttempt
    | CheckTarget
    | DeliverAnswer
    | Replay
    | Refuse
    | Count
    | Warn
    | BecomeUnready
    | Exit
    | AskStore
    | SendToPeers
    | KnowPeer
    | ForgetPeer
    | CheckConfiguration
    | AnswerPatch
    | AnswerHistory
    | AnswerSurvey
    | ReadFeed
    | WatchFeed
    | StopFeed
    | AdoptLimits
    | ProbeTarget
    | EndProbes
    | Note
)
