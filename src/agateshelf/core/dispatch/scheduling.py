"""Schedules requests on targets: grants, queues or refuses each request.

Handles load beyond the capacity of the targets, and targets whose speed changes
within milliseconds. A request is sent only when a target has a free slot for
it, so that no request is stuck in the queue of a target that has just become
slow. Of the targets that are expected to respond in time, it goes to the one
with the lowest cost: the expected time until its response, raised by its error
rate. Targets where it would make another late are left out. If there is none,
it waits. Requests
that can still be in time go first, by priority and then by the latest time at
which they must start. Late requests use the remaining slots. A request that
can't be served before its caller gives up is refused at once; while targets
name limits, that follows from the times at which these leave room again. If
requests name workspaces, these share the targets (`fair_shares`).

The owner of a large service decides thousands of times a second, and most often
while many requests wait that no free slot suits. So most decisions are quick
ones, which look only at what changed: a request that arrived, or a slot that
became free. Full ones, on every waiting request, come at regular intervals and
after changes that concern more.
"""

from collections import abc
import dataclasses
import itertools
import math
import operator
import random

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import decisions
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import fair_shares
from agateshelf.core.dispatch import free_slots as free_slots_lib
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import regional
from agateshelf.core.dispatch import selection
from agateshelf.core.dispatch import shedding
from agateshelf.core.target_notices import pacing

_RANK = operator.attrgetter("rank")


_LATE_RANK = operator.attrgetter("late_rank")


def decide(
    dispatcher: models.Dispatcher,
    now: float,
    rng: random.Random,
    cause: decisions.Cause | None = None,
) -> list[decisions.Decision]:
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
    if cause is not None and now < dispatcher.next_full_at:
        return _decide_quickly(dispatcher, cause, now, rng)
    usable = free_slots_lib.usable_targets(dispatcher, now)
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
    dispatcher.served_domains.clear()


def _decide_quickly(
    dispatcher: models.Dispatcher,
    cause: decisions.Cause,
    now: float,
    rng: random.Random,
) -> list[decisions.Decision]:
    """Decide on what a single change allows.

    Paces leave room again as time passes. The requests that wait get that room
    in the order of their urgency, with a full decision; a request that arrives
    takes none of it while others wait.
    """
    usable = dispatcher.usable
    freed: models.TargetState | None = None
    requests: abc.Iterable[models.Request]
    match cause:
        case decisions.Arrived():
            if len(dispatcher.waiting) > 1 and dispatcher.paced:
                usable = [target for target in usable if target.pace is None]
            free_slots = free_slots_lib.find_free_slots(
                usable, now, _left(dispatcher)
            )
            requests = [cause.request]
        case decisions.Freed():
            free_slots = free_slots_lib.find_free_slots(
                usable, now, _left(dispatcher)
            )
            if cause.target is None or cause.target not in free_slots.targets:
                return []
            free_slots.targets = [cause.target]
            freed = cause.target
            requests = _in_turn(dispatcher, free_slots, now)
    emitted: list[decisions.Decision] = []
    unsuitable = 0
    for request in requests:
        if not free_slots.targets or unsuitable > const.MAX_UNSUITABLE:
            break
        # They would use up the limit on unsuitable requests.
        if freed is not None and not regional.may_serve(freed, request):
            continue
        refusal = shedding.reason_to_refuse(dispatcher, request, now)
        if refusal is not None:
            emitted.append(
                shedding.refuse(
                    dispatcher, request, refusal, dispatcher.usable, rng
                )
            )
            continue
        target = selection.select_target(
            dispatcher, free_slots, request, now, rng
        )
        if target is None:
            unsuitable += 1
            continue
        unsuitable = 0
        first = request
        if isinstance(cause, decisions.Arrived):
            first = _next_for(dispatcher, free_slots, target, request, now, rng)
        emitted.append(grant(dispatcher, first, target, now))
        free_slots_lib.take_slot(free_slots, target, now)
    return emitted


def _left(dispatcher: models.Dispatcher) -> float:
    """Return how many more requests may run at once."""
    return dispatcher.max_granted - len(dispatcher.granted)


