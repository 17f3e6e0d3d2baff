"""Which entry appends to a shard, for speed only; safety rests on the swap."""

from collections import abc
import hashlib

from agateshelf.core import events
from agateshelf.core import state as core_state

_WEIGHT_BYTES = 8


def owner_of(shard: int, entries: abc.Iterable[str]) -> str | None:
    """Return the owner of a shard by rendezvous hashing, or None."""
    return max(
        entries, key=lambda entry: (_weight(shard, entry), entry), default=None
    )


def adopt_entries(state: core_state.State, event: events.EntriesSeen) -> None:
    """Follow the belief of which entries are live."""
    state.claims.entries = tuple(entry.id for entry in event.entries)


def current_owner(state: core_state.State, now: float, shard: int) -> str:
    """Return the owner of a shard among the entries not suspected now."""
    own = state.identity.entry
    suspected = state.claims.suspected
    entries = [
        entry
        for entry in state.claims.entries
        if entry == own or suspected.get(entry, now) <= now
    ]
    return owner_of(shard, entries) or own


def suspect(state: core_state.State, until: float, owner: str) -> None:
    """Leave an owner that did not answer alone for a while."""
    if owner != state.identity.entry:
        state.claims.suspected[owner] = until


def trust(state: core_state.State, owner: str) -> None:
    """End the suspicion of an owner that answered."""
    state.claims.suspected.pop(owner, None)


def _weight(shard: int, entry: str) -> bytes:
    data = f"{shard}/{entry}".encode()
    return hashlib.blake2b(data, digest_size=_WEIGHT_BYTES).digest()
