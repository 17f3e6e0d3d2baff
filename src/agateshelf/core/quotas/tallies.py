"""Tallies of what this process granted to each workspace."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.quotas import const
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import shards
from agateshelf.core.routes import models as route_models

Effects = list[effects.Effect]


def add(
    state: core_state.State, now: float, workspace: route_models.Workspace
) -> Effects:
    """Count a grant, and tell the replicas at once after many in a row."""
    quotas = state.quotas
    tally = quotas.tallies.get(workspace.name)
    if tally is None:
        start = quotas.highest_total
        marks = [start] * const.RESENT_BEATS
        tally = quotas.tallies[workspace.name] = models.Tally(
            start, start, marks
        )
    tally.total += 1
    window = const.WINDOW_SECONDS * workspace.rate + workspace.burst
    early = max(const.MIN_EARLY, const.EARLY_SHARE * window)
    if tally.total - tally.sent < early:
        return []
    others = other_replicas(state, now, shards.shard_of(workspace.name))
    if not others:
        return []
    tally.sent = tally.total
    counts = messages.QuotaCounts(
        quotas.process, (row_of(workspace.name, tally),)
    )
    return [effects.SendToPeers(others, counts)]


def remove(state: core_state.State, workspace: str) -> None:
    """Take a grant back that no replica was told of yet."""
    tally = state.quotas.tallies.get(workspace)
    if tally is not None and tally.total > max(tally.sent, tally.marks[-1]):
        tally.total -= 1


def other_replicas(
    state: core_state.State, now: float, shard: int
) -> tuple[str, ...]:
    """Return the entries that are told what this one grants."""
    own = state.identity.entry
    return tuple(
        entry for entry in shards.replicas(state, now, shard) if entry != own
    )


def row_of(workspace: str, tally: models.Tally) -> messages.Count:
    """Return what the replicas are told of a workspace."""
    return messages.Count(workspace, tally.total, tally.marks[0])


def take_rows(state: core_state.State) -> dict[int, list[messages.Count]]:
    """Return the lately changed rows by shard, and advance all marks.

    Tallies that did not change for some beats are dropped.
    """
    quotas = state.quotas
    rows: dict[int, list[messages.Count]] = {}
    for name, tally in list(quotas.tallies.items()):
        if tally.total == tally.marks[0]:
            quotas.highest_total = max(quotas.highest_total, tally.total)
            del quotas.tallies[name]
            continue
        rows.setdefault(shards.shard_of(name), []).append(row_of(name, tally))
        tally.sent = tally.total
        tally.marks = [*tally.marks[1:], tally.total]
    return rows
