"""Determines which entry owns a pool of targets, and sends messages to owners.

The owner of a pool is the entry that ranks first in weighted rendezvous
hashing, among the live entries that own no pool yet. Entries that agree on the
live entries, the routes and the targets thus agree on the owner, and an entry
with more capacity is more likely to own a pool. An owner that does not reply is
skipped for a while.
"""

import math

import xxhash

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import pools
from agateshelf.core.membership import view
from agateshelf.core.overload import relief
from agateshelf.core.peers import models as peer_models

_HASHES = 1 << 64
# Jobs whose scores are kept: of many more, their memory would be dear.
_MAX_SCORED_JOBS = 256


def owner_ranking(state: core_state.State, pool: str) -> tuple[str, ...]:
    """Return the live entries in order of preference as owner."""
    cached = state.dispatch.owner_rankings.get(pool)
    if cached is None:
        _assign_owners(state)
        cached = state.dispatch.owner_rankings.get(pool)
    if cached is None:
        cached = _ranking_of(state, pool)
        state.dispatch.owner_rankings[pool] = cached
    return cached


def _assign_owners(state: core_state.State) -> None:
    """Assign the pools of the routes' services to distinct owners.

    An entry that owns two pools has twice the load when both get a burst of
    requests at the same time. If there are more pools than entries, assignment
    starts over with all entries.
    """
    free = set(view.live_entries(state))
    for pool in all_pools(state):
        ranking = _ranking_of(state, pool)
        first = next((e for e in ranking if e in free), ranking[0])
        free.discard(first)
        if not free:
            free = set(ranking)
        others = tuple(entry for entry in ranking if entry != first)
        state.dispatch.owner_rankings[pool] = (first, *others)


def all_pools(state: core_state.State) -> list[str]:
    """Return the pools of all services of the routes, in order."""
    table = state.routes.table
    if table is None:
        return []
    return [
        pool
        for service in sorted(table.health_paths)
        for pool in pools.names_of(state, service)
    ]


def update_pools(state: core_state.State) -> bool:
    """Clear the rankings if services are divided in another way than before.

    Returns:
        Whether that is so.
    """
    names = all_pools(state)
    if names == state.dispatch.pools:
        return False
    state.dispatch.pools = names
    clear_rankings(state)
    return True


def _ranking_of(state: core_state.State, pool: str) -> tuple[str, ...]:
    entries = view.live_entries(state)
    return rank(state, f"dispatch/{pool}", entries)


def sampler_ranking(
    state: core_state.State, pool: str, failure_domain: str
) -> tuple[str, ...]:
    """Return a failure domain's entries in order of preference as sampler."""
    key = (pool, failure_domain)
    cached = state.dispatch.sampler_rankings.get(key)
    if cached is None:
        entries = view.entries_in(state, failure_domain)
        cached = rank(state, f"samples/{pool}/{failure_domain}", entries)
        state.dispatch.sampler_rankings[key] = cached
    return cached


def clear_rankings(state: core_state.State) -> None:
    """Clear the cached rankings after live entries or routes changed."""
    dispatch = state.dispatch
    dispatch.owner_rankings.clear()
    dispatch.sampler_rankings.clear()
    if len(dispatch.scores) > _MAX_SCORED_JOBS:
        dispatch.scores.clear()
    for entry, capacity in dispatch.scored_capacities.items():
        if view.capacity_of(state, entry) != capacity:
            dispatch.scores.clear()
            dispatch.scored_capacities.clear()
            return


def rank(
    state: core_state.State, job: str, entries: tuple[str, ...]
) -> tuple[str, ...]:
    """Rank entries for a job by weighted rendezvous hashing.

    Instances differ in capacity, so an entry comes first in proportion to its
    weight. The order is the same at all entries.
    """
    # All jobs are ranked again whenever an entry comes or goes, which hundreds
    # of entries do within seconds when a fleet starts.
    scores = state.dispatch.scores.setdefault(job, {})
    for entry in entries:
        if entry not in scores:
            capacity = view.capacity_of(state, entry)
            state.dispatch.scored_capacities[entry] = capacity
            scores[entry] = (_score(job, entry, capacity), entry)
    return tuple(sorted(entries, key=scores.__getitem__, reverse=True))


def _score(job: str, entry: str, capacity: float) -> float:
    digest = xxhash.xxh64_intdigest(f"{job}/{entry}".encode())
    fraction = (digest + 1) / _HASHES
    weight: float = capacity**const.CAPACITY_EXPONENT
    return math.log(fraction) / max(weight, const.MIN_WEIGHT)


def is_owner(state: core_state.State, pool: str) -> bool:
    """Return whether this entry owns a pool."""
    return owner_ranking(state, pool)[:1] == (state.identity.entry,)


def select_owner(
    state: core_state.State, now: float, pool: str, tried: set[str]
) -> str:
    """Return the entry to request a target from.

    It is the highest-ranking one that is neither tried nor suspected, or this
    entry if there is none. If that one is late, it is the next one, unless that
    is late as well: entries further down know nothing of the load.
    """
    late_owner = ""
    for entry in owner_ranking(state, pool):
        if entry in tried or is_suspected(state, now, entry):
            continue
        if late_owner:
            return late_owner if relief.is_late(state, now, entry) else entry
        is_own = entry == state.identity.entry
        if is_own or not relief.is_late(state, now, entry):
            return entry
        late_owner = entry
    return late_owner or state.identity.entry


def is_suspected(state: core_state.State, now: float, entry: str) -> bool:
    """Return whether an entry was silent lately as an owner."""
    return state.dispatch.suspected_until.get(entry, 0.0) > now


def send(
    state: core_state.State, entry: str, message: peer_models.PeerMessage
) -> list[effects.Effect]:
    """Send a message to an entry, which may be this entry."""
    if entry == state.identity.entry:
        state.pending_events.append(events.PeerMessageReceived(entry, message))
        return []
    return [effects.SendToPeers((entry,), message)]
