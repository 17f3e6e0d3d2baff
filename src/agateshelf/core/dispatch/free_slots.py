"""Which targets may get requests now, and which of their slots are free."""

from collections import abc
import dataclasses
import math

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import target_health
from agateshelf.core.target_notices import pacing

# Route, whether it is late, failure domain of the requesting entry, and failure
# domains that may serve it.
MisfitKey = tuple[str, bool, str, frozenset[str] | None]


@dataclasses.dataclass(slots=True)
class FreeSlots:
    """Free slots of the usable targets.

    Tracked across the decisions of one pass, since checking every target for
    each waiting request would be most expensive when a burst has filled the
    queue and no slots are free.

    Attributes:
        targets: Targets with a free slot.
        by_domain: The same by failure domain.
        total: Number of slots of all usable targets.
        count: Number of free slots.
        misfits: Requests that suit none of these targets, the one with the most
            time left of each kind.
        left: Requests that may be granted a slot.
    """

    targets: list[models.TargetState]
    by_domain: dict[str, list[models.TargetState]]
    total: int
    count: int
    misfits: dict[MisfitKey, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    left: float = math.inf


def find_free_slots(
    usable: abc.Sequence[models.TargetState],
    now: float,
    left: float = math.inf,
) -> FreeSlots:
    """Return the free slots of usable targets.

    Args:
        usable: The targets.
        now: Current time in seconds.
        left: Requests that may be granted a slot.
    """
    targets: list[models.TargetState] = []
    by_domain: dict[str, list[models.TargetState]] = {}
    total = count = 0
    for target in usable:
        if target.pace is not None and not pacing.may_send(target.pace, now):
            continue
        registration = target.registration
        slots = 1 if target.resuming else registration.slots
        free = slots - len(target.requests) - target.untracked
        total += slots
        if free > 0:
            count += free
            targets.append(target)
            domain = by_domain.get(registration.failure_domain)
            if domain is None:
                by_domain[registration.failure_domain] = [target]
            else:
                domain.append(target)
    if left < 1:
        return FreeSlots([], {}, total, 0, left=left)
    return FreeSlots(targets, by_domain, total, count, left=left)


def within(free_slots: FreeSlots, domains: frozenset[str]) -> FreeSlots:
    """Return the free slots of the targets in some failure domains."""
    return dataclasses.replace(
        free_slots,
        targets=[
            target
            for target in free_slots.targets
            if target.registration.failure_domain in domains
        ],
        by_domain={
            domain: targets
            for domain, targets in free_slots.by_domain.items()
            if domain in domains
        },
    )


def is_within_limit(target: models.TargetState, now: float) -> bool:
    """Return whether the limit that a target names leaves room now."""
    return target.pace is None or pacing.may_send(target.pace, now)


def take_slot(
    free_slots: FreeSlots, target: models.TargetState, now: float
) -> None:
    """Count a slot as taken that was granted."""
    free_slots.count -= 1
    free_slots.left -= 1
    if free_slots.left < 1:
        free_slots.targets.clear()
        free_slots.by_domain.clear()
        return
    is_full = target.outstanding >= target.slots
    if is_full or not is_within_limit(target, now):
        free_slots.targets.remove(target)
        domain = target.registration.failure_domain
        free_slots.by_domain[domain].remove(target)


def usable_targets(
    dispatcher: models.Dispatcher, now: float
) -> list[models.TargetState]:
    """Return the targets that may get requests now.

    If too many are unavailable, all are returned that neither leave nor pause
    and are in no evacuated failure domain (panic mode).
    """
    serving: list[models.TargetState] = []
    healthy: list[models.TargetState] = []
    for target in dispatcher.targets.values():
        if target.leaving or target.registration.draining:
            continue
        if target.registration.failure_domain in dispatcher.evacuated:
            continue
        if now < target.paused_until:
            continue
        serving.append(target)
        if not target_health.is_unavailable(target, now):
            healthy.append(target)
    if len(healthy) < const.PANIC_THRESHOLD * len(serving):
        return serving
    return healthy


def paused_targets(
    dispatcher: models.Dispatcher, now: float
) -> list[models.TargetState]:
    """Return the targets that will want requests again after a pause."""
    return [
        target
        for target in dispatcher.targets.values()
        if not target.is_departing
        and now < target.paused_until
        and target.registration.failure_domain not in dispatcher.evacuated
    ]
