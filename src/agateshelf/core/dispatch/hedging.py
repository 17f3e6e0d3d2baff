"""Hedges requests whose target has become too slow to respond in time.

A target may slow down while it runs a request. The owner sees in the load
reports that the run can no longer end in time and that an idle target could
still respond in time. It then grants the request a second attempt, if the
request is idempotent and the shared retry budget allows it. The first response
wins, and the other attempt is cancelled.
"""

from collections import abc
import dataclasses

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import decisions
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import scheduling
from agateshelf.core.dispatch import selection


def update_progress(
    dispatcher: models.Dispatcher, target: models.TargetState, now: float
) -> None:
    """Add the work that a target has done since the last update."""
    rate = target.speed
    if len(target.requests) > 1:
        rate /= dispatcher.contention_factor
    for request in target.requests.values():
        request.work_done += rate * max(0.0, now - request.work_updated_at)
        request.work_updated_at = now


def hedge_key(key: models.RequestKey) -> models.RequestKey:
    """Return the key of a request's hedge, or of the request for a hedge."""
    entry, number = key
    return entry, -number


def hedge(
    dispatcher: models.Dispatcher,
    requests: abc.Iterable[models.Request],
    now: float,
    try_consume_retry: abc.Callable[[], bool],
) -> list[decisions.Grant]:
    """Grant a second attempt to each request that is expected to be late.

    No request is hedged while others wait for a target.

    Args:
        dispatcher: The dispatcher of the service.
        requests: The granted requests to check.
        now: Current time in seconds.
        try_consume_retry: Consumes one attempt of the retry budget; returns
            whether one was left.
    """
    if dispatcher.waiting:
        return []
    emitted: list[decisions.Grant] = []
    for request in [
        request
        for request in requests
        if _is_expected_late(dispatcher, request, now)
    ]:
        second_request = dataclasses.replace(
            request,
            key=hedge_key(request.key),
            hedged=True,
            tried=request.tried | {request.target or ""},
            target=None,
            work_done=0.0,
            work_updated_at=now,
        )
        target = selection.idle_target(dispatcher, second_request, now)
        if target is None:
            continue
        if not try_consume_retry():
            break
        request.hedged = True
        emitted.append(
            scheduling.grant(dispatcher, second_request, target, now)
        )
    return emitted


def _is_expected_late(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> bool:
    if request.hedged or not request.idempotent:
        return False
    target = dispatcher.targets.get(request.target or "")
    if target is None or now + request.work > request.soft_deadline:
        return False
    return (
        now + _seconds_left(dispatcher, target, request, now)
        > request.soft_deadline
    )


def _seconds_left(
    dispatcher: models.Dispatcher,
    target: models.TargetState,
    request: models.Request,
    now: float,
) -> float:
    """Return the seconds until a run ends, with a margin on its work."""
    left = const.RUN_TIME_MARGIN * request.work - request.work_done
    left = max(left, const.MIN_WORK_LEFT * request.work)
    if len(target.requests) > 1:
        left *= dispatcher.contention_factor
    return estimates.uncontended_seconds(target, left, now)
