"""Refuses waiting requests that can't be served in time."""

from collections import abc
import random

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import decisions
from agateshelf.core.dispatch import fair_shares
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import regional
from agateshelf.core.dispatch import turnover


def refuse_without_room(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    paused: abc.Sequence[models.TargetState],
    ungranted: abc.Sequence[models.Request],
    now: float,
    rng: random.Random,
    *,
    is_exhausted: bool,
) -> list[decisions.Decision]:
    """Refuse requests for which restricted targets leave no room in time.

    Answers the load of a service whose targets name limits below its requests,
    or all ask for a pause, or are in an evacuated failure domain in part. The
    callers are told to come back one after the other, when there is room.

    Args:
        dispatcher: The dispatcher of the service.
        usable: The targets that may get requests now.
        paused: The targets that want no requests now, if none is usable.
        ungranted: Requests that were not granted, the most urgent first; those
            refused meanwhile are left out.
        now: Current time in seconds.
        rng: Random number generator.
        is_exhausted: Whether no slot is free outside evacuated failure domains.
    """
    waiting = [r for r in ungranted if r.key in dispatcher.waiting]
    paced = [target for target in usable if target.pace is not None]
    if not (paced or paused or is_exhausted) or not waiting:
        return []
    cold = sum(target.is_cold for target in paced)
    limited = len(paced) - cold
    if 2 * cold < len(usable):
        cold = 0
    work = sum(request.work for request in waiting) / len(waiting)
    # Without the margins that the choice of a target keeps, some requests would
    # wait for their turn and be refused only then.
    margin = 1.0
    if is_exhausted:
        margin = const.RUN_TIME_MARGIN * dispatcher.contention_factor
    turnovers = [
        turnover.turnover_of(target, work * margin, now)
        for target in (*usable, *paused)
    ]
    if not turnovers:
        return []
    starts = turnover.expected_starts(turnovers)
    start = next(starts)
    refused: list[models.Request] = []
    # Requests that can be in time take all the room while some are refused, so
    # that others would wait for nothing.
    only_in_time = (
        bool(paused) or is_exhausted or dispatcher.next_return_at > now
    )
    for request in waiting:
        end = request.soft_deadline if only_in_time else request.deadline
        if start + request.work * margin > end:
            refused.append(request)
        else:
            start = next(starts)
    gap = 1.0 / sum(1.0 / one.interval for one in turnovers)
    if not paused:
        # An entry that is cut off has a small share of the targets' rates.
        # Others may have room long before.
        start = min(start, now + const.MAX_ROOM_RETRY_AFTER_SECONDS)
    emitted: list[decisions.Decision] = []
    for request in refused:
        del dispatcher.waiting[request.key]
        emitted.append(
            decisions.Refuse(
                request,
                models.Refusal.OVERLOAD,
                turnover.reserve_return(dispatcher, start, gap, now, rng) - now,
                waiting=len(dispatcher.waiting),
                usable=len(usable),
                limited=limited,
                paused=len(paused),
                cold=cold,
            )
        )
    return emitted


def reason_to_refuse(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> models.Refusal | None:
    """Return why a request can't be served; None if it may wait."""
    if not dispatcher.targets:
        return models.Refusal.NO_TARGET
    if request.domains is not None:
        refusal = regional.refusal_of(
            dispatcher, request.domains, request.tried
        )
        if refusal is not None:
            return refusal
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
    if request.is_trial or not request.may_be_trial:
        return False
    if now + request.initial_work > request.deadline:
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


def shed_late(
    dispatcher: models.Dispatcher,
    usable: abc.Sequence[models.TargetState],
    late: list[models.Request],
    rng: random.Random,
) -> list[decisions.Decision]:
    """Refuse late requests beyond what the targets could still serve."""
    slots = sum(_slots_for_late(target) for target in usable)
    limit = int(const.MAX_LATE_PER_SLOT * slots)
    retry_after = const.RETRY_AFTER_SECONDS
    if len(late) > limit and fair_shares.is_active(dispatcher):
        in_time = len(dispatcher.waiting) - len(late)
        retry_after = fair_shares.seconds_until_room(in_time, late, usable)
    return [
        refuse(
            dispatcher,
            request,
            models.Refusal.OVERLOAD,
            usable,
            rng,
            retry_after,
        )
        for request in late[limit:]
    ]


def _slots_for_late(target: models.TargetState) -> float:
    slots = target.registration.slots
    if target.pace is None:
        return slots
    return min(slots, target.pace.rate)


def refuse(
    dispatcher: models.Dispatcher,
    request: models.Request,
    reason: models.Refusal,
    usable: abc.Sequence[models.TargetState],
    rng: random.Random,
    retry_after: float = const.RETRY_AFTER_SECONDS,
) -> decisions.Refuse:
    """Refuse a waiting request, with a spread time to return after."""
    del dispatcher.waiting[request.key]
    spread = 1 + const.RETRY_AFTER_JITTER * rng.uniform(-1, 1)
    return decisions.Refuse(
        request,
        reason,
        retry_after * spread,
        waiting=len(dispatcher.waiting),
        usable=len(usable),
    )
