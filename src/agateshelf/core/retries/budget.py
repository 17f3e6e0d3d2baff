"""Retry budget of each service, also used for hedges.

Each admitted call earns its service's `retry_share` of a token, up to
`MAX_TOKENS`; each extra attempt costs one token. `INITIAL_TOKENS` are granted
in advance and repaid by the first calls. Over its lifetime an entry therefore
starts at most `max(retry_share * calls, INITIAL_TOKENS)` extra attempts for a
service, and over any period at most `MAX_TOKENS` more than the share.
"""

from collections import abc

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.retries import const
from agateshelf.core.retries import models


def earn(
    retries: models.RetriesState, service: configuration_models.Service
) -> None:
    """Credit a service's budget for one admitted call."""
    budget = _budget_of(retries, service)
    if budget.advance > 0:
        budget.advance -= service.retry_share
        return
    earned = budget.tokens + service.retry_share
    budget.tokens = min(const.MAX_TOKENS, earned)


def may_spend(
    retries: models.RetriesState, service: configuration_models.Service
) -> bool:
    """Return whether a service's budget allows another extra attempt."""
    if service.retry_share == 0:
        return False
    return _budget_of(retries, service).tokens >= 1


def spend(
    retries: models.RetriesState, service: configuration_models.Service
) -> None:
    """Charge a service's budget for one extra attempt."""
    _budget_of(retries, service).tokens -= 1


def drop_others(
    retries: models.RetriesState, services: abc.Container[str]
) -> None:
    """Drop the budgets of all services except the given ones."""
    kept = {k: v for k, v in retries.budgets.items() if k in services}
    retries.budgets = kept


def _budget_of(
    retries: models.RetriesState, service: configuration_models.Service
) -> models.Budget:
    budget = retries.budgets.get(service.name)
    if budget is None:
        budget = models.Budget()
        retries.budgets[service.name] = budget
    return budget
