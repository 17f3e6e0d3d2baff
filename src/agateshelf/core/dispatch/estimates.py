"""Estimates how long a request would run on a target.

On shared instances a target's speed changes within fractions of a second, and
a request in progress continues at the new speed. The estimate therefore uses
the last reported speed for `const.SPEED_VALID_SECONDS` and the target's recent
average speed after that.
"""

import math

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models


def record_speed(target: models.TargetState, now: float, speed: float) -> None:
    """Record a reported speed; 1 is the usual speed, less is slower."""
    elapsed = max(0.0, now - target.reported_at)
    decay = math.exp(-elapsed / const.SPEED_DECAY_SECONDS)
    if math.isinf(elapsed):
        decay = 0.0
        target.mean_speed = const.INITIAL_SPEED
    target.mean_speed = decay * target.mean_speed + (1 - decay) * target.speed
    target.speed = min(max(speed, const.MIN_SPEED), const.MAX_SPEED)
    target.reported_at = now


def would_contend(target: models.TargetState, more: int) -> bool:
    """Return whether more requests would cause contention on a target."""
    slots = target.registration.slots
    return target.outstanding + more > max(
        1.0, const.CONTENTION_THRESHOLD * slots
    )


def uncontended_seconds(
    target: models.TargetState, work: float, now: float
) -> float:
    """Return the seconds that work takes on a target without contention."""
    if now < target.warm_at:
        work *= const.WARMUP_FACTOR
    age = max(0.0, now - target.reported_at)
    left = max(0.0, const.SPEED_VALID_SECONDS - age)
    done = left * target.speed
    if done >= work:
        return work / target.speed
    return left + (work - done) / target.mean_speed


def record_run(
    dispatcher: models.Dispatcher, request: models.Request, seconds: float
) -> None:
    """Update the estimates of work and of contention from a finished run.

    The work that a run took follows from the estimate as of its grant, so that
    many runs in flight that end alike raise the estimate no further than one.
    """
    work = dispatcher.work_estimates.get(request.route)
    if work is None or request.uncontended_seconds <= 0:
        return
    # A run reported as longer than that was held up at the entry, not there.
    seconds = min(seconds, request.deadline - request.granted_at)
    ratio = seconds / request.uncontended_seconds
    if request.is_trial:
        dispatcher.work_estimates[request.route] = request.work * ratio
        return
    if request.contended:
        ratio = min(max(ratio, const.MIN_CONTENTION), const.MAX_CONTENTION)
        dispatcher.contention_factor += const.CONTENTION_SMOOTHING * (
            ratio - dispatcher.contention_factor
        )
        return
    measured = min(
        max(request.work * ratio, work / const.WORK_OUTLIER_FACTOR),
        work * const.WORK_OUTLIER_FACTOR,
    )
    dispatcher.work_estimates[request.route] = work + const.WORK_SMOOTHING * (
        measured - work
    )
