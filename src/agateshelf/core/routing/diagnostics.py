"""What an entry believes of its targets, for operators."""

from collections import abc
import dataclasses

from agateshelf.core.routing import models


@dataclasses.dataclass(frozen=True, slots=True)
class TargetBelief:
    """One target as this entry sees it.

    Attributes:
        service: Name of the service.
        target: Identifier of the target.
        address: `HOST:PORT`.
        failure_domain: Where it runs.
        in_flight: This entry's own attempts in flight there.
        belief: What the entry believes of it, and why.
    """

    service: str
    target: str
    address: str
    failure_domain: str
    in_flight: int
    belief: str


def beliefs(routing: models.RoutingState) -> abc.Iterator[TargetBelief]:
    """Yield what is believed of every target."""
    for service, known in routing.services.items():
        for view in known.views.values():
            yield TargetBelief(
                service=service,
                target=view.target.id,
                address=view.target.address,
                failure_domain=view.target.failure_domain,
                in_flight=view.in_flight,
                belief=belief_of(view),
            )


def belief_of(view: models.TargetView) -> str:
    """Return in a few words what is believed of a target, and why."""
    if view.target.draining:
        return "draining (configuration)"
    if view.draining:
        return "draining (its own word)"
    if view.breaker.open_until is not None:
        return "failing (breaker open)"
    return "live"
