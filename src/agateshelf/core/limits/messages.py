"""Messages between entries for lending rate allowance."""

import msgspec

from agateshelf.core.peers import models as peer_models


class Part(msgspec.Struct, frozen=True):
    """An amount of the rate of one share of a service.

    Attributes:
        service: Name of the service.
        share: Name of the share.
        rate: Calls per second.
    """

    service: str
    share: str
    rate: float


class PartsWanted(peer_models.PeerMessage, frozen=True):
    """Requests loans from another entry.

    Attributes:
        asked_at: Time of the request in seconds, by the sender's clock.
        parts: Amounts requested from the receiver.
    """

    asked_at: float
    parts: tuple[Part, ...]


class PartsLent(peer_models.PeerMessage, frozen=True):
    """Grants loans to the entry that requested them.

    Attributes:
        asked_at: Time of the request, copied from it.
        parts: Amounts lent.
    """

    asked_at: float
    parts: tuple[Part, ...]
