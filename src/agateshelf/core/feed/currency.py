"""Tells as of when the routes in force are known to be the newest ones."""

import math

from agateshelf.core import state as core_state

# Age that is logged while it is not known.
_UNKNOWN = -1.0


def as_of(state: core_state.State) -> float:
    """Return the latest such time in seconds; minus infinity if none is known.

    A heartbeat of a reader is dated at its arrival, so that one which was late
    on the way makes the routes seem more recent than they are.
    """
    return max(state.feed.proven_at, state.feed.synced_at)


def age_of(state: core_state.State, now: float) -> float:
    """Return the seconds since that time, -1 if none is known, for the log."""
    at = as_of(state)
    return round(max(0.0, now - at), 3) if math.isfinite(at) else _UNKNOWN


def age_for_peers(state: core_state.State, now: float) -> float | None:
    """Return that age for another entry; None if it isn't known."""
    at = as_of(state)
    return max(0.0, now - at) if math.isfinite(at) else None
