"""Second sends of requests whose target has turned too slow for them.

Answers targets that turn slow while they run a request: a home sees in the
reports that a run can't end in time any more, and that an idle target could
still answer in time. Such a run gets a second send, if its request may run
twice and the shared budget has room. The answer that comes first counts, and
the other send is cancelled.
"""

from collections import abc
import dataclasses

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import scheduling


def advance(desk: models.Desk, target: models.TargetState, now: float) -> None:
    """Count the work that a target has done since it was last looked at."""
    rate = target.speed
    if len(target.turns) > 1:
        rate /= desk.crowding
    for turn in target.turns.values():
        turn.done += rate * max(0.0, now - turn.counted_at)
        turn.counted_at = now


def second_key(key: models.TurnKey) -> models.TurnKey:
    """Return the key of the second send of a turn, and the other way round."""
    entry, ask = key
    return entry, -ask


def hedge(
    desk: models.Desk,
    turns: abc.Iterable[models.Turn],
    now: float,
    may_repeat: abc.Callable[[], bool],
) -> list[scheduling.Grant]:
    """Grant second sends to the turns that need one.

    Args:
        desk: The desk.
        turns: The turns to look at.
        now: The time.
        may_repeat: Takes one repeat out of the budget, if there is one.
    """
    if desk.waiting:
        return []
    done: list[scheduling.Grant] = []
    for turn in [t for t in turns if _is_overdue(desk, t, now)]:
        second = dataclasses.replace(
            turn,
            key=second_key(turn.key),
            hedged=True,
            tried=turn.tried | {turn.target or ""},
            target=None,
            done=0.0,
            counted_at=now,
        )
        target = scheduling.idle_target(desk, second, now)
        if target is None:
            continue
        if not may_repeat():
            break
        turn.hedged = True
        done.append(scheduling.grant(desk, second, target, now))
    return done


def _is_overdue(desk: models.Desk, turn: models.Turn, now: float) -> bool:
    if turn.hedged or not turn.idempotent:
        return False
    target = desk.targets.get(turn.target or "")
    if target is None or now + turn.work > turn.aim_at:
        return False
    return now + _seconds_left(desk, target, turn, now) > turn.aim_at


def _seconds_left(
    desk: models.Desk,
    target: models.TargetState,
    turn: models.Turn,
    now: float,
) -> float:
    """Return how long a run goes on, with a margin on its work."""
    left = const.SPREAD * turn.work - turn.done
    left = max(left, const.LEAST_WORK_LEFT * turn.work)
    if len(target.turns) > 1:
        left *= desk.crowding
    return estimates.alone_seconds(target, left, now)
