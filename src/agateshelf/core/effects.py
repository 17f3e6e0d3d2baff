"""Effects: all that an entry may be told to do, as data."""

import dataclasses

from agateshelf.core import storage
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.peers import models as peer_models


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a call's request to a target.

    Attributes:
        call: Number of the call.
        attempt: Number of the attempt, unique within the entry's life.
        target: Identifier of the target.
        address: `HOST:PORT` of the target.
        timeout: Seconds until the attempt is given up.
        fresh: Whether a connection must be new or proven alive just now.
        no_retry: Whether the hops below must not retry.
    """

    call: int
    attempt: int
    target: str
    address: str
    timeout: float
    fresh: bool
    no_retry: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give an attempt up and close its connection."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Pass an attempt's answer to the caller."""

    call: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Give the caller the recorded answer of an earlier copy."""

    call: int
    answer: outcome_models.RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a final word in place of a target's answer."""

    call: int
    refusal: outcome_models.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter of the metrics."""

    name: str
    amount: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class BecomeUnready:
    """Answer readiness checks with "not ready" and take no new connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """End the process: nothing is owed to anyone any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskStore:
    """Send a request to the platform's store.

    Attributes:
        request: Number that its answer will carry.
        body: The request.
        timeout: Seconds after which it counts as unanswered.
    """

    request: int
    body: storage.StoreRequest
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeers:
    """Send a message to other entries; nobody learns whether it arrived.

    Attributes:
        peers: Identifiers of the entries.
        message: The message.
    """

    peers: tuple[str, ...]
    message: peer_models.PeerMessage


Effect = (
    StartAttempt
    | CancelAttempt
    | DeliverAnswer
    | Replay
    | Refuse
    | Count
    | BecomeUnready
    | Exit
    | AskStore
    | SendToPeers
)
