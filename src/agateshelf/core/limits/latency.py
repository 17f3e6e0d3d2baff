"""The usual time of an answer, as a running median."""

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models


def learn(pool: models.Pool, seconds: float) -> None:
    """Move the median a step toward an answer's time."""
    if pool.median == 0:
        pool.median = seconds
        return
    if seconds > pool.median:
        pool.median *= 1 + const.LATENCY_STEP * const.LATENCY_MEDIAN
        return
    pool.median *= 1 - const.LATENCY_STEP * (1 - const.LATENCY_MEDIAN)


def expected(
    limits: models.LimitsState, service: configuration_models.Service
) -> float:
    """Return the usual seconds of an answer; 0 while none is known."""
    pool = limits.pools.get(service.name)
    return pool.median if pool else 0.0
