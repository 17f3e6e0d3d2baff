"""Messages between entries about what targets say of themselves."""

from agateshelf.core.peers import models as peer_models
from agateshelf.core.target_notices import models


class TargetNotices(peer_models.PeerMessage, frozen=True):
    """Tells the owner of a service, or its successor, what targets said.

    Attributes:
        notices: What the targets said.
    """

    notices: tuple[models.Notice, ...]
