"""Schedules requests on targets: grants, queues or refuses each request.

Handles load beyond the capacity of the targets, and targets whose speed changes
within milliseconds. A request is sent only when a target has a free slot for
it, so that no request is stuck in the queue of a target that has just become
slow. Of the targets that are expected to respond in time, it goes to the one
with the lowest cost: the expected time until its response, raised by the delay
of other requests and by its error rate. If there is none, it waits. Requests
that can still be in time go first, by priority and then by the latest time at
which they must start. Late requests use the remaining slots. A request that
can't be served before its caller gives up is refused at once; while targets
name limits, that follows from the times at which these leave room again.

The owner of a large service decides thousands of times a second, and most often
while many requests wait that no free slot suits. So most decisions are quick
ones, which look only at what changed: a request that arrived, or a slot that
became free. Full ones, on every waiting request, come at regular intervals and
after changes that concern more.
"""

from collections import abc
import dataclasses
import heapq
import math
import operator
import random

from agateshelf.core.dispatch import connections
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import target_health
from agateshelf.core.target_notices import pacing


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision to send a request to a target.

    Attributes:
        request: The granted request.
        target: Identifier of its target.
    """

    request: models.Request
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a request.

    Attributes:
        request: The refused request.
        reason: Reason for the refusal.
        retry_after: Seconds after which the caller should try again.
        waiting: Number of requests still waiting.
        usable: Number of targets that may currently get requests.
        limited: Number of these that named a limit, if their limits left no
            room for the request.
        paused: Number of targets that want no requests now, if no other target
            has room for the request.
    """

    request: models.Request
    reason: models.Refusal
    retry_after: float
    waiting: int = 0
    usable: int = 0
    limited: int = 0
    paused: int = 0


Decision = Grant | Refuse

_RANK = operator.attrgetter("rank")
_LATE_RANK = operator.attrgetter("late_rank")


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that could serve a request.

    Attributes:
        target: The target.
        seconds: Expected seconds until its response.
        cost: Expected seconds, raised by the delay of other requests and by the
            target's error rate; the lowest cost is selected.
    """

    target: models.TargetState
    seconds: float
    cost: float


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
    """

    targets: list[models.TargetState]
    by_domain: dict[str, list[models.TargetState]]
    total: int
    count: int
    misfits: dict[tuple[str, bool, str], tuple[float, float]] = (
        dataclasses.field(default_factory=dict)
    )


def _find_free_slots(
    usable: abc.Sequence[models.TargetState], now: float
) -> FreeSlots:
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
    return FreeSlots(targets, by_domain, total, count)


def _is_within_limit(target: models.TargetState, now: float) -> bool:
    return target.pace is None or pacing.may_send(target.pace, now)


