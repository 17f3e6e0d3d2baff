"""Retry budget of a service, shared by all entries.

Impatient callers and failing targets would otherwise multiply each other's
load. In any window, the retries and hedges of a service are limited to a share
of its requests plus a fixed slack. The owner counts them for all entries. Its
successor, which starts with empty counts, has a separate part of the slack, and
the entries that reach no owner share another. The total thus also holds while
owners change.
"""

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models


def record_request(
    window: models.RetryWindow, bounds: models.Bounds, now: float
) -> None:
    """Count the first attempt of a request."""
    _expire(window, bounds, now)
    window.requests.append(now)


def may_retry(
    window: models.RetryWindow, bounds: models.Bounds, now: float, slack: float
) -> bool:
    """Return whether one more retry or hedge is within the budget.

    The budget is consumed by `record_retry`.

    Args:
        window: Attempts counted so far.
        bounds: Bounds set by the deployment's settings.
        now: Current time in seconds.
        slack: Retries allowed beyond the share of the requests.
    """
    _expire(window, bounds, now)
    share = bounds.retry_share * len(window.requests)
    return len(window.retries) + 1 <= share + slack


def record_retry(window: models.RetryWindow, now: float) -> None:
    """Count a retry or a hedge."""
    window.retries.append(now)


def owner_slack(bounds: models.Bounds) -> float:
    """Return the retry slack of an owner."""
    return bounds.retry_slack / const.RETRY_SLACK_PARTS


def fallback_slack(bounds: models.Bounds, entries: int) -> float:
    """Return the retry slack of one entry that reaches no owner."""
    return bounds.retry_slack / const.RETRY_SLACK_PARTS / max(1, entries)


def _expire(
    window: models.RetryWindow, bounds: models.Bounds, now: float
) -> None:
    oldest = now - bounds.retry_window_seconds
    for times in (window.requests, window.retries):
        while times and times[0] < oldest:
            times.popleft()
