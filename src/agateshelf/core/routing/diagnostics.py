"""State of the targets as known to this entry, for operators."""

from collections import abc
import dataclasses

from agateshelf.core.routing import models


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """State of one target as known to this entry.

    Attributes:
        service: Name of the service.
        target: Identifier of the target.
        address: `HOST:PORT`.
        failure_domain: Failure domain of the target.
        in_flight: Number of this entry's attempts in flight there.
        belief: State of the target and the reason for it.
    """

    service: str
    target: str
    address: str
    failure_domain: str
    in_flight: int
    belief: str


def target_statuses(routing: models.RoutingState) -> abc.Iterator[TargetStatus]:
    """Yield the state of every known target."""
    for service, service_view in routing.services.items():
        for view in service_view.views.values():
            yield TargetStatus(
                service=service,
                target=view.target.id,
                address=view.target.address,
                failure_domain=view.target.failure_domain,
                in_flight=view.in_flight,
                belief=describe(view),
            )


def describe(view: models.TargetView) -> str:
    """Return a short description of a target's state and its reason."""
    if view.target.draining:
        return "draining (configuration)"
    if view.draining:
        return "draining (announced by the target)"
    if view.breaker.open_until is not None:
        return "failing (breaker open)"
    return "live"
