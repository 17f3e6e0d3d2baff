"""The quota that binds a workspace: that of the newest route table known.

Entries adopt a new table one after the other. A question carries the sender's
quota and the version of its table, so the newer quota binds whichever of the
two entries has it.
"""

from agateshelf.core import state as core_state
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.routes import models as route_models
from agateshelf.core.workspaces import lookup


def version_of(state: core_state.State) -> int:
    """Return the version of the table that this entry's quotas are from."""
    table = state.quotas.table
    return 0 if table is None else table.version


def version_for(state: core_state.State, name: str) -> int:
    """Return the version of the table that a workspace's quota is from."""
    newer = state.quotas.newer.get(name)
    return version_of(state) if newer is None else newer.version


def find(state: core_state.State, name: str) -> route_models.Workspace | None:
    """Return a workspace with its newest known rate; None without a rate."""
    newer = state.quotas.newer.get(name)
    if newer is not None:
        return newer.workspace
    return state.quotas.limited.get(name)


def learn(
    state: core_state.State, message: messages.QuotaRequest
) -> route_models.Workspace | None:
    """Return the workspace of a question with the quota that binds it.

    Returns:
        None if this entry's table is newer, and gives the workspace no rate.
    """
    name = message.workspace
    asked = route_models.Workspace(
        name, (), rate=message.rate, burst=message.burst
    )
    if message.version > version_for(state, name):
        state.quotas.newer[name] = models.NewerQuota(message.version, asked)
        return asked
    known = find(state, name)
    if known is not None:
        return known
    # Earlier builds don't tell their version, and a workspace that is gone
    # keeps its quota where it is still known.
    is_listed = lookup.find_by_name(state, name) is not None
    return None if message.version and is_listed else asked


def forget_known(state: core_state.State) -> None:
    """Forget the quotas that this entry's own table has superseded."""
    version = version_of(state)
    state.quotas.newer = {
        name: newer
        for name, newer in state.quotas.newer.items()
        if newer.version > version
    }
