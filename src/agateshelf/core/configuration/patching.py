"""Writes patches to the store and reports their outcome.

The steps are: read the head, write the new parts, write the history record,
replace the head by compare-and-swap. Only the last step makes the patch
accepted. Each step is idempotent: parts are addressed by content, the history
record by the patch identifier, and the compare-and-swap expects the version of
the head's key that was read. If it gets no answer it is sent again; it either
takes effect or conflicts, and after a conflict the head shows which patch was
accepted.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import adoption
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results
from agateshelf.core.configuration import runs
from agateshelf.core.configuration import store_sync

_DETAIL_TOO_MANY = (
    "Too many operations are in progress on this entry; retry later."
)
_DETAIL_NO_STORE = "This entry has no configuration store."
_DETAIL_STORE_UNAVAILABLE = (
    "The store did not answer in time; nothing was changed."
)
_DETAIL_BASE_NOT_ACTIVE = (
    "The base version is not active on this entry; retry later."
)
_DETAIL_UNREADABLE = "The configuration head in the store can't be decoded."
_DETAIL_DIVERGED = "The store holds different content for the active version."
_DETAIL_NOT_LOWER = "The store does not hold a lower version than this entry."
_DETAIL_TOO_LARGE = (
    f"The document of a service or team exceeds {const.MAX_PART_BYTES} bytes."
)


def on_requested(
    state: core_state.State, now: float, event: events.PatchRequested
) -> list[effects.Effect]:
    """Start to write a patch to the store."""
    run = patch_models.OperationRun(
        operation=event.operation,
        patch_id=event.patch_id,
        base_version=event.base_version,
        parts=event.parts,
        author=event.author,
        reason=event.reason,
        at=event.at,
        step=patch_models.Step.READ_HEAD,
    )
    return _start(state, now, run)


def on_republish(
    state: core_state.State, now: float, event: events.RepublishRequested
) -> list[effects.Effect]:
    """Start to write the active version over a lower head."""
    active = state.configuration.active
    if active is None:
        refusal = results.Refused(_DETAIL_BASE_NOT_ACTIVE)
        return [effects.AnswerPatch(event.operation, refusal)]
    run = patch_models.OperationRun(
        operation=event.operation,
        patch_id=event.patch_id,
        base_version=active.version,
        parts=tuple(active.parts.values()),
        author=event.author,
        reason=event.reason,
        at=event.at,
        step=patch_models.Step.READ_HEAD,
        republishes=True,
    )
    return _start(state, now, run)


def _start(
    state: core_state.State, now: float, run: patch_models.OperationRun
) -> list[effects.Effect]:
    cfg = state.configuration
    if not cfg.has_store:
        return _refuse(run, _DETAIL_NO_STORE)
    if len(cfg.runs) >= const.MAX_OPERATIONS:
        return _refuse(run, _DETAIL_TOO_MANY)
    if any(len(part.value) > const.MAX_PART_BYTES for part in run.parts or ()):
        return _refuse(run, _DETAIL_TOO_LARGE)
    runs.start(state, now, run)
    return send_step(state, run)


def _refuse(
    run: patch_models.OperationRun, detail: str
) -> list[effects.Effect]:
    return [effects.AnswerPatch(run.operation, results.Refused(detail))]


def send_step(
    state: core_state.State, run: patch_models.OperationRun
) -> list[effects.Effect]:
    """Send the store request of the current step of a run."""
    return runs.send_request(state, run, _request_of(run))


def _request_of(run: patch_models.OperationRun) -> storage.StoreRequest:
    match run.step:
        case patch_models.Step.WRITE_PARTS:
            value = run.unwritten[-1].value
            key = records.part_key(content.digest_of(value))
            return storage.CompareAndSwap(key, 0, value)
        case patch_models.Step.WRITE_HISTORY:
            return _history_write(run)
        case patch_models.Step.SWAP_HEAD:
            return _head_write(run)
        case _:
            return storage.Read(const.KEY_HEAD)


def _history_write(run: patch_models.OperationRun) -> storage.CompareAndSwap:
    assert run.proposed is not None
    assert run.head is not None
    record = results.HistoryRecord(
        version=run.proposed.version,
        patch_id=run.patch_id,
        previous_patch_id=records.latest_patch_id(run.head),
        author=run.author,
        reason=run.reason,
        at=run.at,
    )
    key = records.history_key(record.version, record.patch_id)
    return storage.CompareAndSwap(key, 0, records.encode_history(record))


def _head_write(run: patch_models.OperationRun) -> storage.CompareAndSwap:
    assert run.proposed is not None
    assert run.head is not None
    head = records.next_head(run.head, run.proposed, run.patch_id)
    value = records.encode_head(head)
    return storage.CompareAndSwap(const.KEY_HEAD, run.head_key_version, value)


def on_answer(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Advance a patch by the store's answer to its current step."""
    if isinstance(answer, storage.Rejected | storage.NoAnswer):
        return _on_no_answer(state, now, run, answer)
    match run.step:
        case patch_models.Step.READ_HEAD | patch_models.Step.READ_BACK:
            return _on_head(state, now, run, answer)
        case patch_models.Step.WRITE_PARTS:
            run.unwritten.pop()
            return _write_next(state, run)
        case patch_models.Step.WRITE_HISTORY:
            run.failures = 0
            run.step = patch_models.Step.SWAP_HEAD
            return send_step(state, run)
        case _:
            return _on_swap(state, now, run, answer)


