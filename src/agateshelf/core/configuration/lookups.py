"""What became of a patch, and who changed what: read from the store."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core.configuration import const
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results
from agateshelf.core.configuration import runs

_DETAIL_LOST = "Another patch made the version that it would have made."


def on_lookup(
    state: core_state.State, now: float, event: events.PatchLookupRequested
) -> list[effects.Effect]:
    """Begin to look up a patch by its identifier."""
    run = _create_run(event.operation, event.patch_id)
    run.limit = const.MAX_HISTORY_RECORDS
    return _begin(state, now, run)


def on_history(
    state: core_state.State, now: float, event: events.HistoryRequested
) -> list[effects.Effect]:
    """Begin to read the latest changes."""
    run = _create_run(event.operation, None)
    run.limit = max(1, min(event.limit, const.MAX_HISTORY_RECORDS))
    return _begin(state, now, run)


def _create_run(operation: int, patch_id: str | None) -> patch_models.PatchRun:
    return patch_models.PatchRun(
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


def _begin(
    state: core_state.State, now: float, run: patch_models.PatchRun
) -> list[effects.Effect]:
    cfg = state.configuration
    if not cfg.has_store or len(cfg.patches) >= const.MAX_PATCHES_UNDER_WAY:
        return [_unknown(run)]
    runs.begin(state, now, run)
    return send_step(state, run)


def _unknown(run: patch_models.PatchRun) -> effects.Effect:
    if run.reads_history:
        return effects.AnswerHistory(run.operation, None)
    result = results.NotKnownYet(run.patch_id)
    return effects.AnswerPatch(run.operation, result)


def send_step(
    state: core_state.State, run: patch_models.PatchRun
) -> list[effects.Effect]:
    """Send the store request of the step that a run is at."""
    if run.step is patch_models.Step.LOOK_UP:
        return runs.ask(state, run, storage.Read(const.KEY_HEAD))
    body = storage.Range(
        const.KEY_HISTORY_PREFIX, limit=const.MAX_HISTORY_RECORDS
    )
    return runs.ask(state, run, body)


def on_answer(
    state: core_state.State,
    now: float,
    run: patch_models.PatchRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Go on with a question after the store's answer."""
    match answer:
        case storage.Found() | storage.NotFound():
            return _on_head(state, now, run, answer)
        case storage.RangePage():
            return _on_history(state, run, answer)
        case _:
            runs.retry_later(state, now, run)
            return []


def _on_head(
    state: core_state.State,
    now: float,
    run: patch_models.PatchRun,
    answer: storage.Found | storage.NotFound,
) -> list[effects.Effect]:
    run.head = records.create_empty_head()
    if isinstance(answer, storage.Found):
        try:
            run.head = records.decode_head(answer.key_value.value)
        except records.RecordError:
            runs.retry_later(state, now, run)
            return []
    version = records.accepted_version(run.head, run.patch_id)
    if not run.reads_history and version is not None:
        return _answer(state, run, results.Accepted(version))
    run.step = patch_models.Step.SCAN_HISTORY
    return send_step(state, run)


def _on_history(
    state: core_state.State,
    run: patch_models.PatchRun,
    answer: storage.RangePage,
) -> list[effects.Effect]:
    assert run.head is not None
    decoded = (records.decode_history(e.value) for e in answer.key_values)
    found = [record for record in decoded if record is not None]
    chain = records.accepted_history(run.head, found)
    if run.reads_history:
        runs.end(state, run)
        shown = tuple(chain[: run.limit])
        return [effects.AnswerHistory(run.operation, shown)]
    return _answer(state, run, _result_of(run, found, chain))


def _result_of(
    run: patch_models.PatchRun,
    found: list[results.HistoryRecord],
    chain: list[results.HistoryRecord],
) -> results.PatchResult:
    """Return what the records prove about a patch, and no more."""
    for record in chain:
        if record.patch_id == run.patch_id:
            return results.Accepted(record.version)
    settled = {record.version for record in chain}
    begun = [r for r in found if r.patch_id == run.patch_id]
    if not begun:
        return results.NotFound(run.patch_id)
    if all(record.version in settled for record in begun):
        return results.Refused(_DETAIL_LOST)
    return results.NotKnownYet(run.patch_id)


def _answer(
    state: core_state.State,
    run: patch_models.PatchRun,
    result: results.PatchResult,
) -> list[effects.Effect]:
    runs.end(state, run)
    return [effects.AnswerPatch(run.operation, result)]


def on_answer_due(
    state: core_state.State, run: patch_models.PatchRun
) -> list[effects.Effect]:
    """Tell an operator that the store keeps silent."""
    runs.end(state, run)
    return [_unknown(run)]
