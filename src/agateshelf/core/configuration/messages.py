"""Peer messages that replicate and report configuration versions."""

from typing import ClassVar

from agateshelf.core.peers import models as peer_models


class VersionAnnouncement(peer_models.PeerMessage, frozen=True):
    """Announces the active version of the sender."""

    wire_name: ClassVar[str] = "Announce"

    version: int


class ContentRequest(peer_models.PeerMessage, frozen=True):
    """Requests one chunk of the changes since a version.

    Attributes:
        number: Request number, repeated in the answer.
        version: Active version of the requester; 0 requests all parts.
        digest: Digest of the manifest of that version.
        chunk: Zero-based index of the requested chunk.
    """

    wire_name: ClassVar[str] = "PullContent"

    number: int
    version: int
    digest: str
    chunk: int


class ContentChunk(peer_models.PeerMessage, frozen=True):
    """One chunk of the encoded changes between two versions.

    Attributes:
        number: Number of the request.
        version: Version that results from applying all chunks.
        digest: Digest of the manifest of that version.
        base_version: Version that the changes apply to; 0 if all parts are
            included.
        chunk: Zero-based index of this chunk.
        chunks: Number of chunks.
        data: Bytes of the compressed, encoded changes in this chunk.
    """

    number: int
    version: int
    digest: str
    base_version: int
    chunk: int
    chunks: int
    data: bytes


class VersionRequest(peer_models.PeerMessage, frozen=True):
    """Requests the active version of the receiver."""

    wire_name: ClassVar[str] = "AskVersion"

    operation: int


class VersionResponse(peer_models.PeerMessage, frozen=True):
    """Reports the active version of the sender."""

    wire_name: ClassVar[str] = "TellVersion"

    operation: int
    version: int
