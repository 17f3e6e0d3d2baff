"""Reads the outcome of a patch and the history of changes from the store."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.configuration import const
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results
from agateshelf.core.configuration import runs

_DETAIL_SUPERSEDED = (
    "Another patch was accepted as the version that this one was to create."
)


def on_lookup(
    state: core_state.State, now: float, event: events.PatchLookupRequested
) -> list[effects.Effect]:
    """Start to look up the outcome of a patch by its identifier."""
    run = _create_run(event.operation, event.patch_id)
    run.limit = const.MAX_HISTORY_RECORDS
    return _start(state, now, run)


def on_history(
    state: core_state.State, now: float, event: events.HistoryRequested
) -> list[effects.Effect]:
    """Start to read the latest accepted changes."""
    run = _create_run(event.operation, None)
    run.limit = max(1, min(event.limit, const.MAX_HISTORY_RECORDS))
    return _start(state, now, run)


def _create_run(
    operation: int, patch_id: str | None
) -> patch_models.OperationRun:
    return patch_models.OperationRun(
        operation=operation,
        patch_id=patch_id or "",
        base_version=0,
        parts=None,
        author="",
        reason="",
        at=0.0,
        step=patch_models.Step.LOOK_UP,
        reads_history=patch_id is None,
    )


def _start(
    state: core_state.State, now: float, run: patch_models.OperationRun
) -> list[effects.Effect]:
    cfg = state.configuration
    if not cfg.has_store or len(cfg.runs) >= const.MAX_OPERATIONS:
        return [_unknown_answer(run)]
    runs.start(state, now, run)
    return send_step(state, run)


def _unknown_answer(run: patch_models.OperationRun) -> effects.Effect:
    if run.reads_history:
        return effects.AnswerHistory(run.operation, None)
    result = results.OutcomeUnknown(run.patch_id)
    return effects.AnswerPatch(run.operation, result)


def send_step(
    state: core_state.State, run: patch_models.OperationRun
) -> list[effects.Effect]:
    """Send the store request of the current step of a run."""
    if run.step is patch_models.Step.LOOK_UP:
        return runs.send_request(state, run, storage.Read(const.KEY_HEAD))
    body = storage.Range(
        const.KEY_HISTORY_PREFIX, limit=const.MAX_HISTORY_RECORDS
    )
    return runs.send_request(state, run, body)


def on_answer(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Advance a lookup by an answer of the store."""
    match answer:
        case storage.Found() | storage.NotFound():
            return _on_head(state, now, run, answer)
        case storage.RangePage():
            return _on_history(state, run, answer)
        case _:
            runs.schedule_retry(state, now, run)
            return []


def _on_head(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    answer: storage.Found | storage.NotFound,
) -> list[effects.Effect]:
    run.head = records.create_empty_head()
    if isinstance(answer, storage.Found):
        try:
            run.head = records.decode_head(answer.key_value.value)
        except records.RecordError:
            runs.schedule_retry(state, now, run)
            return []
    version = records.accepted_version(run.head, run.patch_id)
    if not run.reads_history and version is not None:
        return _answer(state, run, results.Accepted(version))
    run.step = patch_models.Step.SCAN_HISTORY
    return send_step(state, run)


def _on_history(
    state: core_state.State,
    run: patch_models.OperationRun,
    answer: storage.RangePage,
) -> list[effects.Effect]:
    assert run.head is not None
    decoded = (records.decode_history(e.value) for e in answer.key_values)
    found = [record for record in decoded if record is not None]
    chain = records.accepted_history(run.head, found)
    if run.reads_history:
        runs.remove(state, run)
        shown = tuple(chain[: run.limit])
        return [effects.AnswerHistory(run.operation, shown)]
    return _answer(state, run, _result_of(run, found, chain))


def _result_of(
    run: patch_models.OperationRun,
    found: list[results.HistoryRecord],
    chain: list[results.HistoryRecord],
) -> results.PatchResult:
    """Return the outcome of a patch that the history records prove.

    A record alone doesn't prove that its patch was accepted, since patches
    that lost a race leave theirs. A patch is refused for certain only once
    another one was accepted as each version that it tried to create.
    """
    for record in chain:
        if record.patch_id == run.patch_id:
            return results.Accepted(record.version)
    settled = {record.version for record in chain}
    begun = [r for r in found if r.patch_id == run.patch_id]
    if not begun:
        return results.NotFound(run.patch_id)
    if all(record.version in settled for record in begun):
        return results.Refused(_DETAIL_SUPERSEDED)
    return results.OutcomeUnknown(run.patch_id)


def _answer(
    state: core_state.State,
    run: patch_models.OperationRun,
    result: results.PatchResult,
) -> list[effects.Effect]:
    runs.remove(state, run)
    return [effects.AnswerPatch(run.operation, result)]


def on_answer_due(
    state: core_state.State, run: patch_models.OperationRun
) -> list[effects.Effect]:
    """End a lookup that the store has not answered in time."""
    runs.remove(state, run)
    return [_unknown_answer(run)]
