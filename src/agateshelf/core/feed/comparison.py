"""Compares an entry's registrations with those of readers, by a digest.

Most writes of registrations are heartbeats of targets, which readers alone
read. The revision of what a reader has read grows with each of them, so it
doesn't tell whether anything is missing here; the digest does.
"""

import math

from agateshelf.core import state as core_state
from agateshelf.core.directory import handling as directory
from agateshelf.core.feed import const
from agateshelf.core.feed import messages


def digest(state: core_state.State) -> int:
    """Return the digest of the registrations; 0 while removals are deferred."""
    if state.feed.deferred_removals:
        return 0
    return state.directory.digest or 1


def is_behind(
    state: core_state.State, heartbeat: messages.FeedHeartbeat
) -> bool:
    """Return whether a reader has registrations that are missing here.

    An entry with the same digest has all of them, as of the reader's revision.
    """
    if heartbeat.revision <= state.directory.revision:
        return False
    if heartbeat.digest and heartbeat.digest == digest(state):
        directory.note_complete(state.directory, heartbeat.revision)
        return False
    return True


def differ_for_long(
    state: core_state.State, now: float, heartbeat: messages.FeedHeartbeat
) -> bool:
    """Return whether requests for changes don't bring what is missing.

    Changes are sent since a revision. An entry that knows the removal of a
    target from a reader that is gone would not get what the next reader, which
    missed that removal, takes for known.
    """
    feed = state.feed
    own = digest(state)
    if not heartbeat.digest or not own or heartbeat.digest == own:
        feed.differs_since = math.inf
        return False
    feed.differs_since = min(feed.differs_since, now)
    if now - feed.differs_since < const.MAX_DIFFERENCE_SECONDS:
        return False
    feed.differs_since = now
    return True
