"""Messages between entries about poisonous requests."""

from agateshelf.core.peers import models as peer_models


class CrashSeen(peer_models.PeerMessage, frozen=True):
    """A target crashed after a request was sent to it.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash: Identifier of the crash, so that copies of this message are
            counted once.
    """

    fingerprint: bytes
    crash: str


class SuspectCleared(peer_models.PeerMessage, frozen=True):
    """A suspect got a response after all.

    Attributes:
        fingerprint: Fingerprint of the request.
    """

    fingerprint: bytes
