"""Estimates the median latency of a pool's targets."""

from agateshelf.core import events
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def update(
    pool: models.Pool, seconds: float, load: events.TargetLoad | None
) -> None:
    """Move the median estimate one step toward a response's latency.

    While requests are queued, latency reflects the queue rather than the
    service. Such responses move the estimate 25 times less; otherwise it would
    grow with the overload, and with it the time that calls may be queued.
    """
    if pool.median_latency == 0:
        pool.median_latency = seconds
        return
    step = const.LATENCY_STEP
    if pool.queue.length > 0 or (load is not None and load.queued > 0):
        step = const.LATENCY_STEP_QUEUED
    if seconds > pool.median_latency:
        pool.median_latency *= 1 + step
    else:
        pool.median_latency *= 1 - step


def expected(
    limits: models.LimitsState, service: configuration_models.Service
) -> float:
    """Return the median latency in seconds, or 0 while it is unknown."""
    pool = limits.pools.get(service.name)
    return pool.median_latency if pool else 0.0
