"""Applies changes of registrations to the directory.

A change applies only if its revision is newer than the one known of its
target, so changes may arrive repeatedly, late and out of order. After the store
came back from an older copy, what it holds may still be older than what is
known; there the number of the target's heartbeat decides.
"""

from collections import abc
import dataclasses

import xxhash

from agateshelf.core import positions
from agateshelf.core.directory import models

_MAX_REMOVED = 4096


def adopt(
    directory: models.DirectoryState, items: abc.Iterable[models.Item]
) -> list[models.Item]:
    """Apply items; return those that were newer than the known ones."""
    return [item for item in items if _adopt_one(directory, item)]


def complete_snapshot(
    directory: models.DirectoryState,
    revision: int,
    items: abc.Iterable[models.Item],
) -> list[models.Item]:
    """Return the items of a full read, and removals for what it lacks."""
    items = list(items)
    present = {item.id for item in items}
    return [*items, *missing_from(directory, revision, present)]


def missing_from(
    directory: models.DirectoryState,
    revision: int,
    present: abc.Container[str],
) -> list[models.Removal]:
    """Return removals for what was not registered at a position any more."""
    return [
        models.Removal(known.id, revision)
        for known in directory.targets.values()
        if known.id not in present and known.revision <= revision
    ]


def note_complete(directory: models.DirectoryState, revision: int) -> None:
    """Note up to which position the directory is complete now.

    What was removed before the first one is not known here.
    """
    if not directory.revision:
        directory.removals_since = revision
    directory.revision = max(directory.revision, revision)


def registered(
    directory: models.DirectoryState, after: int
) -> tuple[str, ...] | None:
    """Return all targets; None if each removal after a position is known."""
    if after and after >= directory.removals_since:
        return None
    return tuple(directory.targets)


def _adopt_one(directory: models.DirectoryState, item: models.Item) -> bool:
    if item.revision <= known_revision(directory, item.id):
        return False
    if isinstance(item, models.Registration) and _is_outdated(directory, item):
        _raise_revision(directory, item)
        return False
    before = directory.targets.pop(item.id, None)
    renewal = directory.renewals.pop(item.id, None)
    if before is not None:
        directory.services.get(before.service, {}).pop(item.id, None)
        directory.digest ^= _digest_of(before)
    match item:
        case models.Registration():
            directory.targets[item.id] = item
            directory.digest ^= _digest_of(item)
            directory.services.setdefault(item.service, {})[item.id] = None
            directory.removed.pop(item.id, None)
        case models.Removal():
            directory.removed.pop(item.id, None)
            directory.removed[item.id] = _removed(before, renewal, item)
            if len(directory.removed) > _MAX_REMOVED:
                _forget_removal(directory, next(iter(directory.removed)))
    return True


def _forget_removal(directory: models.DirectoryState, target: str) -> None:
    forgotten = directory.removed.pop(target)
    directory.removals_since = max(directory.removals_since, forgotten.revision)


def content_of(registration: models.Registration) -> tuple[object, ...]:
    """Return what a registration says, apart from its warm-up."""
    return (
        registration.service,
        registration.address,
        registration.failure_domain,
        registration.slots,
        registration.draining,
        registration.born,
    )


def _digest_of(registration: models.Registration) -> int:
    text = f"{registration.id}/{content_of(registration)}"
    return xxhash.xxh64_intdigest(text.encode())


def _removed(
    before: models.Registration | None,
    renewal: models.Renewal | None,
    removal: models.Removal,
) -> models.RemovedTarget:
    if before is None:
        return models.RemovedTarget(removal.revision)
    sequence = max(before.sequence, removal.sequence)
    if renewal is not None:
        sequence = max(sequence, renewal.sequence)
    return models.RemovedTarget(removal.revision, before.born, sequence)


def _is_outdated(
    directory: models.DirectoryState, item: models.Registration
) -> bool:
    """Return whether a restored store holds an older registration."""
    known = directory.targets.get(item.id)
    if known is not None:
        sequence = known.sequence
        renewal = directory.renewals.get(item.id)
        if renewal is not None:
            sequence = max(sequence, renewal.sequence)
        return _is_of_later_era(item, known.revision) and (
            _start_and_sequence(item.born, item.sequence)
            < _start_and_sequence(known.born, sequence)
        )
    removed = directory.removed.get(item.id)
    if removed is None:
        return False
    return _is_of_later_era(item, removed.revision) and (
        _start_and_sequence(item.born, item.sequence)
        <= _start_and_sequence(removed.born, removed.sequence)
    )


def _is_of_later_era(item: models.Registration, known: int) -> bool:
    return positions.era_of(item.revision) > positions.era_of(known)


def _start_and_sequence(born: int | None, sequence: int) -> tuple[int, int]:
    return born or 0, sequence


def _raise_revision(
    directory: models.DirectoryState, item: models.Registration
) -> None:
    """Keep what is known, as of the position of an outdated item."""
    known = directory.targets.get(item.id)
    if known is not None:
        directory.targets[item.id] = dataclasses.replace(
            known, revision=item.revision
        )
        return
    directory.removed[item.id] = dataclasses.replace(
        directory.removed[item.id], revision=item.revision
    )


def known_revision(directory: models.DirectoryState, target: str) -> int:
    """Return the latest revision known of a target; 0 if it is not known."""
    known = directory.targets.get(target)
    if known is not None:
        renewal = directory.renewals.get(target)
        if renewal is None:
            return known.revision
        return max(known.revision, renewal.revision)
    removed = directory.removed.get(target)
    return 0 if removed is None else removed.revision


def changed_since(
    directory: models.DirectoryState, revision: int
) -> tuple[tuple[models.Registration, ...], tuple[models.Removal, ...]]:
    """Return the registrations that changed, and removals, after a revision."""
    targets = tuple(
        target
        for target in directory.targets.values()
        if target.revision > revision
    )
    removals = tuple(
        models.Removal(target, removed.revision, removed.sequence)
        for target, removed in directory.removed.items()
        if removed.revision > revision
    )
    return targets, removals
