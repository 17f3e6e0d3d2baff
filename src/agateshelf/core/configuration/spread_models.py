"""State of how configuration comes to this entry and leaves it."""

import dataclasses

from agateshelf.core.configuration import content
from agateshelf.core.configuration import patch_models


@dataclasses.dataclass(slots=True)
class Pull:
    """Content that is being fetched from peers, chunk by chunk.

    Attributes:
        version: Version that a peer must have to be asked.
        serial: Number of the request in flight.
        peer: The entry that was asked last.
        whole: Whether all parts are asked for, not only those changed.
        key: What the chunks must agree on; None before the first one.
        chunks: The chunks so far.
    """

    version: int
    serial: int = 0
    peer: str = ""
    whole: bool = False
    key: tuple[int, int, str] | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StoreRead:
    """A version that is being read from the store.

    Attributes:
        head: The head it is read by.
        parts: Parts held so far, by name.
        missing: Names of parts still to be asked for.
        asked: Name of the part behind each request in flight.
    """

    head: patch_models.Head
    parts: dict[str, content.Part]
    missing: list[str]
    asked: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ConfigurationState:
    """State of versions, of patches under way and of their spread.

    Attributes:
        in_force: The version in force as bytes; None before the first.
        checking: Contents that the border is checking, by version.
        manifests: Manifests of the latest versions, for passing on changes.
        heard: Highest version that each peer was heard of with.
        pull: What is being fetched from a peer.
        store_read: What is being read from the store.
        broken_read: What a reading that broke off had got.
        invalid: Times at which refused versions may be tried again.
        encoded: The latest changes that were passed on.
        serving_since: Time of the second in which chunks are counted.
        served: Chunks passed on in that second.
        serial: Number of the latest question to a peer.
        follow_serial: Number of the only store timer that counts.
        follow_request: The head's read or watch in flight, or None.
        waited_cold: Whether a turn passed without any configuration.
        follow_failures: Answers in a row that the store owes.
        watched_after: Version of the head's key that the watch began from.
        newer_than: Version of the head's key that a watch saw replaced; None
            if the next read need not be newer.
        has_store: Whether the store may be asked.
        store_lower: Version of the store's head while it is below the one
            in force; None otherwise.
        patches: Patches under way by operation.
        requests: Operation that each store request of a patch belongs to.
        surveys: Surveys under way by operation.
    """

    in_force: content.Content | None = None
    checking: dict[int, content.Content] = dataclasses.field(
        default_factory=dict
    )
    manifests: dict[int, content.Content] = dataclasses.field(
        default_factory=dict
    )
    heard: dict[str, int] = dataclasses.field(default_factory=dict)
    pull: Pull | None = None
    store_read: StoreRead | None = None
    broken_read: StoreRead | None = None
    invalid: dict[int, float] = dataclasses.field(default_factory=dict)
    encoded: "EncodedChanges | None" = None
    serving_since: float = 0.0
    served: int = 0
    serial: int = 0
    follow_serial: int = 0
    waited_cold: bool = False
    follow_request: int | None = None
    follow_failures: int = 0
    watched_after: int = 0
    newer_than: int | None = None
    has_store: bool = False
    store_lower: int | None = None
    patches: dict[int, patch_models.PatchRun] = dataclasses.field(
        default_factory=dict
    )
    requests: dict[int, int] = dataclasses.field(default_factory=dict)
    surveys: dict[int, "Survey"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Survey:
    """A question to all entries for their version.

    Attributes:
        unasked: Entries still to be asked.
        heard: Versions heard, by entry.
        asked: Entries that were asked.
        ends: Time at which the answer is given, in seconds.
    """

    unasked: list[str]
    heard: dict[str, int]
    asked: set[str]
    ends: float


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedChanges:
    """Changes between two versions as they are passed on.

    Attributes:
        key: The two versions.
        data: The encoded changes.
    """

    key: tuple[int, int]
    data: bytes
