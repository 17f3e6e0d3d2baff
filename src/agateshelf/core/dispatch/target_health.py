"""Tracks the health of targets from load reports and request results.

A target may fail some or all of its requests although its health check passes.
Errors therefore raise the cost of choosing a target at once. Consecutive
errors, or a single result `UNREACHABLE` or `MISPLACED`, open its circuit
breaker for a period that doubles each time. After consecutive errors the
breaker then lets a single trial request through at a time, whose result closes
it or opens it again.
"""

import math

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import models


def record_report(
    target: models.TargetState,
    now: float,
    outstanding: int,
    speed: float,
) -> None:
    """Record the load and speed that a target reports."""
    estimates.record_speed(target, now, speed)
    target.untracked = max(0, outstanding - len(target.requests))
    target.unanswered_probes = 0
    target.probed_at = now


def record_ending(
    target: models.TargetState, now: float, ending: models.Ending
) -> bool:
    """Record how a request ended; return whether the breaker opened."""
    _decay(target, now)
    match ending:
        case models.Ending.ANSWERED:
            target.successes += 1
            target.consecutive_errors = 0
            target.next_open_seconds = const.INITIAL_OPEN_SECONDS
            target.open_until = -math.inf
            return False
        case models.Ending.UNREACHABLE | models.Ending.MISPLACED:
            target.errors += 1
            return _open_breaker(target, now)
        case models.Ending.ERROR | models.Ending.REFUSED:
            target.errors += 1
            target.consecutive_errors += 1
            if target.consecutive_errors >= const.ERRORS_TO_OPEN:
                return _open_breaker(target, now)
            return False
        case models.Ending.NEUTRAL:
            return False


def _open_breaker(target: models.TargetState, now: float) -> bool:
    target.open_until = now + target.next_open_seconds
    target.next_open_seconds = min(
        2 * target.next_open_seconds, const.MAX_OPEN_SECONDS
    )
    return True


def error_rate(target: models.TargetState, now: float) -> float:
    """Return the damped share of errors among a target's recent results."""
    _decay(target, now)
    seen = target.errors + target.successes + const.ERROR_PRIOR
    return target.errors / seen


def _decay(target: models.TargetState, now: float) -> None:
    elapsed = now - target.errors_decayed_at
    if elapsed <= 0:
        return
    decay = math.exp(-elapsed / const.ERROR_DECAY_SECONDS)
    target.errors_decayed_at = now
    target.errors *= decay
    target.successes *= decay


def is_unavailable(target: models.TargetState, now: float) -> bool:
    """Return whether a target should get no requests now.

    It does not respond to probes, its breaker is open, or a trial request is in
    flight. The result is ignored in panic mode (`free_slots.usable_targets`).
    """
    if target.unanswered_probes >= const.MAX_UNANSWERED_PROBES:
        return True
    if now < target.open_until:
        return True
    # After the open period one request at a time is sent as a trial.
    on_trial = target.consecutive_errors >= const.ERRORS_TO_OPEN
    return on_trial and bool(target.requests)
