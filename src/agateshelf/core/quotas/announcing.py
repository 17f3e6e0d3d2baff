"""Tells other entries of workspaces that have a rate for the first time.

An entry whose older table gives a workspace no rate asks no counter. The
counter tells all entries as soon as it knows, so they ask before they have the
table.
"""

from collections import abc

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import view
from agateshelf.core.quotas import const
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import rates
from agateshelf.core.quotas import shards
from agateshelf.core.routes import models as route_models

Effects = list[effects.Effect]


def announce(
    state: core_state.State,
    now: float,
    version: int,
    workspaces: abc.Iterable[route_models.Workspace],
) -> Effects:
    """Tell all entries of new rates, as far as this one is the counter.

    Of very many, the largest are told: these are used most.
    """
    own = state.identity.entry
    counted = [
        workspace
        for workspace in workspaces
        if shards.counters(state, now, shards.shard_of(workspace.name))[:1]
        == (own,)
    ]
    others = tuple(e for e in view.live_entries(state) if e != own)
    if not counted or not others:
        return []
    counted.sort(key=lambda workspace: (-workspace.rate, workspace.name))
    rows = tuple(
        messages.Quota(workspace.name, workspace.rate, workspace.burst)
        for workspace in counted[: const.MAX_ANNOUNCED]
    )
    return [effects.SendToPeers(others, messages.NewQuotas(version, rows))]


def on_new_quotas(
    state: core_state.State, message: messages.NewQuotas
) -> Effects:
    """Remember quotas of a newer table than that of this entry."""
    newer = state.quotas.newer
    for quota in message.quotas[: const.MAX_ANNOUNCED]:
        if quota.rate > 0 and message.version > rates.version_for(
            state, quota.workspace
        ):
            workspace = route_models.Workspace(
                quota.workspace, (), rate=quota.rate, burst=quota.burst
            )
            newer[quota.workspace] = models.NewerQuota(
                message.version, workspace
            )
    return []
