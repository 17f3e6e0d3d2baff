"""Models of the lookup of workspaces and of its results."""

import dataclasses

from agateshelf.core.routes import models as route_models


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """On whose behalf a request is served, and where.

    Attributes:
        workspace: Name of the workspace; empty if there is none, None if no
            workspaces are configured.
        priority: Rank of the workspace.
        regions: Regions in which the request may be served; empty for any.
    """

    workspace: str | None
    priority: int = 0
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class WorkspacesState:
    """Lookup of the workspaces of one route table.

    Attributes:
        table: The route table that it was built from.
        by_digest: Workspaces by the digest of each of their keys.
        by_name: Workspaces by name.
        shared_keys: Number of keys that several workspaces have.
        invalid_names: Number of workspaces whose name can't be sent.
    """

    table: route_models.RouteTable | None = None
    by_digest: dict[str, route_models.Workspace] = dataclasses.field(
        default_factory=dict
    )
    by_name: dict[str, route_models.Workspace] = dataclasses.field(
        default_factory=dict
    )
    shared_keys: int = 0
    invalid_names: int = 0
