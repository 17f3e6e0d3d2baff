"""Tells outages of the store from interruptions of a single connection.

While the store is away targets can't renew their registrations, so that some
expire although their targets run. A watch that breaks shows no outage: what
counts is for how long nothing was heard from the store, neither here nor by
the readers of other failure domains.
"""

from agateshelf.core import state as core_state
from agateshelf.core.feed import const
from agateshelf.core.feed import models


def note_heard(state: core_state.State, now: float, age: float = 0.0) -> None:
    """Note that the store has answered, and whether it had been away.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        age: Seconds since the answer at most, if another entry reports it.
    """
    feed = state.feed
    silent_for = now - feed.store_heard_at
    feed.store_heard_at = max(feed.store_heard_at, now - age)
    if silent_for >= shortest_outage(state):
        feed.removal_grace_until = now + const.OUTAGE_GRACE_SECONDS
        feed.returned_after = feed.failed_at


def note_failure(
    feed: models.FeedState, now: float, topic: models.TopicState
) -> None:
    """Note a request that failed; the store was not back when it began."""
    is_read = topic.phase is models.Phase.READING
    feed.failed_at = topic.requested_at if is_read else now


def shortest_outage(state: core_state.State) -> float:
    """Return the seconds of an outage in which a registration can expire.

    That takes three intervals of heartbeats, and the last heartbeat before the
    outage came at most one interval earlier.
    """
    intervals = const.EXPIRY_HEARTBEATS - 1
    return intervals * state.target_heartbeat_seconds
