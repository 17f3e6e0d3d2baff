"""Tracking, store requests and retries of operations on the store."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import const
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models


def start(
    state: core_state.State, now: float, run: patch_models.OperationRun
) -> None:
    """Register a run and schedule the time by which it must be answered."""
    state.configuration.runs[run.operation] = run
    at = now + const.PATCH_ANSWER_SECONDS
    timers.schedule(state.timers, at, models.PatchAnswerDue(run.operation))


def send_request(
    state: core_state.State,
    run: patch_models.OperationRun,
    body: storage.StoreRequest,
) -> list[effects.Effect]:
    """Send a store request on behalf of a run."""
    number = core_state.next_store_request(state)
    run.request = number
    state.configuration.run_requests[number] = run.operation
    return [effects.SendStoreRequest(number, body, const.STORE_TIMEOUT_SECONDS)]


def schedule_retry(
    state: core_state.State, now: float, run: patch_models.OperationRun
) -> None:
    """Schedule a retry of the current step with exponential backoff."""
    wait = const.PATCH_RETRY_SECONDS * 2.0 ** min(run.failures, 16)
    wait = min(wait, const.PATCH_RETRY_MAX_SECONDS)
    run.failures += 1
    at = now + wait * state.rng.uniform(0.5, 1.5)
    timers.schedule(state.timers, at, models.PatchStepDue(run.operation))


def remove(state: core_state.State, run: patch_models.OperationRun) -> None:
    """Remove a run; a later answer to its request is ignored."""
    state.configuration.runs.pop(run.operation, None)
    if run.request is not None:
        state.configuration.run_requests.pop(run.request, None)
