"""Tells outages of the store from interruptions of a single connection.

While the store is away targets can't renew their registrations, so that some
expire although their targets run. A watch that breaks shows no outage: what
counts is for how long nothing was heard from the store, neither here nor by
the readers of other failure domains.

When the store came back decides until when removals are deferred. Reads that
hang and their pauses leave that unknown by seconds, so in an outage a reader
also sends stale reads, which cost little, with each heartbeat.
"""

from agateshelf.core import effects
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
    failed_at = topic.requested_at if is_read else now
    feed.failed_at = max(feed.failed_at, failed_at)


def check_return(state: core_state.State, now: float) -> list[effects.Effect]:
    """Ask a store from which nothing is heard for long whether it is back."""
    feed = state.feed
    _note_still_away(feed)
    silent_for = now - feed.store_heard_at
    if silent_for < shortest_outage(state) - const.CHECK_SECONDS:
        return []
    feed.last_request += 1
    feed.return_request = feed.last_request
    feed.return_asked_at = now
    return [
        effects.ReadFeed(
            feed.return_request,
            models.Topic.ROUTES,
            stale=True,
            timeout=const.CHECK_TIMEOUT_SECONDS,
        )
    ]


def on_return_answer(feed: models.FeedState, answer: models.FeedAnswer) -> None:
    """Handle the answer to a request that shows whether the store is back."""
    if isinstance(answer, models.Unavailable):
        _note_still_away(feed)
    feed.return_request = 0


def _note_still_away(feed: models.FeedState) -> None:
    """Note that the latest such request is unanswered; forget it."""
    if feed.return_request:
        feed.failed_at = max(feed.failed_at, feed.return_asked_at)
    feed.return_request = 0


def may_be_away(state: core_state.State, now: float) -> bool:
    """Return whether registrations can have expired that are not back yet."""
    return now - state.feed.store_heard_at >= shortest_outage(state)


def shortest_outage(state: core_state.State) -> float:
    """Return the seconds of an outage in which a registration can expire.

    That takes three intervals of heartbeats, and the last heartbeat before the
    outage came at most one interval earlier.
    """
    intervals = const.EXPIRY_HEARTBEATS - 1
    return intervals * state.target_heartbeat_seconds
