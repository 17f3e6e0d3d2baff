"""Choice of the reader of a failure domain, and the feed's timer.

One entry of each failure domain, the reader, watches the store and relays
changes to its neighbours, the other entries of that domain. The number of
watches thus grows with the failure domains and not with the entries, and
relayed changes stay within a failure domain. Regular heartbeats of the reader
say that it is current; when they stop, the next entry takes over. Two readers
at a time only cost a few extra requests to the store, since all data is ordered
by the store's revisions.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.feed import catching_up
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.feed import proof_requests
from agateshelf.core.feed import reading
from agateshelf.core.feed import relaying
from agateshelf.core.feed import removals
from agateshelf.core.feed import startup

Effects = list[effects.Effect]


def on_started(state: core_state.State, now: float) -> Effects:
    """Read all topics once and start the feed's timer.

    Where keys need proof, the routes are read as they are now: after a loss of
    the whole fleet no other entry has proof, and none would serve keys for most
    of a second. Other first reads may be stale, which costs a tenth.
    """
    feed = state.feed
    feed.store_heard_at = now
    feed.synced_at = (
        now + const.STARTUP_GRACE_SECONDS - const.READER_TIMEOUT_SECONDS
    )
    _schedule(state, now)
    startup.on_started(state, now)
    needs_proof = state.revocation_seconds is not None
    return [
        effect
        for topic in models.Topic
        for effect in reading.read(
            state,
            now,
            topic,
            stale=not (needs_proof and topic is models.Topic.ROUTES),
        )
    ]


def _schedule(state: core_state.State, now: float) -> None:
    timers.schedule(
        state.timers, now + const.HEARTBEAT_SECONDS, models.FeedDue()
    )


def on_due(state: core_state.State, now: float) -> Effects:
    """Send a heartbeat, replace a silent reader, or retry failed reads."""
    _schedule(state, now)
    emitted = on_removals_due(state, now)
    emitted.extend(evacuation.on_due(state, now, const.SOURCE_DEFERRED))
    emitted.extend(proof_requests.on_due(state, now))
    emitted.extend(catching_up.on_due(state, now))
    if state.stopping:
        # It counts as leaving, so that readers send it nothing.
        return [*emitted, *relaying.request_from_neighbour(state)]
    emitted.extend(on_reader_resigned(state, now))
    if state.feed.is_reader:
        emitted.extend(reading.continue_reading(state, now))
    else:
        emitted.extend(reading.read_missing_topics(state, now))
    return emitted


def on_removals_due(state: core_state.State, now: float) -> Effects:
    """Adopt the deferred removals that are due."""
    due, made_after = removals.take_due(state, now)
    return reading.adopt_items(
        state, now, due, const.SOURCE_DEFERRED, made_after=made_after
    )


def on_reader_resigned(state: core_state.State, now: float) -> Effects:
    """Become the reader once the current one is silent for long enough."""
    if state.stopping or state.feed.is_reader:
        return []
    due = _takeover_at(state)
    if now >= due - const.TIMER_TOLERANCE_SECONDS:
        return reading.start_reading(state, now)
    if due < now + const.HEARTBEAT_SECONDS:
        # The feed's own timer would come up to a whole interval later.
        timers.schedule(state.timers, due, models.TakeoverDue())
    return []


def _takeover_at(state: core_state.State) -> float:
    """Return when this entry becomes the reader if none is heard of."""
    me = state.identity.entry
    feed = state.feed
    rank = sum(
        1
        for entry in relaying.neighbours(state)
        if entry < me and entry not in (feed.resigned_reader, feed.reader)
    )
    steps = min(rank, const.MAX_READER_TIMEOUT_STEPS)
    timeout = (
        const.READER_TIMEOUT_SECONDS + steps * const.READER_TIMEOUT_STEP_SECONDS
    )
    return feed.synced_at + timeout
