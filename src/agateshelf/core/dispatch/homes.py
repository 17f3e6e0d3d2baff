"""Which entry is the home of a service, and how to speak to it.

The home of a service is the live entry that wins by rendezvous hashing, so
that all entries agree on it as far as they agree on who is live; the more a
machine bears, the likelier it wins. A home that keeps silent is passed over
for a while.
"""

import math

import xxhash

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import const
from agateshelf.core.membership import view
from agateshelf.core.peers import models as peer_models

_HASHES = 1 << 64


def ranked(state: core_state.State, service: str) -> tuple[str, ...]:
    """Return the live entries in the order in which they are homes."""
    known = state.dispatch.homes.get(service)
    if known is None:
        _assign(state)
        known = state.dispatch.homes.get(service)
    if known is None:
        known = _ranking_of(state, service)
        state.dispatch.homes[service] = known
    return known


def _assign(state: core_state.State) -> None:
    """Give the services of the routes homes of their own.

    Answers a burst on several services at once: the entry that is the home of
    two has twice as much to do. Where there are more services than entries,
    the homes come round again.
    """
    table = state.routes.table
    if table is None:
        return
    free = set(view.live_entries(state))
    for service in sorted(table.health_paths):
        ranking = _ranking_of(state, service)
        first = next((e for e in ranking if e in free), ranking[0])
        free.discard(first)
        if not free:
            free = set(ranking)
        others = tuple(entry for entry in ranking if entry != first)
        state.dispatch.homes[service] = (first, *others)


def _ranking_of(state: core_state.State, service: str) -> tuple[str, ...]:
    entries = view.live_entries(state)
    return _rank(state, f"dispatch/{service}", entries)


def sampling_order(
    state: core_state.State, service: str, failure_domain: str
) -> tuple[str, ...]:
    """Return the entries of a failure domain in the order they sample in."""
    key = (service, failure_domain)
    known = state.dispatch.sampling_orders.get(key)
    if known is None:
        entries = view.entries_in(state, failure_domain)
        known = _rank(state, f"samples/{service}/{failure_domain}", entries)
        state.dispatch.sampling_orders[key] = known
    return known


def forget(state: core_state.State) -> None:
    """Forget who does what: the live entries or the routes have changed."""
    state.dispatch.homes.clear()
    state.dispatch.sampling_orders.clear()


def _rank(
    state: core_state.State, job: str, entries: tuple[str, ...]
) -> tuple[str, ...]:
    """Return entries by weighted rendezvous hashing.

    An entry wins as often as its weight says: machines differ, and a job is
    given to one that bears it. The order is the same at all entries.
    """

    def draw(entry: str) -> tuple[float, str]:
        number = xxhash.xxh64_intdigest(f"{job}/{entry}".encode())
        share = (number + 1) / _HASHES
        weight = view.capacity_of(state, entry) ** const.CAPACITY_POWER
        return math.log(share) / max(weight, const.LEAST_WEIGHT), entry

    return tuple(sorted(entries, key=draw, reverse=True))


def is_home(state: core_state.State, service: str) -> bool:
    """Return whether this entry is the home of a service."""
    return ranked(state, service)[:1] == (state.identity.entry,)


def pick(
    state: core_state.State, now: float, service: str, tried: set[str]
) -> str:
    """Return the entry to ask about a service; this one if none is left."""
    for entry in ranked(state, service):
        if entry in tried:
            continue
        if state.dispatch.suspected.get(entry, 0.0) <= now:
            return entry
    return state.identity.entry


def tell(
    state: core_state.State, entry: str, message: peer_models.PeerMessage
) -> list[effects.Effect]:
    """Send a message to an entry, which may be this one."""
    if entry == state.identity.entry:
        state.pending_events.append(events.PeerMessageReceived(entry, message))
        return []
    return [effects.SendToPeers((entry,), message)]
