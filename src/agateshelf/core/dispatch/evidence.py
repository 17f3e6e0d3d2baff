"""Tracks the health of targets from load reports and request results.

A target may fail some or all of its requests although its health check passes.
Errors therefore raise the cost of choosing a target at once, consecutive errors
eject it for a period that doubles each time, and a single trial request decides
whether it returns.
"""

import math

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models


def learn_report(
    target: models.TargetState,
    now: float,
    held: int,
    speed: float,
) -> None:
    """Record the load and speed that a target reports."""
    estimates.learn_speed(target, now, speed)
    target.foreign = max(0, held - len(target.turns))
    target.unanswered = 0


def learn_end(
    target: models.TargetState, now: float, ending: models.Ending
) -> bool:
    """Record how a request ended; return whether the target was ejected."""
    _decay(target, now)
    match ending:
        case models.Ending.ANSWERED:
            target.answers += 1
            target.errors_in_row = 0
            target.bar_seconds = const.INITIAL_EJECTION_SECONDS
            target.barred_until = -math.inf
            return False
        case models.Ending.UNREACHABLE | models.Ending.MISPLACED:
            target.errors += 1
            return _bar(target, now)
        case models.Ending.ERROR | models.Ending.REFUSED:
            target.errors += 1
            target.errors_in_row += 1
            if target.errors_in_row >= const.ERRORS_TO_EJECT:
                return _bar(target, now)
            return False
        case models.Ending.NEUTRAL:
            return False


def _bar(target: models.TargetState, now: float) -> bool:
    target.barred_until = now + target.bar_seconds
    target.bar_seconds = min(2 * target.bar_seconds, const.MAX_EJECTION_SECONDS)
    return True


def error_share(target: models.TargetState, now: float) -> float:
    """Return the share of errors among a target's recent results."""
    _decay(target, now)
    seen = target.errors + target.answers + const.ERROR_PRIOR
    return target.errors / seen


def _decay(target: models.TargetState, now: float) -> None:
    passed = now - target.counted_at
    if passed <= 0:
        return
    kept = math.exp(-passed / const.ERROR_DECAY_SECONDS)
    target.counted_at = now
    target.errors *= kept
    target.answers *= kept


def is_barred(target: models.TargetState, now: float) -> bool:
    """Return whether a target currently gets no requests."""
    if target.unanswered >= const.MAX_UNANSWERED_PROBES:
        return True
    if now < target.barred_until:
        return True
    # After the ejection one request at a time is sent as a trial.
    on_trial = target.errors_in_row >= const.ERRORS_TO_EJECT
    return on_trial and bool(target.turns)
