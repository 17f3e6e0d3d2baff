"""Tells registrations that say something new from mere heartbeats of targets.

Targets write their registrations about every 1.5 s, mostly with the number of
the heartbeat as the only change. Passing each of them on to all entries cost
91 kB a second and entry at 1,000 targets, and most of an entry's processor time
at rest. So a heartbeat is recorded by the entry that reads it, and goes no
further. The registration keeps the revision at which its content changed, so
that entries that ask for changes don't get it again.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from agateshelf.core import positions
from agateshelf.core.directory import handling
from agateshelf.core.directory import models

# A warm-up that ends later than was last known by less than this is not news:
# registrations arrive with different delays.
_WARMUP_TOLERANCE_SECONDS: Final = 0.25
# What is left of a warm-up that should have ended: not 0, which would say that
# the target has said so.
_SHORTEST_WARMUP_SECONDS: Final = 0.001


def take_changes(
    directory: models.DirectoryState,
    now: float,
    items: abc.Iterable[models.Item],
    unsettled: abc.Container[str] = (),
) -> list[models.Item]:
    """Return the items that may say something new; record the others.

    Args:
        directory: The registrations known, changed in place.
        now: Current time in seconds.
        items: Registrations and removals.
        unsettled: Targets that may be taken for removed by others, so that
            their registrations are news whatever they say.
    """
    changes: list[models.Item] = []
    for item in items:
        if isinstance(item, models.Registration) and _is_renewal(
            directory, now, item, unsettled
        ):
            _renew(directory, item)
        else:
            changes.append(item)
    return changes


def _is_renewal(
    directory: models.DirectoryState,
    now: float,
    item: models.Registration,
    unsettled: abc.Container[str],
) -> bool:
    known = directory.targets.get(item.id)
    # Each write of a draining target is passed on: it is about to leave.
    if known is None or item.draining or item.id in unsettled:
        return False
    if item.revision <= handling.known_revision(directory, item.id):
        return False
    if positions.era_of(item.revision) != positions.era_of(known.revision):
        return False
    if handling.content_of(item) != handling.content_of(known):
        return False
    if item.warmup <= 0:
        return item.warmup == known.warmup
    cold_until = directory.cold_until.get(item.id, -math.inf)
    return now + item.warmup <= cold_until + _WARMUP_TOLERANCE_SECONDS


def _renew(directory: models.DirectoryState, item: models.Registration) -> None:
    directory.renewals[item.id] = models.Renewal(item.revision, item.sequence)
    known = directory.targets[item.id]
    if known.warmup != item.warmup:
        directory.targets[item.id] = dataclasses.replace(
            known, warmup=item.warmup
        )


def note_warmups(
    directory: models.DirectoryState, now: float, items: list[models.Item]
) -> None:
    """Note until when adopted registrations say that their targets are cold."""
    for item in items:
        match item:
            case models.Registration() if item.warmup > 0:
                directory.cold_until[item.id] = now + item.warmup
            case _:
                directory.cold_until.pop(item.id, None)


def warmup_left(
    directory: models.DirectoryState,
    now: float,
    registration: models.Registration,
) -> float:
    """Return the seconds of warm-up left now by a known registration."""
    seconds = registration.warmup
    cold_until = directory.cold_until.get(registration.id)
    if seconds <= 0 or cold_until is None:
        return seconds
    return min(seconds, max(_SHORTEST_WARMUP_SECONDS, cold_until - now))


def changed_since(
    directory: models.DirectoryState, now: float, revision: int
) -> tuple[tuple[models.Registration, ...], tuple[models.Removal, ...]]:
    """Return the registrations and removals that changed after a revision.

    Whoever asks for all of them gets the latest revisions: it may know a
    removal that is later than the change.
    """
    targets, removals = handling.changed_since(directory, revision)
    return (
        tuple(
            _as_of(directory, now, one, is_latest=revision <= 0)
            for one in targets
        ),
        removals,
    )


def _as_of(
    directory: models.DirectoryState,
    now: float,
    known: models.Registration,
    *,
    is_latest: bool,
) -> models.Registration:
    warmup = warmup_left(directory, now, known)
    renewal = directory.renewals.get(known.id) if is_latest else None
    if renewal is None:
        if warmup == known.warmup:
            return known
        return dataclasses.replace(known, warmup=warmup)
    return dataclasses.replace(
        known,
        warmup=warmup,
        revision=max(known.revision, renewal.revision),
        sequence=max(known.sequence, renewal.sequence),
    )
