"""Decides whether a failed call is retried."""

from agateshelf.core import state as core_state
from agateshelf.core.calls import models as call_models
from agateshelf.core.limits import latency
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.retries import budget
from agateshelf.core.retries import const


def may_retry(
    state: core_state.State, now: float, call: call_models.Call
) -> bool:
    """Return whether a retry is safe, useful and within the budget."""
    if not _is_safe(call) or not _is_useful(state, now, call):
        return False
    return budget.may_spend(state.retries, call.service)


def _is_safe(call: call_models.Call) -> bool:
    if call.no_retry:
        return False
    if call.idempotent:
        return True
    return call.verdict is outcome_models.Verdict.DID_NOT_RUN


def _is_useful(
    state: core_state.State, now: float, call: call_models.Call
) -> bool:
    tried = len(call.tried)
    if tried >= const.MAX_ATTEMPTS or tried >= len(call.service.targets):
        return False
    return now + latency.expected(state.limits, call.service) < call.deadline