def _next_for(
    dispatcher: models.Dispatcher,
    free_slots: free_slots_lib.FreeSlots,
    target: models.TargetState,
    arrived: models.Request,
    now: float,
    rng: random.Random,
) -> models.Request:
    """Return the request that gets a target selected for one that arrived.

    With workspaces it is the first in turn that suits the target. The slot may
    be free because it suited nobody some milliseconds ago.
    """
    if len(dispatcher.waiting) == 1 or not fair_shares.is_active(dispatcher):
        return arrived
    only = dataclasses.replace(free_slots, targets=[target], misfits={})
    ahead = fair_shares.ahead_of(dispatcher, arrived, now)
    for request in itertools.islice(ahead, const.MAX_AHEAD):
        if now + request.work > request.deadline:
            continue
        if selection.select_target(dispatcher, only, request, now, rng):
            return request
    return arrived


def _decide_fully(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    now: float,
    rng: random.Random,
) -> list[decisions.Decision]:
    """Decide on every waiting request."""
    free_slots = free_slots_lib.find_free_slots(usable, now, _left(dispatcher))
    paused = [] if usable else free_slots_lib.paused_targets(dispatcher, now)
    is_served = bool(usable or paused)
    emitted: list[decisions.Decision] = []
    late: list[models.Request] = []
    ungranted: list[models.Request] = []
    for request in _by_urgency(dispatcher, now):
        refusal: models.Refusal | None = models.Refusal.NO_TARGET
        if is_served:
            refusal = shedding.reason_to_refuse(dispatcher, request, now)
        if refusal is not None:
            emitted.append(
                shedding.refuse(dispatcher, request, refusal, usable, rng)
            )
            continue
        target = None
        if free_slots.targets:
            target = selection.select_target(
                dispatcher, free_slots, request, now, rng
            )
        if target is not None:
            emitted.append(grant(dispatcher, request, target, now))
            free_slots_lib.take_slot(free_slots, target, now)
            continue
        ungranted.append(request)
        if now > request.latest_start:
            late.append(request)
    for group in regional.groups(dispatcher, usable, late, now):
        own = [*group.usable, *group.paused]
        emitted.extend(shedding.shed_late(dispatcher, own, group.requests, rng))
    late = [request for request in late if request.key in dispatcher.waiting]
    emitted.extend(
        shedding.shed_late(dispatcher, [*usable, *paused], late, rng)
    )
    is_exhausted = dispatcher.is_reduced and not free_slots.targets
    for group in regional.groups(dispatcher, usable, ungranted, now):
        emitted.extend(
            shedding.refuse_without_room(
                dispatcher,
                group.usable,
                group.paused,
                group.requests,
                now,
                rng,
                is_exhausted=is_exhausted,
            )
        )
    emitted.extend(
        shedding.refuse_without_room(
            dispatcher,
            usable,
            paused,
            ungranted,
            now,
            rng,
            is_exhausted=is_exhausted,
        )
    )
    return emitted


def _by_urgency(
    dispatcher: models.Dispatcher, now: float
) -> list[models.Request]:
    in_time: list[models.Request] = []
    late: list[models.Request] = []
    for request in dispatcher.waiting.values():
        (late if now > request.latest_start else in_time).append(request)
    in_time.sort(key=_RANK)
    late.sort(key=_LATE_RANK)
    if fair_shares.is_active(dispatcher):
        return fair_shares.interleave(dispatcher, in_time, late, now)
    return in_time + late


def _in_turn(
    dispatcher: models.Dispatcher,
    free_slots: free_slots_lib.FreeSlots,
    now: float,
) -> abc.Iterable[models.Request]:
    """Return the waiting requests in order, for a decision on a few of them."""
    if len(dispatcher.waiting) > 1 and fair_shares.is_active(dispatcher):
        late = selection.has_room_for_late(free_slots)
        return fair_shares.in_turn(dispatcher, now, late=late)
    return _by_urgency(dispatcher, now)


def is_unavoidably_late(request: models.Request, now: float) -> bool:
    """Return whether a request would be late even if it started now.

    It is assumed to start on an idle target of usual speed.
    """
    return now > request.latest_start


def grant(
    dispatcher: models.Dispatcher,
    request: models.Request,
    target: models.TargetState,
    now: float,
) -> decisions.Grant:
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
    fair_shares.charge(dispatcher, request, now)
    target.requests[request.key] = request
    dispatcher.waiting.pop(request.key, None)
    dispatcher.granted[request.key] = request
    return decisions.Grant(request, request.target)


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
