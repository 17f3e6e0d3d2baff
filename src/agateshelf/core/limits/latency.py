"""The usual time of an answer, as a running median."""

from agateshelf.core import events
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def learn(
    pool: models.Pool, seconds: float, load: events.TargetLoad | None
) -> None:
    """Move the median a step toward an answer's time.

    While calls queue, answers tell of the queue more than of the service: they
    move the median by far less, or it would grow with the overload and with it
    the time that calls may wait.
    """
    if pool.median == 0:
        pool.median = seconds
        return
    step = const.LATENCY_STEP
    if pool.queue.length > 0 or (load is not None and load.queued > 0):
        step = const.LATENCY_STEP_QUEUED
    if seconds > pool.median:
        pool.median *= 1 + step
    else:
        pool.median *= 1 - step


def expected(
    limits: models.LimitsState, service: configuration_models.Service
) -> float:
    """Return the usual seconds of an answer; 0 while none is known."""
    pool = limits.pools.get(service.name)
    return pool.median if pool else 0.0
