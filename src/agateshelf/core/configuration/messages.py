"""Messages by which a configuration spreads between entries."""

import dataclasses

from agateshelf.core.peers import models as peer_models


@dataclasses.dataclass(frozen=True, slots=True)
class Announce(peer_models.PeerMessage):
    """Says that the sender has a version in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PullContent(peer_models.PeerMessage):
    """Asks for what has changed since a version.

    Attributes:
        number: Number that the answer carries.
        version: Version that the asker holds; 0 for none.
        digest: Digest of that version's manifest.
        chunk: Which chunk of the answer is wanted, from 0.
    """

    number: int
    version: int
    digest: str
    chunk: int


@dataclasses.dataclass(frozen=True, slots=True)
class ContentChunk(peer_models.PeerMessage):
    """One chunk of what has changed up to a version.

    Attributes:
        number: Number of the question.
        version: Version that the whole answer leads to.
        digest: Digest of that version's manifest.
        base_version: Version that the changes start from; 0 for all parts.
        chunk: Which chunk this is, from 0.
        chunks: How many there are.
        data: The chunk of the encoded changes.
    """

    number: int
    version: int
    digest: str
    base_version: int
    chunk: int
    chunks: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AskVersion(peer_models.PeerMessage):
    """Asks which version the receiver has in force."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class TellVersion(peer_models.PeerMessage):
    """Answers which version the sender has in force."""

    operation: int
    version: int
