"""Answers of the administration API."""

import msgspec


class Status(msgspec.Struct):
    """What an entry says of itself."""

    entry: str
    failure_domain: str
    ready: bool
    version: int
    calls_in_flight: int
    counts: dict[str, int]


class EntryStatus(msgspec.Struct):
    """What an entry says, or does not say, of its configuration.

    Attributes:
        state: `heard`, or `silent` if it should be there and did not answer.
        version: Version in force there; None if it was not heard.
    """

    entry: str
    state: str
    version: int | None


class PatchStatus(msgspec.Struct, omit_defaults=True):
    """What became of a patch.

    Attributes:
        patch_id: Identifier of the patch.
        result: `accepted`, `version-moved`, `refused`, `not-found` or
            `not-known-yet`.
        version: The version it became, or the present one.
        detail: What was wrong with it, or how to ask again.
    """

    patch_id: str
    result: str
    version: int | None = None
    detail: str = ""


class Change(msgspec.Struct):
    """One accepted change of the configuration."""

    version: int
    patch_id: str
    author: str
    reason: str
    time: float


class ErrorBody(msgspec.Struct):
    """Why a request was not carried out."""

    error: str
