"""Selects the target for a request among those with a free slot.

Answers the load of targets whose speed changes several times a second: of those
that are expected to respond in time, the one with the lowest cost is selected.
The cost is the expected time until the response, raised by the target's error
rate. A target is left out where the request would make one of no lower rank
late that is in time without it: both could then be late, where one would be in
time and the other find room a moment later. A few of the free targets are
enough to find a good one, so that the time for a selection doesn't grow with
the service.
"""

from collections import abc
import dataclasses
import random

from agateshelf.core.dispatch import connections
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import free_slots as free_slots_lib
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import regional
from agateshelf.core.dispatch import target_health


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that could serve a request.

    Attributes:
        target: The target.
        seconds: Expected seconds until its response.
        cost: Expected seconds, raised by the target's error rate; the lowest
            cost is selected.
        contends: Whether the request would cause contention there.
    """

    target: models.TargetState
    seconds: float
    cost: float
    contends: bool


def select_target(
    dispatcher: models.Dispatcher,
    free_slots: free_slots_lib.FreeSlots,
    request: models.Request,
    now: float,
    rng: random.Random,
) -> models.TargetState | None:
    """Return the target for a request, or None if it should wait.

    Some of the free targets are compared, and the others only if none of these
    can respond in time. The cost of targets without a recent report gets random
    jitter. Without it, entries that have no load data would all choose the same
    target.
    """
    if request.domains is not None:
        free_slots = free_slots_lib.within(free_slots, request.domains)
        if not free_slots.targets:
            return None
    late = now > request.latest_start
    end = request.deadline if late else request.soft_deadline
    if _is_misfit(free_slots, request, end - now, late=late):
        return None
    targets = free_slots.targets
    connected: list[models.TargetState] = []
    if late and not _has_spare_slots(free_slots):
        targets = [t for t in targets if _is_slow_and_uncontended(t)]
        shortlist = targets
    else:
        if len(targets) > 1:
            connected = _free_connected(dispatcher, free_slots, request, now)
        shortlist = _shortlist(free_slots, connected, request, rng)
    in_time = _find_in_time(dispatcher, shortlist, request, end, now)
    if not in_time and len(shortlist) < len(targets):
        in_time = _find_in_time(dispatcher, targets, request, end, now)
    if not in_time:
        _note_misfit(free_slots, request, end - now, late=late)
        return None

    def cost(candidate: Candidate) -> float:
        if candidate.target in connected:
            return candidate.cost - _connected_bonus(candidate, request)
        if now - candidate.target.reported_at <= const.STALE_SECONDS:
            return candidate.cost
        return candidate.cost * (1 + const.STALE_JITTER * rng.random())

    return min(in_time, key=cost).target


def _connected_bonus(candidate: Candidate, request: models.Request) -> float:
    """Return the seconds by which a connected target may be slower.

    A way to another failure domain that costs more than a new connection isn't
    made up for.
    """
    domain = candidate.target.registration.failure_domain
    if domain != request.failure_domain:
        return const.CONNECTED_BONUS_SECONDS
    share = const.CONNECTED_SHARE * candidate.seconds
    return max(const.CONNECTED_BONUS_SECONDS, share)


def has_room_for_late(free_slots: free_slots_lib.FreeSlots) -> bool:
    """Return whether a late request may use any of the free slots."""
    return _has_spare_slots(free_slots) or any(
        _is_slow_and_uncontended(target) for target in free_slots.targets
    )


def _has_spare_slots(free_slots: free_slots_lib.FreeSlots) -> bool:
    return free_slots.count > const.SPARE_SLOT_SHARE * free_slots.total


def _free_connected(
    dispatcher: models.Dispatcher,
    free_slots: free_slots_lib.FreeSlots,
    request: models.Request,
    now: float,
) -> list[models.TargetState]:
    """Return the free targets with a connection to the requesting entry."""
    connected = connections.connected_targets(dispatcher, request, now)
    return [target for target in connected if target in free_slots.targets]


def _shortlist(
    free_slots: free_slots_lib.FreeSlots,
    connected: list[models.TargetState],
    request: models.Request,
    rng: random.Random,
) -> list[models.TargetState]:
    """Return some free targets, half of them of the request's own domain."""
    targets = free_slots.targets
    if len(targets) <= 2 * const.SHORTLIST_HALF:
        return targets
    own = free_slots.by_domain.get(request.failure_domain, [])
    chosen = [*connected]
    chosen.extend(t for t in _window(own, rng) if t not in chosen)
    chosen.extend(t for t in _window(targets, rng) if t not in chosen)
    return chosen


