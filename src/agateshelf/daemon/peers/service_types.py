"""Message types that only entries with configured services exchange.

They are registered at start rather than listed in the codec, so that an entry
that follows the platform's routes does not import them.
"""

from agateshelf.core.claims import messages as claim_messages
from agateshelf.core.configuration import messages as configuration_messages
from agateshelf.core.limits import messages as limit_messages
from agateshelf.core.peers import models
from agateshelf.core.routing import messages as routing_messages
from agateshelf.daemon.peers import codec

_TYPES: tuple[type[models.PeerMessage], ...] = (
    claim_messages.RecordsProposed,
    claim_messages.RecordsDecided,
    configuration_messages.VersionAnnouncement,
    configuration_messages.ContentRequest,
    configuration_messages.ContentChunk,
    configuration_messages.VersionRequest,
    configuration_messages.VersionResponse,
    limit_messages.RateLoanRequest,
    limit_messages.RateLoanGrant,
    routing_messages.TargetRequest,
    routing_messages.TargetResponse,
    routing_messages.AttemptEnded,
    routing_messages.TargetStateUpdate,
)


def register() -> None:
    """Register the types with the codec."""
    codec.add_types(_TYPES)
