"""Contents of updates that entries relay."""

from collections import abc
import dataclasses

import msgspec

from agateshelf.core import state as core_state
from agateshelf.core.directory import models as directory_models
from agateshelf.core.feed import messages


def divide(
    state: core_state.State, changed: abc.Iterable[directory_models.Item]
) -> tuple[
    tuple[directory_models.Registration, ...],
    tuple[directory_models.Removal, ...],
]:
    """Divide adopted changes by kind; tell the last heartbeats of removals."""
    targets: list[directory_models.Registration] = []
    removed: list[directory_models.Removal] = []
    for item in changed:
        match item:
            case directory_models.Registration():
                targets.append(item)
            case directory_models.Removal():
                known = state.directory.removed.get(item.id)
                sequence = 0 if known is None else known.sequence
                removed.append(dataclasses.replace(item, sequence=sequence))
    return tuple(targets), tuple(removed)


def reduce(
    state: core_state.State,
    update: messages.FeedUpdate,
    changed: list[directory_models.Item],
) -> messages.FeedUpdate | None:
    """Return what of an update from another failure domain is news here.

    An entry that had no registrations passes none on, as they are not news to
    its neighbours. What was known here already is left out, so that the rest
    doesn't say up to which revision it is complete.
    """
    if not update.base_revision:
        changed = []
    targets, removed = divide(state, changed)
    if not (targets or removed or update.evacuations):
        return None
    return msgspec.structs.replace(
        update,
        revision=0,
        base_revision=0,
        table=None,
        table_changes=None,
        targets=targets,
        removals=removed,
        token=0,
        proof_age=None,
        current_age=None,
        proof_version=0,
        proof_at=0,
        registered=None,
        is_answer=False,
    )
