"""Finds workspaces by the digest of a key, or by name."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.routes import models as route_models
from agateshelf.core.workspaces import models


def find(state: core_state.State, digest: str) -> route_models.Workspace | None:
    """Return the workspace that has a key in the routes in force, or None."""
    return _current(state).by_digest.get(digest)


def find_by_name(
    state: core_state.State, name: str
) -> route_models.Workspace | None:
    """Return a workspace of the routes in force, or None."""
    return _current(state).by_name.get(name)


def _current(state: core_state.State) -> models.WorkspacesState:
    # Compared by identity, so that no way of adopting a table can leave the
    # lookup behind.
    if state.workspaces.table is not state.routes.table:
        state.workspaces = _build(state.routes.table)
    return state.workspaces


def _build(table: route_models.RouteTable | None) -> models.WorkspacesState:
    """Return the lookup of a table.

    All entries must agree on the workspace of a key that several have: it is
    the first in the table.
    """
    built = models.WorkspacesState(table)
    if table is None:
        return built
    for workspace in table.workspaces or ():
        if not _is_sendable(workspace.name):
            built.invalid_names += 1
            continue
        built.by_name.setdefault(workspace.name, workspace)
        for digest in workspace.key_digests:
            first = built.by_digest.setdefault(digest, workspace)
            if first is not workspace:
                built.shared_keys += 1
    return built


def _is_sendable(name: str) -> bool:
    """Return whether a name can be the value of a header."""
    return bool(name) and name.isprintable() and name == name.strip()


def on_routes_adopted(state: core_state.State) -> list[effects.Effect]:
    """Build the lookup, and log what is wrong with the workspaces."""
    table = state.routes.table
    if table is None or table.workspaces is None:
        return []
    built = _current(state)
    return [
        effects.LogEvent(
            "workspaces.adopted",
            details=(
                ("version", table.version),
                ("workspaces", len(built.by_name)),
                ("keys", len(built.by_digest)),
                ("shared_keys", built.shared_keys),
                ("invalid_names", built.invalid_names),
            ),
        )
    ]
