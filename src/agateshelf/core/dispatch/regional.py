"""Requests that only targets in some failure domains may serve.

Answers the load of one region that is full, or whose targets are gone, while
others have room: its requests must neither wait for slots elsewhere nor keep
those that may be served anywhere from using them.
"""

from collections import abc
import dataclasses

from agateshelf.core.dispatch import free_slots as free_slots_lib
from agateshelf.core.dispatch import models


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Requests that wait for the same targets.

    Attributes:
        usable: The targets that may get requests now.
        paused: The targets that want no requests now, if none is usable.
        requests: The requests, the most urgent first.
    """

    usable: list[models.TargetState]
    paused: list[models.TargetState]
    requests: list[models.Request]


def may_serve(target: models.TargetState, request: models.Request) -> bool:
    """Return whether a target is where a request may be served."""
    domains = request.domains
    return domains is None or target.registration.failure_domain in domains


def refusal_of(
    dispatcher: models.Dispatcher,
    domains: frozenset[str],
    tried: frozenset[str],
) -> models.Refusal | None:
    """Return why no target in some failure domains will serve a request.

    A region may have so few targets that a retry finds no other one.

    Args:
        dispatcher: The dispatcher of the service.
        domains: Failure domains that may serve the request.
        tried: Targets that it was sent to.
    """
    if not _is_served(dispatcher, domains):
        return models.Refusal.NO_REGION
    if tried and not any(_serving(dispatcher, domains, tried)):
        return models.Refusal.NO_RETRY
    return None


def _is_served(dispatcher: models.Dispatcher, domains: frozenset[str]) -> bool:
    """Return whether any target in some failure domains accepts requests."""
    served = dispatcher.served_domains.get(domains)
    if served is None:
        served = any(_serving(dispatcher, domains, frozenset()))
        dispatcher.served_domains[domains] = served
    return served


def _serving(
    dispatcher: models.Dispatcher,
    domains: frozenset[str],
    tried: frozenset[str],
) -> abc.Iterator[bool]:
    """Yield true for each target there that accepts requests, but the tried."""
    for name, target in dispatcher.targets.items():
        domain = target.registration.failure_domain
        if domain not in domains or domain in dispatcher.evacuated:
            continue
        if name not in tried and not target.is_departing:
            yield True


def groups(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    requests: abc.Iterable[models.Request],
    now: float,
) -> list[Group]:
    """Return the requests that may not be served everywhere, by their targets.

    Args:
        dispatcher: The dispatcher of the service.
        usable: The targets that may get requests now.
        requests: Waiting requests, the most urgent first.
        now: Current time in seconds.
    """
    by_domains: dict[frozenset[str], list[models.Request]] = {}
    for request in requests:
        if request.domains is not None:
            by_domains.setdefault(request.domains, []).append(request)
    if not by_domains:
        return []
    paused = free_slots_lib.paused_targets(dispatcher, now)
    found = []
    for domains, members in by_domains.items():
        own = _within(usable, domains)
        found.append(
            Group(own, [] if own else _within(paused, domains), members)
        )
    return found


def _within(
    targets: abc.Iterable[models.TargetState], domains: frozenset[str]
) -> list[models.TargetState]:
    return [t for t in targets if t.registration.failure_domain in domains]
