"""Queries on membership, for the other packages of the core."""

import xxhash

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.membership import const
from agateshelf.core.membership import models

_LIVE_STATUSES = (models.Status.LIVE, models.Status.SUSPECT)


def live_entries(state: core_state.State) -> tuple[str, ...]:
    """Return the entries believed to be live, in order, this one included.

    An entry without peers returns only itself.
    """
    membership = state.membership
    if membership.live is None:
        membership.live = _compute_live(state)
    return membership.live


def _compute_live(state: core_state.State) -> tuple[str, ...]:
    membership = state.membership
    entries = {state.identity.entry}
    for member in membership.members.values():
        if member.status in _LIVE_STATUSES:
            entries.add(member.entry)
    return tuple(sorted(entries))


def post_live_entries(state: core_state.State) -> None:
    """Post an event with the live entries for the other packages."""
    live = tuple(
        events.LiveEntry(entry, failure_domain_of(state, entry) or "")
        for entry in live_entries(state)
    )
    state.pending_events.append(events.LiveEntriesChanged(live))


def count_lost(state: core_state.State, now: float, within: float) -> int:
    """Return how many entries went within some seconds without having left."""
    lost_at = state.membership.lost_at.values()
    return sum(now - at < within for at in lost_at)


def failure_domain_of(state: core_state.State, entry: str) -> str | None:
    """Return the failure domain of an entry, or None if it is not known."""
    if entry == state.identity.entry:
        return state.identity.failure_domain
    member = state.membership.members.get(entry)
    return None if member is None else member.failure_domain


def entries_in(state: core_state.State, failure_domain: str) -> tuple[str, ...]:
    """Return the live entries of a failure domain."""
    return tuple(
        entry
        for entry, domain in state.membership.failure_domains.items()
        if domain == failure_domain
    )


def capacity_of(state: core_state.State, entry: str) -> float:
    """Return the reported capacity of an entry, in units of a typical core.

    It is 1 for an entry that is not known.
    """
    if entry == state.identity.entry:
        return state.identity.capacity
    member = state.membership.members.get(entry)
    return 1.0 if member is None else member.capacity


def neighbours(state: core_state.State) -> tuple[str, ...]:
    """Return the entries that this one probes.

    Each entry selects its own by rendezvous hashing: connections stay open and
    their number bounded at any cluster size, and a membership change moves
    only a few of them.
    """
    membership = state.membership
    if membership.neighbours is None:
        membership.neighbours = _compute_neighbours(state)
    return membership.neighbours


def _compute_neighbours(state: core_state.State) -> tuple[str, ...]:
    own_entry = state.identity.entry
    others = [
        member.entry
        for member in state.membership.members.values()
        if member.status in _LIVE_STATUSES
    ]
    if len(others) > const.NEIGHBOURS:
        others.sort(key=lambda entry: _rank(own_entry, entry))
        others = others[: const.NEIGHBOURS]
    return tuple(sorted(others))


def select_entries(
    state: core_state.State, purpose: str, count: int
) -> tuple[str, ...]:
    """Return live entries selected for a purpose by rendezvous hashing.

    Entries with the same membership select the same ones.
    """
    entries = live_entries(state)
    ranked = sorted(entries, key=lambda entry: _rank(purpose, entry))
    return tuple(ranked[:count])


def _rank(purpose: str, entry: str) -> int:
    return xxhash.xxh64_intdigest(f"{purpose}/{entry}".encode())
