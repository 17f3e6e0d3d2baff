"""Adopts routes and registrations, and notifies the rest of the core."""

from collections import abc
import math

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.directory import handling as directory
from agateshelf.core.directory import models as directory_models
from agateshelf.core.directory import renewals
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.routes import matching
from agateshelf.core.routes import models as route_models


def adopt_table(
    state: core_state.State, table: route_models.RouteTable | None, source: str
) -> list[effects.Effect]:
    """Adopt a route table if it is newer than the current one.

    One of a higher version that was written earlier may be in force, but the
    proof of routes that were written later does not hold for it.

    Args:
        state: State of the entry.
        table: The route table; None does nothing.
        source: Where it came from, for the log.
    """
    if table is None:
        return []
    known = state.routes.table
    if not matching.adopt(state.routes, table):
        return _log_ignored(state, table, source)
    if known is not None and table.revision < known.revision:
        state.feed.proven_at = -math.inf
        state.feed.confirmed_at = -math.inf
    if table.revision <= state.feed.proof.proven_revision:
        # The store had other ones at that revision.
        state.feed.proof.proven_revision = 0
    state.pending_events.append(events.RoutesAdopted())
    return [
        effects.AdoptLimits(table.limits),
        effects.LogEvent(
            "routes.adopted",
            details=(
                ("version", table.version),
                ("routes", len(table.routes)),
                ("position", table.revision),
                ("source", source),
            ),
        ),
    ]


def _log_ignored(
    state: core_state.State, table: route_models.RouteTable, source: str
) -> list[effects.Effect]:
    """Log routes that were written last but are not in force, once."""
    known = state.routes.table
    if source != const.SOURCE_STORE or known is None:
        return []
    if table.revision <= max(known.revision, state.feed.ignored_at):
        return []
    state.feed.ignored_at = table.revision
    return [
        effects.LogEvent(
            "routes.ignored",
            details=(
                ("version", table.version),
                ("in_force", known.version),
                ("position", table.revision),
            ),
        )
    ]


def adopt_snapshot(
    state: core_state.State, now: float, answer: models.Snapshot
) -> list[effects.Effect]:
    """Adopt a read of the routes that follows no topic."""
    known = evacuation_models.Evacuations(answer.revision, answer.evacuated)
    return [
        *adopt_table(state, answer.table, const.SOURCE_STORE),
        *evacuation.adopt_snapshot(state, now, known, const.SOURCE_STORE),
    ]


def adopt_changes(
    state: core_state.State, now: float, answer: models.Changes
) -> list[effects.Effect]:
    """Adopt changes of the routes that follow no topic."""
    emitted = adopt_table(state, answer.table, const.SOURCE_STORE)
    if answer.evacuations:
        emitted.extend(
            evacuation.adopt_changes(
                state, now, answer.evacuations, const.SOURCE_STORE
            )
        )
    return emitted


def adopt_targets(
    state: core_state.State,
    now: float,
    items: abc.Iterable[directory_models.Item],
) -> list[directory_models.Item]:
    """Adopt items that are newer than the known ones; return these."""
    changed = directory.adopt(state.directory, items)
    renewals.note_warmups(state.directory, now, changed)
    return changed


def publish_changes(
    state: core_state.State,
    changed: list[directory_models.Item],
    source: str,
    age: float | None = None,
) -> list[effects.Effect]:
    """Post an event for changed registrations and log them.

    Args:
        state: State of the entry.
        changed: Registrations and removals that were adopted.
        source: Where they came from, for the log.
        age: Greatest age that they can have, in seconds; None if it is not
            known.
    """
    if not changed:
        return []
    state.pending_events.append(
        events.TargetsChanged(tuple(i.id for i in changed))
    )
    if len(changed) > const.MAX_LOGGED_REGISTRATIONS:
        details = (
            ("targets", len(changed)),
            ("known", len(state.directory.targets)),
            ("source", source),
            ("age", age),
        )
        return [effects.LogEvent("targets.registrations", details=details)]
    return [_log_event_of(item, source, age) for item in changed]


def _log_event_of(
    item: directory_models.Item, source: str, age: float | None
) -> effects.LogEvent:
    match item:
        case directory_models.Registration():
            status = "draining" if item.draining else "ready"
            service = item.service
        case directory_models.Removal():
            status = "gone"
            service = ""
    return effects.LogEvent(
        "target.registration",
        details=(
            ("target", item.id),
            ("service", service),
            ("state", status),
            ("revision", item.revision),
            ("source", source),
            ("age", age),
        ),
    )
