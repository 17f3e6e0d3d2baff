"""Results of patches and queries as returned to operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The patch was accepted, which is final.

    Attributes:
        version: Version that the patch created.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The same patch was accepted before and is not applied again.

    Attributes:
        version: Version that the patch created.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The base version of the patch is outdated; it will never be applied.

    Attributes:
        current_version: Latest version in the store.
    """

    current_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The patch was not accepted and never will be by this submission.

    Attributes:
        detail: Reason, as a sentence.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The outcome of the patch can't be determined yet; look it up later.

    Attributes:
        patch_id: Identifier to look up.
    """

    patch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """No entry has started to write a patch with this identifier so far.

    Attributes:
        patch_id: The identifier.
    """

    patch_id: str


PatchResult = (
    Accepted
    | AlreadyAccepted
    | VersionConflict
    | Refused
    | OutcomeUnknown
    | NotFound
)


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRecord:
    """Stored record of a change, written before its patch is accepted.

    Attributes:
        version: Version that the patch creates if it is accepted.
        patch_id: Identifier of the patch.
        previous_patch_id: Identifier of the patch that created the previous
            version; empty if there is none.
        author: Team and token name of the operator.
        reason: Reason given by the operator.
        at: Time of the request, in Unix seconds.
    """

    version: int
    patch_id: str
    previous_patch_id: str
    author: str
    reason: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVersion:
    """Active version of an entry."""

    entry: str
    version: int
