"""Messages between entries about claims."""

from agateshelf.core.claims import models
from agateshelf.core.peers import models as peer_models


class RecordsProposed(peer_models.PeerMessage, frozen=True):
    """Proposes records to the owner of their shard, to be appended."""

    records: tuple[models.Record, ...]


class RecordsDecided(peer_models.PeerMessage, frozen=True):
    """An appender's decisions on records that the receiver proposed."""

    decisions: tuple[models.Decision, ...]
