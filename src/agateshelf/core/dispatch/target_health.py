"""Tracks the health of targets from load reports and request results.

A target may fail some or all of its requests although its health check passes.
Errors therefore raise the cost of choosing a target at once. Consecutive
errors, or a single failure to reach it, eject it for a period that doubles each
time. After consecutive errors a single trial request decides whether it
returns.
"""

import math

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models


def record_report(
    target: models.TargetState,
    now: float,
    held: int,
    speed: float,
) -> None:
    """Record the load and speed that a target reports."""
    estimates.record_speed(target, now, speed)
    target.untracked = max(0, held - len(target.requests))
    target.unanswered_probes = 0


def record_ending(
    target: models.TargetState, now: float, ending: models.Ending
) -> bool:
    """Record how a request ended; return whether the target was ejected."""
    _decay(target, now)
    match ending:
        case models.Ending.ANSWERED:
            target.successes += 1
            target.consecutive_errors = 0
            target.ejection_seconds = const.INITIAL_EJECTION_SECONDS
            target.ejected_until = -math.inf
            return False
        case models.Ending.UNREACHABLE | models.Ending.MISPLACED:
            target.errors += 1
            return _eject(target, now)
        case models.Ending.ERROR | models.Ending.REFUSED:
            target.errors += 1
            target.consecutive_errors += 1
            if target.consecutive_errors >= const.ERRORS_TO_EJECT:
                return _eject(target, now)
            return False
        case models.Ending.NEUTRAL:
            return False


def _eject(target: models.TargetState, now: float) -> bool:
    target.ejected_until = now + target.ejection_seconds
    target.ejection_seconds = min(
        2 * target.ejection_seconds, const.MAX_EJECTION_SECONDS
    )
    return True


def error_rate(target: models.TargetState, now: float) -> float:
    """Return the share of errors among a target's recent results."""
    _decay(target, now)
    seen = target.errors + target.successes + const.ERROR_PRIOR
    return target.errors / seen


def _decay(target: models.TargetState, now: float) -> None:
    elapsed = now - target.decayed_at
    if elapsed <= 0:
        return
    decay = math.exp(-elapsed / const.ERROR_DECAY_SECONDS)
    target.decayed_at = now
    target.errors *= decay
    target.successes *= decay


def is_ejected(target: models.TargetState, now: float) -> bool:
    """Return whether a target currently gets no requests."""
    if target.unanswered_probes >= const.MAX_UNANSWERED_PROBES:
        return True
    if now < target.ejected_until:
        return True
    # After the ejection one request at a time is sent as a trial.
    on_trial = target.consecutive_errors >= const.ERRORS_TO_EJECT
    return on_trial and bool(target.requests)
