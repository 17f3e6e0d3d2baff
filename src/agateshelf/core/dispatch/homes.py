"""Determines which entry owns a service, and sends messages to owners.

The owner of a service is the live entry that ranks first in weighted rendezvous
hashing. Entries that agree on the live entries thus agree on the owner, and an
entry with more capacity owns more services. An owner that does not reply is
skipped for a while.
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
    """Return the live entries in order of preference as owner."""
    known = state.dispatch.homes.get(service)
    if known is None:
        _assign(state)
        known = state.dispatch.homes.get(service)
    if known is None:
        known = _ranking_of(state, service)
        state.dispatch.homes[service] = known
    return known


def _assign(state: core_state.State) -> None:
    """Assign the services of the routes to distinct owners.

    An entry that owns two services has twice the load when both get a burst
    of requests at the same time. If there are more services than entries,
    assignment starts over with all entries.
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
    """Return a failure domain's entries in order of preference as sampler."""
    key = (service, failure_domain)
    known = state.dispatch.sampling_orders.get(key)
    if known is None:
        entries = view.entries_in(state, failure_domain)
        known = _rank(state, f"samples/{service}/{failure_domain}", entries)
        state.dispatch.sampling_orders[key] = known
    return known


def forget(state: core_state.State) -> None:
    """Clear the cached rankings after live entries or routes changed."""
    state.dispatch.homes.clear()
    state.dispatch.sampling_orders.clear()


def _rank(
    state: core_state.State, job: str, entries: tuple[str, ...]
) -> tuple[str, ...]:
    """Rank entries for a job by weighted rendezvous hashing.

    Machines differ in capacity, so an entry comes first in proportion to its
    weight. The order is the same at all entries.
    """

    def draw(entry: str) -> tuple[float, str]:
        number = xxhash.xxh64_intdigest(f"{job}/{entry}".encode())
        share = (number + 1) / _HASHES
        weight = view.capacity_of(state, entry) ** const.CAPACITY_EXPONENT
        return math.log(share) / max(weight, const.MIN_WEIGHT), entry

    return tuple(sorted(entries, key=draw, reverse=True))


def is_home(state: core_state.State, service: str) -> bool:
    """Return whether this entry owns a service."""
    return ranked(state, service)[:1] == (state.identity.entry,)


def pick(
    state: core_state.State, now: float, service: str, tried: set[str]
) -> str:
    """Return the owner to ask, or this entry if no other is left."""
    for entry in ranked(state, service):
        if entry in tried:
            continue
        if state.dispatch.suspected.get(entry, 0.0) <= now:
            return entry
    return state.identity.entry


def tell(
    state: core_state.State, entry: str, message: peer_models.PeerMessage
) -> list[effects.Effect]:
    """Send a message to an entry, which may be this entry."""
    if entry == state.identity.entry:
        state.inbox.append(events.PeerSpoke(entry, message))
        return []
    return [effects.SendToPeers((entry,), message)]