def _take_slot(
    free_slots: FreeSlots, target: models.TargetState, now: float
) -> None:
    free_slots.count -= 1
    is_full = target.outstanding >= target.slots
    if is_full or not _is_within_limit(target, now):
        free_slots.targets.remove(target)
        domain = target.registration.failure_domain
        free_slots.by_domain[domain].remove(target)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request arrived; the others suited no free slot before."""

    request: models.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Freed:
    """A slot of a target became free; the other free slots suited no request.

    Attributes:
        target: The target, if it is still one of the service.
    """

    target: models.TargetState | None


Cause = Arrived | Freed


def decide(
    dispatcher: models.Dispatcher,
    now: float,
    rng: random.Random,
    cause: Cause | None = None,
) -> list[Decision]:
    """Decide on the waiting requests and apply the decisions.

    Args:
        dispatcher: The dispatcher of the service.
        now: Current time in seconds.
        rng: Random number generator.
        cause: All that has changed since the last decision; None for more.
    """
    if now >= dispatcher.next_release_at:
        dispatcher.next_release_at = now + const.RELEASE_CHECK_SECONDS
        _release_expired(dispatcher, now)
    if not dispatcher.waiting:
        return []
    if (
        cause is not None
        and now < dispatcher.next_full_at
        and not dispatcher.paced
    ):
        return _decide_quickly(dispatcher, cause, now, rng)
    usable = usable_targets(dispatcher, now)
    dispatcher.next_full_at = now + const.FULL_DECISION_SECONDS
    dispatcher.usable = [
        target
        for target in usable
        if target.consecutive_errors < const.ERRORS_TO_OPEN
    ]
    return _decide_fully(dispatcher, usable, now, rng)


def require_full_decision(dispatcher: models.Dispatcher) -> None:
    """Make the next decision a full one, as the usable targets changed."""
    dispatcher.next_full_at = -math.inf


def _decide_quickly(
    dispatcher: models.Dispatcher,
    cause: Cause,
    now: float,
    rng: random.Random,
) -> list[Decision]:
    """Decide on what a single change allows."""
    free_slots = _find_free_slots(dispatcher.usable, now)
    match cause:
        case Arrived():
            requests = [cause.request]
        case Freed():
            if cause.target not in free_slots.targets:
                return []
            free_slots.targets = [cause.target]
            requests = _by_urgency(dispatcher, now)
    emitted: list[Decision] = []
    unsuitable = 0
    for request in requests:
        if not free_slots.targets or unsuitable > const.MAX_UNSUITABLE:
            break
        refusal = _refusal_reason(dispatcher, request, now)
        if refusal is not None:
            usable = dispatcher.usable
            emitted.append(_refuse(dispatcher, request, refusal, usable, rng))
            continue
        target = _select_target(dispatcher, free_slots, request, now, rng)
        if target is None:
            unsuitable += 1
            continue
        unsuitable = 0
        emitted.append(grant(dispatcher, request, target, now))
        _take_slot(free_slots, target, now)
    return emitted


def _decide_fully(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    now: float,
    rng: random.Random,
) -> list[Decision]:
    """Decide on every waiting request."""
    free_slots = _find_free_slots(usable, now)
    paused = [] if usable else _paused_targets(dispatcher, now)
    is_served = bool(usable or paused)
    emitted: list[Decision] = []
    late: list[models.Request] = []
    ungranted: list[models.Request] = []
    for request in _by_urgency(dispatcher, now):
        refusal: models.Refusal | None = models.Refusal.NO_TARGET
        if is_served:
            refusal = _refusal_reason(dispatcher, request, now)
        if refusal is not None:
            emitted.append(_refuse(dispatcher, request, refusal, usable, rng))
            continue
        target = None
        if free_slots.targets:
            target = _select_target(dispatcher, free_slots, request, now, rng)
        if target is not None:
            emitted.append(grant(dispatcher, request, target, now))
            _take_slot(free_slots, target, now)
            continue
        ungranted.append(request)
        if now > request.latest_start:
            late.append(request)
    emitted.extend(_shed_late(dispatcher, [*usable, *paused], late, rng))
    emitted.extend(
        _refuse_without_room(dispatcher, usable, paused, ungranted, now, rng)
    )
    return emitted


def _refuse_without_room(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    paused: abc.Sequence[models.TargetState],
    ungranted: abc.Sequence[models.Request],
    now: float,
    rng: random.Random,
) -> list[Decision]:
    """Refuse requests for which restricted targets leave no room in time.

    Answers the load of a service whose targets name limits below its requests,
    or all ask for a pause. The callers are told to come back one after the
    other, when there is room.

    Args:
        dispatcher: The dispatcher of the service.
        usable: The targets that may get requests now.
        paused: The targets that want no requests now, if none is usable.
        ungranted: Requests that were not granted, the most urgent first; those
            refused meanwhile are left out.
        now: Current time in seconds.
        rng: Random number generator.
    """
    waiting = [r for r in ungranted if r.key in dispatcher.waiting]
    limited = sum(target.pace is not None for target in usable)
    if not (limited or paused) or not waiting:
        return []
    work = sum(request.work for request in waiting) / len(waiting)
    turnovers = [
        _turnover_of(target, work, now) for target in (*usable, *paused)
    ]
    starts = _expected_starts(turnovers)
    start = next(starts)
    refused: list[models.Request] = []
    # Requests that can be in time take all the room while some are refused, so
    # that others would wait for nothing.
    only_in_time = bool(paused) or dispatcher.next_return_at > now
    for request in waiting:
        end = request.soft_deadline if only_in_time else request.deadline
        if start + request.work > end:
            refused.append(request)
        else:
            start = next(starts)
    gap = 1.0 / sum(1.0 / turnover.interval for turnover in turnovers)
    emitted: list[Decision] = []
    for request in refused:
        del dispatcher.waiting[request.key]
        emitted.append(
            Refuse(
                request,
                models.Refusal.OVERLOAD,
                _reserve_return(dispatcher, start, gap, now, rng) - now,
                waiting=len(dispatcher.waiting),
                usable=len(usable),
                limited=limited,
                paused=len(paused),
            )
        )
    return emitted


def _reserve_return(
    dispatcher: models.Dispatcher,
    start: float,
    gap: float,
    now: float,
    rng: random.Random,
) -> float:
    """Return the time at which a refused request may come back.

    Args:
        dispatcher: The dispatcher of the service.
        start: Time from which there is room.
        gap: Seconds between two requests that the targets can start.
        now: Current time in seconds.
        rng: Random number generator.
    """
    at = max(
        start,
        dispatcher.next_return_at,
        now + const.MIN_ROOM_RETRY_AFTER_SECONDS,
    )
    first = max(start, now)
    if at > first + const.MAX_ROOM_RETRY_AFTER_SECONDS:
        spread = rng.uniform(0.5, 1.0)
        return first + const.MAX_ROOM_RETRY_AFTER_SECONDS * spread
    dispatcher.next_return_at = at + gap
    return at


@dataclasses.dataclass(frozen=True, slots=True)
class _Turnover:
    """How fast a target can start requests.

    Attributes:
        first: Time of the next start.
        interval: Seconds between two starts.
    """

    first: float
    interval: float


def _turnover_of(
    target: models.TargetState, work: float, now: float
) -> _Turnover:
    """Return how fast a target can start requests.

    Args:
        target: The target.
        work: Expected run time of a request in seconds on an idle target of
            usual speed.
        now: Current time in seconds.
    """
    slots = target.slots
    interval = estimates.uncontended_seconds(target, work, now) / slots
    first = now if target.outstanding < slots else now + interval
    first = max(first, target.paused_until)
    if target.pace is not None:
        first = max(first, pacing.next_at(target.pace, now))
        interval = max(interval, 1.0 / target.pace.rate)
    return _Turnover(first, interval)


def _expected_starts(
    turnovers: abc.Sequence[_Turnover],
) -> abc.Iterator[float]:
    """Yield the times at which targets can start requests, in order."""
    upcoming = [(t.first, i, t.interval) for i, t in enumerate(turnovers)]
    heapq.heapify(upcoming)
    while True:
        at, number, interval = upcoming[0]
        yield at
        heapq.heapreplace(upcoming, (at + interval, number, interval))


def _refusal_reason(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> models.Refusal | None:
    if not dispatcher.targets:
        return models.Refusal.NO_TARGET
    if now + request.work > request.deadline:
        if _may_try(dispatcher, request, now):
            _make_trial(dispatcher, request)
            return None
        return models.Refusal.TOO_LATE
    return None


def _may_try(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> bool:
    """Return whether a request should test an estimate that refuses it.

    An estimate that is too high refuses all requests of a route, and without
    runs it would never be corrected. One request at a time is tried then.
    """
    if request.is_trial or now + request.initial_work > request.deadline:
        return False
    trial = dispatcher.trials.get(request.route)
    if trial in dispatcher.waiting or trial in dispatcher.granted:
        return False
    return not any(
        granted.route == request.route
        for granted in dispatcher.granted.values()
    )


def _make_trial(dispatcher: models.Dispatcher, request: models.Request) -> None:
    request.is_trial = True
    request.set_work(request.initial_work)
    dispatcher.trials[request.route] = request.key


def _shed_late(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    late: list[models.Request],
    rng: random.Random,
) -> list[Decision]:
    """Refuse late requests beyond what the targets could still serve."""
    slots = sum(_slots_for_late(target) for target in usable)
    limit = int(const.MAX_LATE_PER_SLOT * slots)
    return [
        _refuse(dispatcher, request, models.Refusal.OVERLOAD, usable, rng)
        for request in late[limit:]
    ]


def _slots_for_late(target: models.TargetState) -> float:
    slots = target.registration.slots
    if target.pace is None:
        return slots
    return min(slots, target.pace.rate)


def _by_urgency(
    dispatcher: models.Dispatcher, now: float
) -> list[models.Request]:
    in_time: list[models.Request] = []
    late: list[models.Request] = []
    for request in dispatcher.waiting.values():
        (late if now > request.latest_start else in_time).append(request)
    in_time.sort(key=_RANK)
    late.sort(key=_LATE_RANK)
    return in_time + late


def is_unavoidably_late(request: models.Request, now: float) -> bool:
    """Return whether a request would be late even if it started now.

    It is assumed to start on an idle target of usual speed.
    """
    return now > request.latest_start


def usable_targets(
    dispatcher: models.Dispatcher, now: float
) -> list[models.TargetState]:
    """Return the targets that may get requests now.

    If too many are unavailable, all are returned that neither leave nor pause
    (panic mode).
    """
    serving: list[models.TargetState] = []
    healthy: list[models.TargetState] = []
    for target in dispatcher.targets.values():
        if target.leaving or target.registration.draining:
            continue
        if now < target.paused_until:
            continue
        serving.append(target)
        if not target_health.is_unavailable(target, now):
            healthy.append(target)
    if len(healthy) < const.PANIC_THRESHOLD * len(serving):
        return serving
    return healthy


def _paused_targets(
    dispatcher: models.Dispatcher, now: float
) -> list[models.TargetState]:
    return [
        target
        for target in dispatcher.targets.values()
        if not target.is_going and now < target.paused_until
    ]


def _select_target(
    dispatcher: models.Dispatcher,
    free_slots: FreeSlots,
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
    late = now > request.latest_start
    end = request.deadline if late else request.soft_deadline
    if _is_misfit(free_slots, request, end - now, late=late):
        return None
    targets = free_slots.targets
    connected: list[models.TargetState] = []
    if late and free_slots.count <= const.SPARE_SLOT_SHARE * free_slots.total:
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
            return candidate.cost - const.CONNECTED_BONUS_SECONDS
        if now - candidate.target.reported_at <= const.STALE_SECONDS:
            return candidate.cost
        return candidate.cost * (1 + const.STALE_JITTER * rng.random())

    return min(in_time, key=cost).target


def _free_connected(
    dispatcher: models.Dispatcher,
    free_slots: FreeSlots,
    request: models.Request,
    now: float,
) -> list[models.TargetState]:
    """Return the free targets with a connection to the requesting entry."""
    connected = connections.connected_targets(dispatcher, request.key[0], now)
    return [target for target in connected if target in free_slots.targets]


def _shortlist(
    free_slots: FreeSlots,
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
        candidate = _evaluate(dispatcher, target, request, now)
        if candidate.seconds <= latest:
            candidates.append(candidate)
    return candidates


def _is_misfit(
    free_slots: FreeSlots, request: models.Request, left: float, *, late: bool
) -> bool:
    """Return whether a request with more time and no more work suited none."""
    key = (request.route, late, request.failure_domain)
    known = free_slots.misfits.get(key)
    if known is None:
        return False
    work, seconds = known
    return request.work >= work and left <= seconds


def _note_misfit(
    free_slots: FreeSlots, request: models.Request, left: float, *, late: bool
) -> None:
    """Remember that a request suits none of the free targets.

    In the course of a pass their number only falls.
    """
    if not request.tried:
        key = (request.route, late, request.failure_domain)
        free_slots.misfits[key] = (request.work, left)


def _is_slow_and_uncontended(target: models.TargetState) -> bool:
    """Return whether a late request may use a target while few slots are free.

    Late requests then leave fast targets to requests that can be in time.
    """
    contended = estimates.would_contend(target, 1)
    return target.speed < const.SLOW_SPEED and not contended


def _evaluate(
    dispatcher: models.Dispatcher,
    target: models.TargetState,
    request: models.Request,
    now: float,
) -> Candidate:
    seconds = estimates.uncontended_seconds(target, request.work, now)
    cost = 0.0
    if estimates.would_contend(target, 1):
        seconds *= dispatcher.contention_factor
        if target.requests:
            cost = _delay_cost(dispatcher, target, now)
    if target.registration.failure_domain != request.failure_domain:
        seconds += const.CROSS_DOMAIN_SECONDS
    cost += seconds
    if target.errors > 0:
        cost /= 1.0 - target_health.error_rate(target, now)
    return Candidate(target, seconds, cost)


def _delay_cost(
    dispatcher: models.Dispatcher, target: models.TargetState, now: float
) -> float:
    """Return the cost of contention to the requests running on a target.

    Only a request that the contention would make late adds to the cost.
    """
    delayed = 0
    for request in target.requests.values():
        if request.contended:
            continue
        end = request.granted_at + request.expected_seconds
        later = now + (end - now) * dispatcher.contention_factor
        if end <= request.soft_deadline < later:
            delayed += 1
    return delayed * const.DELAY_PENALTY_SECONDS


def _can_take(
    target: models.TargetState, request: models.Request, now: float
) -> bool:
    if target.registration.id in request.tried:
        return False
    if target.outstanding >= target.slots:
        return False
    return _is_within_limit(target, now)


def idle_target(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> models.TargetState | None:
    """Return the uncontended target in time with the lowest cost, or None.

    What a limited target takes is left to requests that have no other.
    """
    best: Candidate | None = None
    for target in usable_targets(dispatcher, now):
        if target.pace is not None or estimates.would_contend(target, 1):
            continue
        if not _can_take(target, request, now):
            continue
        candidate = _evaluate(dispatcher, target, request, now)
        if (
            now + candidate.seconds * const.RUN_TIME_MARGIN
            > request.soft_deadline
        ):
            continue
        if best is None or candidate.cost < best.cost:
            best = candidate
    return None if best is None else best.target


def grant(
    dispatcher: models.Dispatcher,
    request: models.Request,
    target: models.TargetState,
    now: float,
) -> Grant:
    """Grant a request a target."""
    request.target = target.registration.id
    request.granted_at = now
    request.uncontended_seconds = estimates.uncontended_seconds(
        target, request.work, now
    )
    request.contended = estimates.would_contend(target, 1)
    request.expected_seconds = request.uncontended_seconds * (
        dispatcher.contention_factor if request.contended else 1.0
    )
    request.work_updated_at = now
    if target.pace is not None:
        pacing.take(target.pace, now)
    target.requests[request.key] = request
    dispatcher.waiting.pop(request.key, None)
    dispatcher.granted[request.key] = request
    return Grant(request, request.target)


def _refuse(
    dispatcher: models.Dispatcher,
    request: models.Request,
    reason: models.Refusal,
    usable: abc.Sequence[models.TargetState],
    rng: random.Random,
) -> Refuse:
    del dispatcher.waiting[request.key]
    spread = 1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1)
    return Refuse(
        request,
        reason,
        const.RETRY_AFTER_SECONDS * spread,
        waiting=len(dispatcher.waiting),
        usable=len(usable),
    )


def _release_expired(dispatcher: models.Dispatcher, now: float) -> None:
    """Release granted requests whose end was not reported by their deadline."""
    expired = [
        request
        for request in dispatcher.granted.values()
        if request.deadline + const.GRANT_MARGIN_SECONDS < now
    ]
    for request in expired:
        release(dispatcher, request)


def release(dispatcher: models.Dispatcher, request: models.Request) -> None:
    """Remove a granted request from its target."""
    dispatcher.granted.pop(request.key, None)
    target = dispatcher.targets.get(request.target or "")
    if target is not None:
        target.requests.pop(request.key, None)


def next_check(dispatcher: models.Dispatcher, now: float) -> float | None:
    """Return the time of the next check, or None if nothing waits.

    Estimates change with time even if no message arrives.
    """
    if not dispatcher.waiting:
        return None
    return max(now, dispatcher.next_full_at)
