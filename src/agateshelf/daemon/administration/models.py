"""JSON bodies of the administration API's replies."""

import msgspec


class Status(msgspec.Struct):
    """State of this entry.

    Attributes:
        entry: Identifier of the entry.
        failure_domain: Failure domain of the entry.
        ready: Whether its readiness check succeeds.
        version: Version of the active configuration.
        calls_in_flight: Number of calls in progress.
        counts: Counters since the start of the process, by name.
    """

    entry: str
    failure_domain: str
    ready: bool
    version: int
    calls_in_flight: int
    counts: dict[str, int]


class EntryStatus(msgspec.Struct):
    """Configuration version of one entry.

    Attributes:
        entry: Identifier of the entry.
        state: `heard`, or `silent` if the entry is believed to be live and did
            not answer.
        version: Version of its active configuration; None if it did not answer.
    """

    entry: str
    state: str
    version: int | None


class PatchStatus(msgspec.Struct, omit_defaults=True):
    """Result of a patch.

    Attributes:
        patch_id: Identifier of the patch.
        result: `accepted`, `version-moved`, `refused`, `not-found` or
            `not-known-yet`.
        version: Version that the patch created, or the current version if the
            result is `version-moved`; None otherwise.
        detail: Reason of the result, or how to look it up later.
    """

    patch_id: str
    result: str
    version: int | None = None
    detail: str = ""


class Change(msgspec.Struct):
    """An accepted change of the configuration.

    Attributes:
        version: Version that the change created.
        patch_id: Identifier of the patch.
        author: Team and name of the token that submitted it, as `TEAM/TOKEN`.
        reason: Reason given by the operator.
        time: Time of the request, in Unix seconds.
    """

    version: int
    patch_id: str
    author: str
    reason: str
    time: float


class ErrorBody(msgspec.Struct):
    """Body of an error reply.

    Attributes:
        error: Reason why the request failed.
    """

    error: str
