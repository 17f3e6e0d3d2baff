"""State of configuration versions, their replication and operations."""

import dataclasses

from agateshelf.core.configuration import content
from agateshelf.core.configuration import patch_models


@dataclasses.dataclass(slots=True)
class Pull:
    """A download of newer content from peers, chunk by chunk.

    Attributes:
        version: Minimum version to download.
        serial: Number of the request in flight.
        peer: Entry that was asked last.
        whole: Whether all parts are requested instead of the changed ones.
        key: Version, base version and digest that all chunks must share; None
            before the first chunk.
        chunks: Data of the chunks received so far.
    """

    version: int
    serial: int = 0
    peer: str = ""
    whole: bool = False
    key: tuple[int, int, str] | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StoreRead:
    """A read of a version from the store.

    Attributes:
        head: Head of the version.
        parts: Parts known so far, by name.
        missing: Names of the parts still to be requested.
        asked: Names of the parts in flight, by request number.
    """

    head: patch_models.Head
    parts: dict[str, content.Part]
    missing: list[str]
    asked: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ConfigurationState:
    """State of configuration on this entry.

    Attributes:
        active: Content of the active version; None before the first.
        validating: Contents being validated outside the core, by version.
        manifests: Recently active contents by version, to compute the changes
            that peers request.
        heard: Last reported version of each peer.
        pull: Download from peers in progress, or None.
        store_read: Read of a version from the store in progress, or None.
        broken_read: Last aborted read, whose parts are reused.
        invalid: Times at which versions that failed validation may be
            retried, in seconds, by version.
        encoded: Changes most recently encoded for peers.
        serving_since: Start of the one-second window in which served chunks
            are counted, in seconds.
        served: Chunks served in that window.
        serial: Number of the last content request to a peer.
        follow_serial: Number of the valid store timer; others are outdated.
        follow_request: Number of the read or watch of the head in flight, or
            None.
        waited_cold: Whether a check without an active version was skipped.
        follow_failures: Consecutive failed reads and watches of the head.
        watched_after: Version of the head's key that the watch started from.
        newer_than: Version of the head's key that a watch reported as
            replaced; None once a newer one was read.
        has_store: Whether this entry may use the configuration store.
        store_lower: Version of the store's head while it is below the active
            version; None otherwise.
        patches: Operations in progress, by operation number.
        requests: Operation number of each store request in flight.
        surveys: Surveys in progress, by operation number.
    """

    active: content.Content | None = None
    validating: dict[int, content.Content] = dataclasses.field(
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
    """Collection of the active versions of all live entries.

    Attributes:
        unasked: Entries still to be asked.
        heard: Reported versions, by entry.
        asked: Entries that were asked.
        ends: Time at which the survey ends at the latest, in seconds.
    """

    unasked: list[str]
    heard: dict[str, int]
    asked: set[str]
    ends: float


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedChanges:
    """Cached encoding of the changes between two versions.

    Attributes:
        key: Base version, 0 for none, and resulting version.
        data: Compressed, encoded changes.
    """

    key: tuple[int, int]
    data: bytes
