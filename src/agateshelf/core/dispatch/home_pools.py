"""Chooses the pool of a large service that a request goes to.

With hundreds of targets, an entry that spreads its requests over all of them
opens a connection for nearly each. So each entry prefers a few pools, its home
pools, while these have room: owners grant targets that hold nothing else. A
pool whose owner lets a request wait, refuses one, is late or silent is avoided
for a while as well. An entry whose home pools are all avoided chooses among all
pools at random, so that pools are used evenly when it matters.
"""

import xxhash

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import pools


def choose(state: core_state.State, now: float, service: str) -> str:
    """Return the pool that a request goes to."""
    if pools.count_of(state, service) == 1:
        return service
    avoided = state.dispatch.avoided_pools
    free = [
        pool
        for pool in _home_pools(state, service)
        if avoided.get(pool, now) <= now
    ]
    if not free:
        return pools.choose(state, service)
    return free[state.rng.randrange(len(free))]


def avoid(state: core_state.State, now: float, pool: str) -> None:
    """Avoid a pool that has little room, unless it is the only one."""
    if pools.parse(pool)[2] > 1:
        until = now + const.AVOID_POOL_SECONDS
        state.dispatch.avoided_pools[pool] = until


def _home_pools(state: core_state.State, service: str) -> list[str]:
    """Return this entry's home pools, by rendezvous hashing."""
    known = state.dispatch.home_pools.get(service)
    if known is not None and known[0] == pools.count_of(state, service):
        return known[1]
    names = pools.names_of(state, service)
    entry = state.identity.entry
    # Pools of earlier counts are no longer asked.
    state.dispatch.avoided_pools.clear()
    names.sort(key=lambda name: _rank(entry, name))
    home = names[: max(1, len(names) // const.HOME_POOLS_PART)]
    state.dispatch.home_pools[service] = (len(names), home)
    return home


def _rank(entry: str, pool: str) -> int:
    return xxhash.xxh64_intdigest(f"{entry} {pool}".encode())
