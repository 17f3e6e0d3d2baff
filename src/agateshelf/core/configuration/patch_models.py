"""Progress of operations on the store, and the configuration head."""

import dataclasses
import enum

from agateshelf.core.configuration import content


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedPatch:
    """A patch that was accepted as a version.

    Attributes:
        patch_id: Identifier chosen by the operator or the entry.
        version: Version that the patch created.
    """

    patch_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Stored record of the latest version; replaced by compare-and-swap.

    Attributes:
        version: Version number.
        digest: Digest of the manifest.
        manifest: Digest of each part by name.
        patches: Most recently accepted patches, the newest last.
    """

    version: int
    digest: str
    manifest: dict[str, str]
    patches: tuple[AcceptedPatch, ...]


class Step(enum.Enum):
    """Current step of an operation on the store."""

    READ_HEAD = "read-head"
    WRITE_PARTS = "write-parts"
    WRITE_HISTORY = "write-history"
    SWAP_HEAD = "swap-head"
    READ_BACK = "read-back"
    LOOK_UP = "look-up"
    SCAN_HISTORY = "scan-history"


@dataclasses.dataclass(slots=True)
class OperationRun:
    """Progress of one operation requested by an operator.

    Attributes:
        operation: Operation number, repeated in the answer.
        patch_id: Identifier of the patch; empty for a read of the history.
        base_version: Version that the patch applies to.
        parts: Parts of the new configuration; None if the base version is not
            active on this entry, so that the patch could not be applied.
        author: Team and token name of the operator.
        reason: Reason given by the operator.
        at: Time of the request, in Unix seconds.
        step: Current step.
        request: Number of the store request in flight, or None.
        failures: Consecutive attempts of a step without a usable answer.
        answered: Whether the operator was sent an answer.
        swap_unconfirmed: Whether a compare-and-swap of the head was sent whose
            outcome is unknown.
        head: Head that the new version is based on.
        head_key_version: Version of the head's key in the store, 0 if none.
        conflict_version: Version of the head's key that the compare-and-swap
            conflicted with.
        unwritten: Parts still to be written.
        proposed: Content of the new version.
        limit: Maximum number of history records to return.
        reads_history: Whether the operation reads the history instead of
            handling a patch.
        republishes: Whether the operation writes the active version over a
            lower head.
    """

    operation: int
    patch_id: str
    base_version: int
    parts: tuple[content.Part, ...] | None
    author: str
    reason: str
    at: float
    step: Step
    request: int | None = None
    failures: int = 0
    answered: bool = False
    swap_unconfirmed: bool = False
    head: Head | None = None
    head_key_version: int = 0
    conflict_version: int = 0
    unwritten: list[content.Part] = dataclasses.field(default_factory=list)
    proposed: content.Content | None = None
    limit: int = 0
    reads_history: bool = False
    republishes: bool = False
