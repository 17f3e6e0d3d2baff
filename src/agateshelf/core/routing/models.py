"""What an entry believes of the targets it routes to."""

import dataclasses

from agateshelf.core.configuration import models as configuration_models


@dataclasses.dataclass(slots=True)
class TargetView:
    """One target as this entry sees it.

    Attributes:
        target: The target.
        in_flight: This entry's own attempts in flight there.
        draining: Whether it gets no new request.
    """

    target: configuration_models.Target
    in_flight: int = 0
    draining: bool = False


@dataclasses.dataclass(slots=True)
class RoutingState:
    """Views of all targets, by service and target identifier."""

    services: dict[str, dict[str, TargetView]] = dataclasses.field(
        default_factory=dict
    )