def _on_no_answer(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    swapping = run.step is patch_models.Step.SWAP_HEAD
    if swapping and isinstance(answer, storage.NoAnswer):
        run.swap_unconfirmed = True
    runs.schedule_retry(state, now, run)
    return []


def _on_head(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    head = records.create_empty_head()
    key_version = 0
    if isinstance(answer, storage.Found):
        key_version = answer.key_value.version
        try:
            head = records.decode_head(answer.key_value.value)
        except records.RecordError:
            return _finish(state, run, results.Refused(_DETAIL_UNREADABLE))
    if key_version < run.conflict_version:
        # A stale read: it does not show the head that the compare-and-swap
        # conflicted with.
        runs.schedule_retry(state, now, run)
        return []
    emitted = store_sync.check_head(state, head)
    return [*emitted, *_evaluate_head(state, now, run, head, key_version)]


def _evaluate_head(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    head: patch_models.Head,
    key_version: int,
) -> list[effects.Effect]:
    """Continue or end a patch according to the head that was read."""
    version = records.accepted_version(head, run.patch_id)
    if version is not None:
        return _on_accepted(state, run, version)
    if run.republishes:
        return _evaluate_republish(state, run, head, key_version)
    if head.version < state.cfg.version:
        return _on_lower_head(state, now, run)
    if head.version != run.base_version:
        return _finish(state, run, results.VersionConflict(head.version))
    if run.parts is None:
        return _finish(state, run, results.Refused(_DETAIL_BASE_NOT_ACTIVE))
    active = state.configuration.active
    if (
        active
        and active.version == head.version
        and active.digest != head.digest
    ):
        return _finish(state, run, results.Refused(_DETAIL_DIVERGED))
    new = content.create_content(run.base_version + 1, run.parts)
    return _write_version(state, run, head, key_version, new)


def _on_lower_head(
    state: core_state.State, now: float, run: patch_models.OperationRun
) -> list[effects.Effect]:
    """Retry, since reads may be stale; refuse if the head stays lower.

    A head that stays below the active version means that the store was rolled
    back, such as by a restored backup.
    """
    if (
        run.failures >= const.MAX_LOWER_HEAD_RETRIES
        and not run.swap_unconfirmed
    ):
        return _finish(state, run, results.Refused(_refusal_detail(state)))
    runs.schedule_retry(state, now, run)
    return []


def _evaluate_republish(
    state: core_state.State,
    run: patch_models.OperationRun,
    head: patch_models.Head,
    key_version: int,
) -> list[effects.Effect]:
    active = state.configuration.active
    if active is None or head.version >= active.version:
        return _finish(state, run, results.Refused(_DETAIL_NOT_LOWER))
    return _write_version(state, run, head, key_version, active)


def _write_version(
    state: core_state.State,
    run: patch_models.OperationRun,
    head: patch_models.Head,
    key_version: int,
    new: content.Content,
) -> list[effects.Effect]:
    run.head = head
    run.head_key_version = key_version
    run.proposed = new
    run.unwritten = list(content.changed_parts(head.manifest, new))
    return _write_next(state, run)


def _write_next(
    state: core_state.State, run: patch_models.OperationRun
) -> list[effects.Effect]:
    run.failures = 0
    run.step = patch_models.Step.WRITE_HISTORY
    if run.unwritten:
        run.step = patch_models.Step.WRITE_PARTS
    return send_step(state, run)


def _on_swap(
    state: core_state.State,
    now: float,
    run: patch_models.OperationRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    del now
    if isinstance(answer, storage.Conflict):
        run.conflict_version = answer.version
        run.step = patch_models.Step.READ_BACK
        return send_step(state, run)
    assert run.proposed is not None
    return _on_accepted(state, run, run.proposed.version)


def _on_accepted(
    state: core_state.State, run: patch_models.OperationRun, version: int
) -> list[effects.Effect]:
    """End an accepted patch, and activate it if this entry wrote it."""
    if run.proposed is None:
        return _finish(state, run, results.AlreadyAccepted(version))
    emitted = _finish(state, run, results.Accepted(version))
    if run.proposed.version == version:
        emitted.extend(adoption.request_validation(state, run.proposed))
    return emitted


def _finish(
    state: core_state.State,
    run: patch_models.OperationRun,
    result: results.PatchResult,
) -> list[effects.Effect]:
    """End a run and answer the operator, if not answered before."""
    runs.remove(state, run)
    if run.answered:
        return [effects.Count("configuration.patches_settled_late")]
    return [effects.AnswerPatch(run.operation, result)]


def on_answer_due(
    state: core_state.State, now: float, run: patch_models.OperationRun
) -> list[effects.Effect]:
    """Answer the operator, or abandon a patch that was never settled.

    A patch whose swap may still take effect goes on after the answer, so that
    its outcome gets settled.
    """
    if run.answered:
        runs.remove(state, run)
        return [effects.Count("configuration.patches_never_settled")]
    if not _may_take_effect(run):
        return _finish(state, run, results.Refused(_refusal_detail(state)))
    run.answered = True
    at = now + const.PATCH_SETTLE_SECONDS
    timers.schedule(state.timers, at, models.PatchAnswerDue(run.operation))
    result = results.OutcomeUnknown(run.patch_id)
    return [effects.AnswerPatch(run.operation, result)]


def _may_take_effect(run: patch_models.OperationRun) -> bool:
    if run.swap_unconfirmed:
        return True
    in_flight = run.request is not None
    return in_flight and run.step is patch_models.Step.SWAP_HEAD


def _refusal_detail(state: core_state.State) -> str:
    lower = state.configuration.lower_store_version
    if lower is None:
        return _DETAIL_STORE_UNAVAILABLE
    return (
        f"The store holds version {lower}, lower than the active version "
        f"{state.cfg.version}; republish the active version first."
    )
