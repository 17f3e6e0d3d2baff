"""Selection of the owner, the entry that appends to a shard.

One appender per shard makes large batches and few conflicts. Safety doesn't
depend on it: two owners at once are slow, but the compare-and-swap keeps the
log correct.
"""

import functools
import hashlib

from agateshelf.core import events
from agateshelf.core import state as core_state

_WEIGHT_BYTES = 8
_CACHED_OWNERS = 4096


@functools.lru_cache(maxsize=_CACHED_OWNERS)
def owner_of(shard: int, entries: tuple[str, ...]) -> str | None:
    """Return the owner of a shard by rendezvous hashing, None if no entries."""
    return max(
        entries, key=lambda entry: (_weight(shard, entry), entry), default=None
    )


def adopt_entries(
    state: core_state.State, event: events.LiveEntriesChanged
) -> None:
    """Update the live entries."""
    names = tuple(entry.id for entry in event.entries)
    state.claims.entries = names
    for owner in set(state.claims.last_decisions_at) - set(names):
        del state.claims.last_decisions_at[owner]


def current_owner(state: core_state.State, now: float, shard: int) -> str:
    """Return the owner of a shard, chosen among the entries not suspected."""
    own = state.identity.entry
    suspected = state.claims.suspected_until
    entries = state.claims.entries
    if suspected:
        entries = tuple(
            entry
            for entry in entries
            if entry == own or suspected.get(entry, now) <= now
        )
    return owner_of(shard, entries) or own


def suspect(state: core_state.State, until: float, owner: str) -> None:
    """Pass over an owner until a time."""
    if owner != state.identity.entry:
        state.claims.suspected_until[owner] = until


def record_decisions(state: core_state.State, now: float, owner: str) -> None:
    """Record that an owner sent decisions, and clear any suspicion of it."""
    state.claims.suspected_until.pop(owner, None)
    state.claims.last_decisions_at[owner] = now


def has_decided_since(
    state: core_state.State, since: float, owner: str
) -> bool:
    """Return whether an owner has sent any decisions since a time."""
    return state.claims.last_decisions_at.get(owner, float("-inf")) >= since


def _weight(shard: int, entry: str) -> bytes:
    data = f"{shard}/{entry}".encode()
    return hashlib.blake2b(data, digest_size=_WEIGHT_BYTES).digest()
