"""Tells how old changes in the store can be when a reader learns of them.

A change was made after the store was last known to be without it. That time
says how long a target may have been leaving, whatever delayed the news: a
pause between watches, a watch that broke, or a reader that was lost.
"""

import math

from agateshelf.core.feed import const
from agateshelf.core.feed import models


def made_after(
    topic: models.TopicState, now: float, answer: models.FeedAnswer
) -> float:
    """Return the earliest time at which answered changes can have been made.

    A watch that was pending for a while would have brought earlier ones.
    """
    is_watch = isinstance(answer, models.Changes)
    pending_for = now - topic.requested_at
    if is_watch and pending_for >= const.WATCH_DELAY_SECONDS:
        return max(topic.known_at, now - const.WATCH_DELAY_SECONDS)
    return topic.known_at


def note_answer(
    topic: models.TopicState, now: float, answer: models.FeedAnswer
) -> None:
    """Note as of when all changes are known; stale reads may be old."""
    match answer:
        case models.Changes():
            topic.known_at = max(topic.known_at, now)
        case models.Snapshot() if not topic.stale:
            topic.known_at = max(topic.known_at, topic.requested_at)
        case _:
            pass


def note_takeover(feed: models.FeedState) -> None:
    """Take as known what the reader before had read by its last heartbeat."""
    known_at = feed.synced_at - const.BUSY_WATCH_PAUSE_SECONDS
    for topic in feed.topics.values():
        topic.known_at = max(topic.known_at, known_at)


def age_of(at: float, now: float) -> float | None:
    """Return the age of a change in seconds; None if it is not known."""
    return round(now - at, 3) if math.isfinite(at) else None
