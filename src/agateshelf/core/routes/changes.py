"""Changes between two versions of the route table.

A new version mostly differs in a few routes or workspaces. Entries send each
other these instead of a whole table, which takes seconds on a slow link.
"""

from collections import abc
import dataclasses
from typing import TypeVar

from agateshelf.core.routes import const
from agateshelf.core.routes import models

_Named = TypeVar("_Named", models.Route, models.Workspace)


@dataclasses.dataclass(frozen=True, slots=True)
class TableChanges:
    """What a route table has changed against an earlier one.

    Attributes:
        base_version: Version of the earlier table.
        base_revision: Position at which that was written.
        version: Version of the table.
        revision: Position at which it was written.
        routes: Routes that are new or other than before.
        route_places: Index of each of them in the table.
        removed_routes: Names of routes that it no longer has.
        workspaces: Workspaces that are new or other than before.
        workspace_places: Index of each of them in the table.
        removed_workspaces: Names of workspaces that it no longer has.
        health_paths: All health paths; None if they are the same.
        limits: The limits; None if they are the same.
        warmups: All warm-ups; None if they are the same.
    """

    base_version: int
    base_revision: int
    version: int
    revision: int
    routes: tuple[models.Route, ...] = ()
    route_places: tuple[int, ...] = ()
    removed_routes: tuple[str, ...] = ()
    workspaces: tuple[models.Workspace, ...] = ()
    workspace_places: tuple[int, ...] = ()
    removed_workspaces: tuple[str, ...] = ()
    health_paths: dict[str, str] | None = None
    limits: models.Limits | None = None
    warmups: dict[str, models.Warmup] | None = None


def between(
    base: models.RouteTable, table: models.RouteTable
) -> TableChanges | None:
    """Return the changes that make a table of an earlier one.

    Returns:
        The changes; None if there is no way to tell them, such as for routes in
        another order or of which the position is not known.
    """
    if not base.revision or base.format != table.format:
        return None
    if (base.workspaces is None) != (table.workspaces is None):
        return None
    same_paths = base.health_paths == table.health_paths
    changes = TableChanges(
        base.version,
        base.revision,
        table.version,
        table.revision,
        *_compare(base.routes, table.routes),
        *_compare(base.workspaces or (), table.workspaces or ()),
        None if same_paths else table.health_paths,
        None if base.limits == table.limits else table.limits,
        None if base.warmups == table.warmups else table.warmups,
    )
    return changes if apply(base, changes) == table else None


def _compare(
    base: abc.Iterable[_Named], items: abc.Sequence[_Named]
) -> tuple[tuple[_Named, ...], tuple[int, ...], tuple[str, ...]]:
    """Return what is new or other, its places, and the names that are gone."""
    before = {item.name: item for item in base}
    places = tuple(
        place
        for place, item in enumerate(items)
        if before.get(item.name) != item
    )
    names = {item.name for item in items}
    removed = tuple(name for name in before if name not in names)
    return tuple(items[place] for place in places), places, removed


def apply(
    base: models.RouteTable, changes: TableChanges
) -> models.RouteTable | None:
    """Return the table that changes make; None if they are those of another."""
    if (base.version, base.revision) != (
        changes.base_version,
        changes.base_revision,
    ):
        return None
    workspaces = base.workspaces
    if workspaces is not None:
        workspaces = _replace(
            workspaces,
            changes.workspaces,
            changes.workspace_places,
            changes.removed_workspaces,
        )
    paths, warmups = changes.health_paths, changes.warmups
    return dataclasses.replace(
        base,
        version=changes.version,
        revision=changes.revision,
        routes=_replace(
            base.routes,
            changes.routes,
            changes.route_places,
            changes.removed_routes,
        ),
        workspaces=workspaces,
        health_paths=base.health_paths if paths is None else paths,
        limits=changes.limits or base.limits,
        warmups=base.warmups if warmups is None else warmups,
    )


def _replace(
    base: abc.Iterable[_Named],
    changed: abc.Collection[_Named],
    places: abc.Iterable[int],
    removed: abc.Iterable[str],
) -> tuple[_Named, ...]:
    gone = {*removed, *(item.name for item in changed)}
    items = [item for item in base if item.name not in gone]
    for place, item in zip(places, changed, strict=False):
        items.insert(place, item)
    return tuple(items)


def size_of(changes: TableChanges) -> int:
    """Return about how many bytes changes take in a message."""
    keys = sum(len(one.key_digests) for one in changes.workspaces)
    items = len(changes.routes) + len(changes.workspaces)
    removed = len(changes.removed_routes) + len(changes.removed_workspaces)
    services = len(changes.health_paths or ()) + len(changes.warmups or ())
    return (
        const.ITEM_BYTES * (items + services)
        + const.KEY_BYTES * keys
        + const.NAME_BYTES * removed
    )


def share_items(
    table: models.RouteTable, known: models.RouteTable
) -> models.RouteTable:
    """Return a table with the items of a known one where they are the same.

    So earlier tables that are kept take memory only for what differs.
    """
    routes = _share(table.routes, known.routes)
    workspaces = table.workspaces
    if workspaces is not None:
        workspaces = _share(workspaces, known.workspaces or ())
    return dataclasses.replace(table, routes=routes, workspaces=workspaces)


def _share(
    items: abc.Iterable[_Named], known: abc.Iterable[_Named]
) -> tuple[_Named, ...]:
    by_name = {item.name: item for item in known}
    found = ((by_name.get(item.name), item) for item in items)
    return tuple(own if own == item else item for own, item in found)
