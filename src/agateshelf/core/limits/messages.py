"""Messages between entries for lending rate allowance."""

from typing import ClassVar

import msgspec

from agateshelf.core.peers import models as peer_models


class RateAmount(msgspec.Struct, frozen=True):
    """An amount of the rate of one share of a service.

    Attributes:
        service: Name of the service.
        share: Name of the share.
        rate: Calls per second.
    """

    service: str
    share: str
    rate: float


class RateLoanRequest(peer_models.PeerMessage, frozen=True):
    """Requests loans from another entry.

    Attributes:
        requested_at: Time of the request in seconds, by the sender's clock.
        amounts: Amounts requested from the receiver.
    """

    wire_name: ClassVar[str] = "PartsWanted"

    requested_at: float = msgspec.field(name="asked_at")
    amounts: tuple[RateAmount, ...] = msgspec.field(name="parts")


class RateLoanGrant(peer_models.PeerMessage, frozen=True):
    """Grants loans to the entry that requested them.

    Attributes:
        requested_at: Time of the request, copied from it.
        amounts: Amounts lent.
    """

    wire_name: ClassVar[str] = "PartsLent"

    requested_at: float = msgspec.field(name="asked_at")
    amounts: tuple[RateAmount, ...] = msgspec.field(name="parts")
