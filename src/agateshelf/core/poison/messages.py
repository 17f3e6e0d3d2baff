"""Messages between entries about poisonous requests."""

import msgspec

from agateshelf.core.peers import models as peer_models


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash, as an entry knows it.

    Attributes:
        fingerprint: Fingerprint of the request.
        target: Identifier of the target that ended.
        born: Start of its process in Unix milliseconds, if known.
        nonce: `models.Process.nonce`.
        status: Value of `models.Status`.
        ttl: Seconds until the crash expires.
    """

    fingerprint: bytes
    target: str
    born: int | None
    nonce: str
    status: int
    ttl: float


class CrashReports(peer_models.PeerMessage, frozen=True):
    """Crashes that are new to the sender, or all that it knows.

    Attributes:
        reports: The crashes.
        complete: Whether these are all crashes that the sender knows, sent to
            an entry whose digest differs.
    """

    reports: tuple[CrashReport, ...]
    complete: bool = False
