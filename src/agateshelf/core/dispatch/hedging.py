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
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import scheduling


def update_progress(
    desk: models.Dispatcher, target: models.TargetState, now: float
) -> None:
    """Add the work that a target has done since the last update."""
    rate = target.speed
    if len(target.requests) > 1:
        rate /= desk.contention_factor
    for turn in target.requests.values():
        turn.work_done += rate * max(0.0, now - turn.work_updated_at)
        turn.work_updated_at = now


def hedge_key(key: models.RequestKey) -> models.RequestKey:
    """Return the key of a request's hedge; given that, the original key."""
    entry, ask = key
    return entry, -ask


def hedge(
    desk: models.Dispatcher,
    turns: abc.Iterable[models.Request],
    now: float,
    may_repeat: abc.Callable[[], bool],
) -> list[scheduling.Grant]:
    """Grant a second attempt to each overdue request.

    No request is hedged while others wait for a target.

    Args:
        desk: The dispatcher of the service.
        turns: The granted requests to check.
        now: Current time in seconds.
        may_repeat: Consumes one send of the retry budget; returns whether one
            was left.
    """
    if desk.waiting:
        return []
    done: list[scheduling.Grant] = []
    for turn in [t for t in turns if _is_overdue(desk, t, now)]:
        second = dataclasses.replace(
            turn,
            key=hedge_key(turn.key),
            hedged=True,
            tried=turn.tried | {turn.target or ""},
            target=None,
            work_done=0.0,
            work_updated_at=now,
        )
        target = scheduling.idle_target(desk, second, now)
        if target is None:
            continue
        if not may_repeat():
            break
        turn.hedged = True
        done.append(scheduling.grant(desk, second, target, now))
    return done


def _is_overdue(
    desk: models.Dispatcher, turn: models.Request, now: float
) -> bool:
    if turn.hedged or not turn.idempotent:
        return False
    target = desk.targets.get(turn.target or "")
    if target is None or now + turn.work > turn.soft_deadline:
        return False
    return now + _seconds_left(desk, target, turn, now) > turn.soft_deadline


def _seconds_left(
    desk: models.Dispatcher,
    target: models.TargetState,
    turn: models.Request,
    now: float,
) -> float:
    """Return the seconds until a run ends, with a margin on its work."""
    left = const.RUN_TIME_MARGIN * turn.work - turn.work_done
    left = max(left, const.MIN_WORK_LEFT * turn.work)
    if len(target.requests) > 1:
        left *= desk.contention_factor
    return estimates.uncontended_seconds(target, left, now)
