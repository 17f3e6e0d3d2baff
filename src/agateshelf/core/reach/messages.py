"""Messages between entries about what they reach."""

from agateshelf.core.peers import models as peer_models


class ReachReport(peer_models.PeerMessage, frozen=True):
    """Says from which services' targets the sender is cut off now.

    Attributes:
        cut_services: Names of the services; empty for none.
    """

    cut_services: tuple[str, ...] = ()
