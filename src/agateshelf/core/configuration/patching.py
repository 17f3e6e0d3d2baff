"""Carries a patch into the store, and says truthfully what became of it.

The steps are: read the head, write the parts that are new, write the history
record, swap the head. Only the last makes the patch accepted. Each is safe to
repeat: parts are addressed by content, the record by the patch, and the swap
names the version of the head's key that it replaces. After a swap without an
answer the same swap is sent again; it either takes effect or conflicts, and
after a conflict the head tells whose patch won.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.configuration import adoption
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content
from agateshelf.core.configuration import following
from agateshelf.core.configuration import models
from agateshelf.core.configuration import patch_models
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results
from agateshelf.core.configuration import runs

_DETAIL_TOO_MANY = "Too many patches are under way here; send it again later."
_DETAIL_NO_STORE = "This entry has no store."
_DETAIL_AWAY = "The store gave no answer; nothing was changed."
_DETAIL_BEHIND = "This entry has not the base version in force; send it again."
_DETAIL_UNREADABLE = "The store's head is not readable."
_DETAIL_DIVERGED = "The store holds another configuration of this version."
_DETAIL_NOT_LOWER = "The store is not behind what is in force here."
_DETAIL_LARGE = (
    f"A service's policy takes more than {const.MAX_PART_BYTES} bytes."
)


def on_requested(
    state: core_state.State, now: float, event: events.PatchRequested
) -> list[effects.Effect]:
    """Begin to carry a patch into the store."""
    run = patch_models.PatchRun(
        operation=event.operation,
        patch_id=event.patch_id,
        base_version=event.base_version,
        parts=event.parts,
        author=event.author,
        reason=event.reason,
        at=event.at,
        step=patch_models.Step.READ_HEAD,
    )
    return _begin(state, now, run)


def on_republish(
    state: core_state.State, now: float, event: events.RepublishRequested
) -> list[effects.Effect]:
    """Begin to write what is in force over a head that fell behind."""
    held = state.configuration.in_force
    if held is None:
        refusal = results.Refused(_DETAIL_BEHIND)
        return [effects.AnswerPatch(event.operation, refusal)]
    run = patch_models.PatchRun(
        operation=event.operation,
        patch_id=event.patch_id,
        base_version=held.version,
        parts=tuple(held.parts.values()),
        author=event.author,
        reason=event.reason,
        at=event.at,
        step=patch_models.Step.READ_HEAD,
        republishes=True,
    )
    return _begin(state, now, run)


def _begin(
    state: core_state.State, now: float, run: patch_models.PatchRun
) -> list[effects.Effect]:
    cfg = state.configuration
    if not cfg.has_store:
        return _refuse_at_once(run, _DETAIL_NO_STORE)
    if len(cfg.patches) >= const.MAX_PATCHES_UNDER_WAY:
        return _refuse_at_once(run, _DETAIL_TOO_MANY)
    if any(len(part.value) > const.MAX_PART_BYTES for part in run.parts or ()):
        return _refuse_at_once(run, _DETAIL_LARGE)
    runs.begin(state, now, run)
    return send_step(state, run)


def _refuse_at_once(
    run: patch_models.PatchRun, detail: str
) -> list[effects.Effect]:
    return [effects.AnswerPatch(run.operation, results.Refused(detail))]


def send_step(
    state: core_state.State, run: patch_models.PatchRun
) -> list[effects.Effect]:
    """Send the store request of the step that a run is at."""
    return runs.ask(state, run, _request_of(run))


def _request_of(run: patch_models.PatchRun) -> storage.StoreRequest:
    match run.step:
        case patch_models.Step.WRITE_PARTS:
            value = run.unwritten[-1].value
            key = records.part_key(content.digest_of(value))
            return storage.CompareAndSwap(key, 0, value)
        case patch_models.Step.WRITE_HISTORY:
            return _history_swap(run)
        case patch_models.Step.SWAP_HEAD:
            return _head_swap(run)
        case _:
            return storage.Read(const.KEY_HEAD)


def _history_swap(run: patch_models.PatchRun) -> storage.CompareAndSwap:
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


def _head_swap(run: patch_models.PatchRun) -> storage.CompareAndSwap:
    assert run.proposed is not None
    assert run.head is not None
    head = records.next_head(run.head, run.proposed, run.patch_id)
    value = records.encode_head(head)
    return storage.CompareAndSwap(const.KEY_HEAD, run.head_key_version, value)


def on_answer(
    state: core_state.State,
    now: float,
    run: patch_models.PatchRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    """Go on with a patch after the store's answer to a step."""
    if isinstance(answer, storage.Overloaded | storage.NoAnswer):
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
    run: patch_models.PatchRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    swapping = run.step is patch_models.Step.SWAP_HEAD
    if swapping and isinstance(answer, storage.NoAnswer):
        run.may_be_swapped = True
    runs.retry_later(state, now, run)
    return []


