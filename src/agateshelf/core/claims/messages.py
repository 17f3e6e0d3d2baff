"""Messages between entries about claims."""

import dataclasses

from agateshelf.core.claims import models
from agateshelf.core.peers import models as peer_models


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsProposed(peer_models.PeerMessage):
    """Records that the receiver is asked to append.

    Attributes:
        records: The records.
    """

    records: tuple[models.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsDecided(peer_models.PeerMessage):
    """An appender's words on records that the receiver proposed.

    Attributes:
        decisions: The words.
    """

    decisions: tuple[models.Decision, ...]
