"""Bookkeeping of operators' questions that need the store."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import const
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models


def begin(
    state: core_state.State, now: float, run: patch_models.PatchRun
) -> None:
    """Remember a run, and by when its operator must have an answer."""
    state.configuration.patches[run.operation] = run
    at = now + const.PATCH_ANSWER_SECONDS
    timers.schedule(state.timers, at, models.PatchAnswerDue(run.operation))


def ask(
    state: core_state.State,
    run: patch_models.PatchRun,
    body: storage.StoreRequest,
) -> list[effects.Effect]:
    """Send a store request whose answer belongs to a run."""
    number = core_state.next_store_request(state)
    run.request = number
    state.configuration.requests[number] = run.operation
    return [effects.SendStoreRequest(number, body, const.STORE_TIMEOUT_SECONDS)]


def retry_later(
    state: core_state.State, now: float, run: patch_models.PatchRun
) -> None:
    """Have the present step sent again, later after each failure."""
    wait = const.PATCH_RETRY_SECONDS * 2.0 ** min(run.failures, 16)
    wait = min(wait, const.PATCH_RETRY_MAX_SECONDS)
    run.failures += 1
    at = now + wait * state.rng.uniform(0.5, 1.5)
    timers.schedule(state.timers, at, models.PatchStepDue(run.operation))


def end(state: core_state.State, run: patch_models.PatchRun) -> None:
    """Forget a run."""
    state.configuration.patches.pop(run.operation, None)
    if run.request is not None:
        state.configuration.requests.pop(run.request, None)
