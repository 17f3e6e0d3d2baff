"""Messages between entries about poisonous requests."""

import dataclasses

from agateshelf.core.peers import models as peer_models


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSeen(peer_models.PeerMessage):
    """A target was lost after a request was sent to it.

    Attributes:
        fingerprint: The request's fingerprint.
        crash: Name of the crash, the same in every copy of this message.
    """

    fingerprint: bytes
    crash: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectCleared(peer_models.PeerMessage):
    """A suspected request was answered after all.

    Attributes:
        fingerprint: The request's fingerprint.
    """

    fingerprint: bytes
