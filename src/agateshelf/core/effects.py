"""Effects: what the reducer asks the daemon to do, as data."""

from typing import TYPE_CHECKING

import msgspec

from agateshelf.core import storage
from agateshelf.core.feed import models as feed_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import models as route_models

# Imported for types only: an entry that follows routes doesn't load the modules
# that only services need.
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
        timeout: Seconds after which the attempt is abandoned.
        fresh: Whether the connection must be new, or verified to be alive just
            before use.
        no_retry: Whether downstream hops must not retry.
        not_after: Time after which no byte of the request may be sent.
        relay: `HOST:PORT` of the entry that sends it on to the target; empty
            to send it from here.
        workspace: Name of the workspace that the target is told in place of the
            caller's key; empty to tell it none, None to pass the caller's
            headers on as they are.
        told_less: Seconds by which the target is told a shorter timeout.
    """

    call: int
    attempt: int
    target: str
    address: str
    timeout: float
    fresh: bool
    no_retry: bool
    not_after: float = float("inf")
    relay: str = ""
    workspace: str | None = None
    told_less: float = 0.0


class CancelAttempt(msgspec.Struct, frozen=True):
    """Abandon an attempt and close its connection."""

    attempt: int


class AbortUnsentAttempts(msgspec.Struct, frozen=True):
    """Abandon the attempts of a target of which no byte was sent yet."""

    target: str


class CheckTarget(msgspec.Struct, frozen=True):
    """Check whether a target still accepts connections.

    `TargetRefused` follows if it doesn't.
    """

    target: str
    address: str


class DeliverAnswer(msgspec.Struct, frozen=True):
    """Send an attempt's answer to the caller."""

    call: int
    attempt: int


class Replay(msgspec.Struct, frozen=True):
    """Send the caller the recorded answer to an earlier copy of its request."""

    call: int
    answer: outcome_models.RecordedAnswer


class Refuse(msgspec.Struct, frozen=True):
    """Send the caller a refusal in place of a target's answer."""

    call: int
    refusal: outcome_models.Refusal


class Count(msgspec.Struct, frozen=True):
    """Increase a counter of the metrics."""

    name: str
    amount: int = 1


class SetGauge(msgspec.Struct, frozen=True):
    """Set a gauge of the metrics."""

    name: str
    value: float


class LogWarning(msgspec.Struct, frozen=True):
    """Log a warning for the operators."""

    text: str


class BecomeUnready(msgspec.Struct, frozen=True):
    """Report "not ready" to readiness checks and accept no new connections."""


class Exit(msgspec.Struct, frozen=True):
    """End the process: no call and no claim is pending any more."""


class SendStoreRequest(msgspec.Struct, frozen=True):
    """Send a request to the platform's store.

    Attributes:
        request: Number that its answer carries.
        body: The request.
        timeout: Seconds after which it counts as unanswered.
    """

    request: int
    body: storage.StoreRequest
    timeout: float


class SendToPeers(msgspec.Struct, frozen=True):
    """Send a message to other entries; delivery is not confirmed.

    Attributes:
        peers: Identifiers of the entries.
        message: The message.
    """

    peers: tuple[str, ...]
    message: peer_models.PeerMessage


class AddPeer(msgspec.Struct, frozen=True):
    """Set the address of another entry, for later messages to it."""

    peer: str
    address: str


class DisconnectPeer(msgspec.Struct, frozen=True):
    """Close the connection to another entry, but keep its address."""

    peer: str


class CheckConfiguration(msgspec.Struct, frozen=True):
    """Validate a configuration's content.

    `ConfigurationRead` or `ConfigurationInvalid` follows.

    Attributes:
        version: Version of the configuration.
        parts: All parts of its content.
    """

    version: int
    parts: "tuple[content.Part, ...]"


class AnswerPatch(msgspec.Struct, frozen=True):
    """Answer an operator with the result of a patch."""

    operation: int
    result: "results.PatchResult"


class AnswerHistory(msgspec.Struct, frozen=True):
    """Answer an operator with the latest changes of the configuration.

    Attributes:
        operation: Number of the operator's request.
        records: The changes; None if the store is unavailable.
    """

    operation: int
    records: "tuple[results.HistoryRecord, ...] | None"


class AnswerSurvey(msgspec.Struct, frozen=True):
    """Answer an operator with the configuration version of each entry.

    Attributes:
        operation: Number of the operator's request.
        versions: Versions of the entries that answered.
        silent: Entries believed to be live that did not answer.
    """

    operation: int
    versions: "tuple[results.EntryVersion, ...]"
    silent: tuple[str, ...]


class ReadFeed(msgspec.Struct, frozen=True):
    """Read a topic of the platform's store; `FeedAnswered` follows.

    Attributes:
        request: Number that its answer carries.
        topic: Topic to read.
        stale: Whether the answer may be some seconds old, which costs less.
        timeout: Seconds after which it counts as unanswered.
    """

    request: int
    topic: feed_models.Topic
    stale: bool
    timeout: float


class WatchFeed(msgspec.Struct, frozen=True):
    """Wait for changes of a topic; `FeedAnswered` follows.

    Attributes:
        request: Number that its answer carries.
        topic: Topic to watch.
        after: Revision after which changes are reported.
        wait: Seconds after which the store answers that there were none.
    """

    request: int
    topic: feed_models.Topic
    after: int
    wait: float


class StopFeed(msgspec.Struct, frozen=True):
    """Cancel the pending watches of the feed."""


class AdoptLimits(msgspec.Struct, frozen=True):
    """Apply these limits to callers from their next request on."""

    limits: route_models.Limits


class ProbeTarget(msgspec.Struct, frozen=True):
    """Probe a target for its load; `TargetProbed` follows.

    Attributes:
        service: Service of the target.
        target: Identifier of the target.
        address: `HOST:PORT` of the target.
        path: Path of its health check.
        timeout: Seconds after which it counts as unanswered.
        fresh: Whether to open a connection for it, to see whether that works.
    """

    service: str
    target: str
    address: str
    path: str
    timeout: float
    fresh: bool = False


class CloseProbeConnections(msgspec.Struct, frozen=True):
    """Close the connections kept open for probes of these targets."""

    targets: tuple[str, ...]


class LogEvent(msgspec.Struct, frozen=True):
    """Log one decision, or one change of the entry's view of the system.

    Attributes:
        event: Stable name of the log event; docs/OPERATIONS.md lists them.
        request_id: Identifier of the request that it concerns, if any.
        details: Inputs of the decision, with their age or version, and its
            outcome.
    """

    event: str
    request_id: str = ""
    details: tuple[tuple[str, str | float | None], ...] = ()


Effect = (
    StartAttempt
    | CancelAttempt
    | AbortUnsentAttempts
    | CheckTarget
    | DeliverAnswer
    | Replay
    | Refuse
    | Count
    | SetGauge
    | LogWarning
    | BecomeUnready
    | Exit
    | SendStoreRequest
    | SendToPeers
    | AddPeer
    | DisconnectPeer
    | CheckConfiguration
    | AnswerPatch
    | AnswerHistory
    | AnswerSurvey
    | ReadFeed
    | WatchFeed
    | StopFeed
    | AdoptLimits
    | ProbeTarget
    | CloseProbeConnections
    | LogEvent
)
