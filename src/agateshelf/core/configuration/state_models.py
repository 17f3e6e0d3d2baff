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
        full: Whether all parts are requested instead of the changed ones.
        key: Version, base version and digest that all chunks must share; None
            before the first chunk.
        chunks: Data of the chunks received so far.
    """

    version: int
    serial: int = 0
    peer: str = ""
    full: bool = False
    key: tuple[int, int, str] | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class StoreRead:
    """A read of a version from the store.

    Attributes:
        head: Head of the version.
        parts: Parts known so far, by name.
        unrequested: Names of the parts still to be requested.
        requested: Names of the parts in flight, by request number.
    """

    head: patch_models.Head
    parts: dict[str, content.Part]
    unrequested: list[str]
    requested: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ConfigurationState:
    """State of configuration on this entry.

    Attributes:
        active: Content of the active version; None before the first.
        validating: Contents being validated outside the core, by version.
        recent: Recently active contents by version, to compute the changes
            that peers request.
        peer_versions: Last reported version of each peer.
        pull: Download from peers in progress, or None.
        store_read: Read of a version from the store in progress, or None.
        aborted_read: Last aborted read, whose parts are reused.
        invalid_until: Times at which versions that failed validation may be
            retried, in seconds, by version.
        encoded_changes: Changes most recently encoded for peers.
        serve_window_start: Start of the one-second window in which served
            chunks are counted, in seconds.
        chunks_served: Chunks served in that window.
        pull_serial: Number of the last content request to a peer.
        head_timer_serial: Number of the valid store timer; others are outdated.
        head_request: Number of the read or watch of the head in flight, or
            None.
        skipped_cold_read: Whether the last check without an active version
            did not read the head.
        head_failures: Consecutive failed reads and watches of the head.
        watched_key_version: Version of the head's key that the watch started
            from.
        replaced_key_version: Version of the head's key that a watch reported as
            replaced; None once a newer one was read.
        has_store: Whether this entry may use the configuration store.
        lower_store_version: Version of the store's head while it is below the
            active version; None otherwise.
        runs: Operations in progress, by operation number.
        run_requests: Operation number of each store request in flight.
        surveys: Surveys in progress, by operation number.
    """

    active: content.Content | None = None
    validating: dict[int, content.Content] = dataclasses.field(
        default_factory=dict
    )
    recent: dict[int, content.Content] = dataclasses.field(default_factory=dict)
    peer_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    pull: Pull | None = None
    store_read: StoreRead | None = None
    aborted_read: StoreRead | None = None
    invalid_until: dict[int, float] = dataclasses.field(default_factory=dict)
    encoded_changes: "EncodedChanges | None" = None
    serve_window_start: float = 0.0
    chunks_served: int = 0
    pull_serial: int = 0
    head_timer_serial: int = 0
    skipped_cold_read: bool = False
    head_request: int | None = None
    head_failures: int = 0
    watched_key_version: int = 0
    replaced_key_version: int | None = None
    has_store: bool = False
    lower_store_version: int | None = None
    runs: dict[int, patch_models.OperationRun] = dataclasses.field(
        default_factory=dict
    )
    run_requests: dict[int, int] = dataclasses.field(default_factory=dict)
    surveys: dict[int, "Survey"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Survey:
    """Collection of the active versions of all live entries.

    Attributes:
        pending: Entries still to be asked.
        versions: Reported versions, by entry.
        asked: Entries that were asked.
        deadline: Time at which the survey ends at the latest, in seconds.
    """

    pending: list[str]
    versions: dict[str, int]
    asked: set[str]
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedChanges:
    """Cached encoding of the changes between two versions.

    Attributes:
        key: Base version, 0 for none, and resulting version.
        data: Compressed, encoded changes.
    """

    key: tuple[int, int]
    data: bytes
