"""A patch on its way into the store, and what the store keeps of it."""

import dataclasses
import enum

from agateshelf.core.configuration import content


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedPatch:
    """A patch that made a version.

    Attributes:
        patch_id: The patch's own identifier.
        version: The version it made.
    """

    patch_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The one record that says which version is the latest.

    Attributes:
        version: Number of the version.
        digest: Digest over the manifest.
        manifest: Digest of each part by name.
        patches: The latest accepted patches, the newest last.
    """

    version: int
    digest: str
    manifest: dict[str, str]
    patches: tuple[AcceptedPatch, ...]


class Step(enum.Enum):
    """What a patch waits for."""

    READ_HEAD = "read-head"
    WRITE_PARTS = "write-parts"
    WRITE_HISTORY = "write-history"
    SWAP_HEAD = "swap-head"
    READ_BACK = "read-back"
    LOOK_UP = "look-up"
    SCAN_HISTORY = "scan-history"


@dataclasses.dataclass(slots=True)
class PatchRun:
    """One operator's question that needs the store.

    Attributes:
        operation: Number that the answer carries.
        patch_id: Identifier of the patch; empty for history.
        base_version: Version that the patch was written for.
        parts: The new configuration; None if it could not be made here.
        author: Who asks.
        reason: Why.
        at: When, in Unix seconds.
        step: What it waits for.
        request: The store request in flight, or None.
        failures: Unanswered tries in a row.
        answered: Whether the operator has had an answer.
        may_be_swapped: Whether a swap of the head was sent and its end is
            not known.
        head: The head it builds on.
        head_key_version: Version of the head's key in the store, 0 if none.
        conflict_version: Version of the head's key that beat the swap.
        unwritten: Parts still to be written.
        proposed: The content that it would put in force.
        limit: The most history records to return.
        reads_history: Whether the history is asked for, not a patch.
        republishes: Whether it writes what is in force over a lower head.
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
    may_be_swapped: bool = False
    head: Head | None = None
    head_key_version: int = 0
    conflict_version: int = 0
    unwritten: list[content.Part] = dataclasses.field(default_factory=list)
    proposed: content.Content | None = None
    limit: int = 0
    reads_history: bool = False
    republishes: bool = False
