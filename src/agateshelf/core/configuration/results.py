"""What operators are told of patches, history and entries."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The patch is accepted and stays.

    Attributes:
        version: The version it made.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The same patch was accepted before and is not applied again."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionMoved:
    """The patch was written for another version; it was not and won't be."""

    present: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The patch was not accepted and nothing of it will be."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnownYet:
    """The store left open what became of the patch; ask for it later."""

    patch_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """No entry has begun to write a patch of this identifier so far."""

    patch_id: str


PatchResult = (
    Accepted | AlreadyAccepted | VersionMoved | Refused | NotKnownYet | NotFound
)


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRecord:
    """One accepted change.

    Attributes:
        version: The version it made.
        patch_id: The patch's own identifier.
        previous_patch_id: The patch that made the version before.
        author: Who asked.
        reason: Why.
        at: When, in Unix seconds.
    """

    version: int
    patch_id: str
    previous_patch_id: str
    author: str
    reason: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVersion:
    """The version that an entry has in force."""

    entry: str
    version: int
