"""Applies changes of registrations to the directory.

A change applies only if its revision is newer than the one known of its
target, so changes may arrive repeatedly, late and out of order.
"""

from collections import abc

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
    missing = [
        models.Removal(known.id, revision)
        for known in directory.targets.values()
        if known.id not in present and known.revision <= revision
    ]
    return [*items, *missing]


def _adopt_one(directory: models.DirectoryState, item: models.Item) -> bool:
    if item.revision <= _known_revision(directory, item.id):
        return False
    before = directory.targets.pop(item.id, None)
    if before is not None:
        directory.services.get(before.service, set()).discard(item.id)
    match item:
        case models.Registration():
            directory.targets[item.id] = item
            directory.services.setdefault(item.service, set()).add(item.id)
            directory.removed.pop(item.id, None)
        case models.Removal():
            directory.removed.pop(item.id, None)
            directory.removed[item.id] = item.revision
            if len(directory.removed) > _MAX_REMOVED:
                del directory.removed[next(iter(directory.removed))]
    return True


def _known_revision(directory: models.DirectoryState, target: str) -> int:
    known = directory.targets.get(target)
    if known is not None:
        return known.revision
    return directory.removed.get(target, 0)


def changed_since(
    directory: models.DirectoryState, revision: int
) -> tuple[tuple[models.Registration, ...], tuple[models.Removal, ...]]:
    """Return the registrations and removals newer than a revision."""
    targets = tuple(
        target
        for target in directory.targets.values()
        if target.revision > revision
    )
    removals = tuple(
        models.Removal(target, at)
        for target, at in directory.removed.items()
        if at > revision
    )
    return targets, removals