def _on_head(
    state: core_state.State,
    now: float,
    run: patch_models.PatchRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    head = records.create_empty_head()
    key_version = 0
    if isinstance(answer, storage.Found):
        key_version = answer.key_value.version
        try:
            head = records.decode_head(answer.key_value.value)
        except records.RecordError:
            return _settle(state, run, results.Refused(_DETAIL_UNREADABLE))
    if key_version < run.conflict_version:
        # The read lags behind the conflict that it should explain.
        runs.retry_later(state, now, run)
        return []
    noted = following.note_head(state, head)
    return [*noted, *_judge(state, now, run, head, key_version)]


def _judge(
    state: core_state.State,
    now: float,
    run: patch_models.PatchRun,
    head: patch_models.Head,
    key_version: int,
) -> list[effects.Effect]:
    """Decide what the head means for a patch."""
    version = records.accepted_version(head, run.patch_id)
    if version is not None:
        return _on_own_patch_found(state, run, version)
    if run.republishes:
        return _judge_republish(state, run, head, key_version)
    if head.version < state.cfg.version:
        return _on_lower_head(state, now, run)
    if head.version != run.base_version:
        return _settle(state, run, results.VersionMoved(head.version))
    if run.parts is None:
        return _settle(state, run, results.Refused(_DETAIL_BEHIND))
    held = state.configuration.in_force
    if held and held.version == head.version and held.digest != head.digest:
        return _settle(state, run, results.Refused(_DETAIL_DIVERGED))
    new = content.create_content(run.base_version + 1, run.parts)
    return _build_on(state, run, head, key_version, new)


def _on_lower_head(
    state: core_state.State, now: float, run: patch_models.PatchRun
) -> list[effects.Effect]:
    """Read again what may lag; a store that stays lower has gone back."""
    if run.failures >= const.LOWER_READS and not run.may_be_swapped:
        return _settle(state, run, results.Refused(_refusal_detail(state)))
    runs.retry_later(state, now, run)
    return []


def _judge_republish(
    state: core_state.State,
    run: patch_models.PatchRun,
    head: patch_models.Head,
    key_version: int,
) -> list[effects.Effect]:
    held = state.configuration.in_force
    if held is None or head.version >= held.version:
        return _settle(state, run, results.Refused(_DETAIL_NOT_LOWER))
    return _build_on(state, run, head, key_version, held)


def _build_on(
    state: core_state.State,
    run: patch_models.PatchRun,
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
    state: core_state.State, run: patch_models.PatchRun
) -> list[effects.Effect]:
    run.failures = 0
    run.step = patch_models.Step.WRITE_HISTORY
    if run.unwritten:
        run.step = patch_models.Step.WRITE_PARTS
    return send_step(state, run)


def _on_swap(
    state: core_state.State,
    now: float,
    run: patch_models.PatchRun,
    answer: storage.StoreAnswer,
) -> list[effects.Effect]:
    del now
    if isinstance(answer, storage.Conflict):
        run.conflict_version = answer.version
        run.step = patch_models.Step.READ_BACK
        return send_step(state, run)
    assert run.proposed is not None
    return _on_own_patch_found(state, run, run.proposed.version)


def _on_own_patch_found(
    state: core_state.State, run: patch_models.PatchRun, version: int
) -> list[effects.Effect]:
    """Put the patch in force here at once if this entry wrote it."""
    if run.proposed is None:
        return _settle(state, run, results.AlreadyAccepted(version))
    done = _settle(state, run, results.Accepted(version))
    if run.proposed.version == version:
        done.extend(adoption.propose(state, run.proposed))
    return done


def _settle(
    state: core_state.State,
    run: patch_models.PatchRun,
    result: results.PatchResult,
) -> list[effects.Effect]:
    """End a run; whoever still waits for it is told."""
    runs.end(state, run)
    if run.answered:
        return [effects.Count("configuration.patches_settled_late")]
    return [effects.AnswerPatch(run.operation, result)]


def on_answer_due(
    state: core_state.State, now: float, run: patch_models.PatchRun
) -> list[effects.Effect]:
    """Tell an operator who has waited long enough what is known."""
    if run.answered:
        runs.end(state, run)
        return [effects.Count("configuration.patches_never_settled")]
    if not _may_take_effect(run):
        return _settle(state, run, results.Refused(_refusal_detail(state)))
    run.answered = True
    at = now + const.PATCH_SETTLE_SECONDS
    timers.schedule(state.timers, at, models.PatchAnswerDue(run.operation))
    result = results.NotKnownYet(run.patch_id)
    return [effects.AnswerPatch(run.operation, result)]


def _may_take_effect(run: patch_models.PatchRun) -> bool:
    if run.may_be_swapped:
        return True
    in_flight = run.request is not None
    return in_flight and run.step is patch_models.Step.SWAP_HEAD


def _refusal_detail(state: core_state.State) -> str:
    lower = state.configuration.store_lower
    if lower is None:
        return _DETAIL_AWAY
    return (
        f"The store holds version {lower}, lower than version "
        f"{state.cfg.version} in force; republish that first."
    )
