"""State of confirming routes before a refusal."""

import dataclasses
import math
from typing import TYPE_CHECKING

# The events import these models.
if TYPE_CHECKING:
    from agateshelf.core import events


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A request that waits for a confirmation.

    Attributes:
        event: The request.
        since: Time at which it began to wait.
    """

    event: "events.RequestArrived"
    since: float


@dataclasses.dataclass(slots=True)
class ConfirmationState:
    """Requests that wait, and whom this entry has asked.

    Attributes:
        held: Requests that wait, by call number.
        is_asking: Whether a confirmation was asked for and is still awaited.
        attempts: Number of those that were asked in turn.
        failed_until: Time until which no request is held, as one has waited in
            vain.
    """

    held: dict[int, Held] = dataclasses.field(default_factory=dict)
    is_asking: bool = False
    attempts: int = 0
    failed_until: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationDue:
    """Nobody may have confirmed the routes yet (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesConfirmed:
    """The routes in force were known to be the newest ones (internal)."""