def _window(
    targets: list[models.TargetState], rng: random.Random
) -> list[models.TargetState]:
    size = const.SHORTLIST_HALF
    if len(targets) <= size:
        return list(targets)
    first = rng.randrange(len(targets))
    window = targets[first : first + size]
    window.extend(targets[: size - len(window)])
    return window


def _find_in_time(
    dispatcher: models.Dispatcher,
    targets: abc.Iterable[models.TargetState],
    request: models.Request,
    end: float,
    now: float,
) -> list[Candidate]:
    latest = (end - now) / const.RUN_TIME_MARGIN
    candidates = []
    for target in targets:
        if target.registration.id in request.tried:
            continue
        candidate = evaluate(dispatcher, target, request, now)
        if candidate.seconds > latest:
            continue
        if candidate.contends and _delays_another(
            dispatcher, target, request, now
        ):
            continue
        candidates.append(candidate)
    return candidates


def _is_misfit(
    free_slots: free_slots_lib.FreeSlots,
    request: models.Request,
    left: float,
    *,
    late: bool,
) -> bool:
    """Return whether a request with more time and no more work suited none."""
    key = (request.route, late, request.failure_domain, request.domains)
    known = free_slots.misfits.get(key)
    if known is None:
        return False
    work, seconds = known
    return request.work >= work and left <= seconds


def _note_misfit(
    free_slots: free_slots_lib.FreeSlots,
    request: models.Request,
    left: float,
    *,
    late: bool,
) -> None:
    """Remember that a request suits none of the free targets.

    In the course of a pass their number only falls.
    """
    if not request.tried:
        key = (request.route, late, request.failure_domain, request.domains)
        free_slots.misfits[key] = (request.work, left)


def _is_slow_and_uncontended(target: models.TargetState) -> bool:
    """Return whether a late request may use a target while few slots are free.

    Late requests then leave fast targets to requests that can be in time.
    """
    contended = estimates.would_contend(target, 1)
    return target.speed < const.SLOW_SPEED and not contended


def evaluate(
    dispatcher: models.Dispatcher,
    target: models.TargetState,
    request: models.Request,
    now: float,
) -> Candidate:
    """Return what a request would take and cost at a target."""
    seconds = estimates.uncontended_seconds(target, request.work, now)
    contends = estimates.would_contend(target, 1)
    if contends:
        seconds *= dispatcher.contention_factor
    domain = target.registration.failure_domain
    if domain != request.failure_domain:
        seconds += request.crossing.get(domain, const.CROSS_DOMAIN_SECONDS)
    cost = seconds
    if target.errors > 0:
        cost /= 1.0 - target_health.error_rate(target, now)
    return Candidate(target, seconds, cost, contends)


def _delays_another(
    dispatcher: models.Dispatcher,
    target: models.TargetState,
    request: models.Request,
    now: float,
) -> bool:
    """Return whether contention would make a running request late.

    Requests of a lower rank don't keep one of a higher rank out.
    """
    for running in target.requests.values():
        if running.contended or running.priorities > request.priorities:
            continue
        end = running.granted_at + running.expected_seconds
        later = now + (end - now) * dispatcher.contention_factor
        if end <= running.soft_deadline < later:
            return True
    return False


def _can_take(
    target: models.TargetState, request: models.Request, now: float
) -> bool:
    if target.registration.id in request.tried:
        return False
    if not regional.may_serve(target, request):
        return False
    if target.outstanding >= target.slots:
        return False
    return free_slots_lib.is_within_limit(target, now)


def idle_target(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> models.TargetState | None:
    """Return the uncontended target in time with the lowest cost, or None.

    What a limited target takes is left to requests that have no other.
    """
    best: Candidate | None = None
    for target in free_slots_lib.usable_targets(dispatcher, now):
        if target.pace is not None or estimates.would_contend(target, 1):
            continue
        if not _can_take(target, request, now):
            continue
        candidate = evaluate(dispatcher, target, request, now)
        if (
            now + candidate.seconds * const.RUN_TIME_MARGIN
            > request.soft_deadline
        ):
            continue
        if best is None or candidate.cost < best.cost:
            best = candidate
    return None if best is None else best.target
