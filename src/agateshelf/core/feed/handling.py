"""Who reads the store, and how all others hear of it.

One entry of each failure domain, the reader, keeps a watch on the store and
passes on to its neighbours what it hears; so the number of watches follows
the failure domains and not the entries, and what is passed on crosses no
border. A reader says with regular beats that it is current. When the beats
stop, the next entry takes over; two readers at a time cost a few calls and
nothing else, since what is known is ordered by the store's revisions.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.feed import const
from agateshelf.core.feed import lapses
from agateshelf.core.feed import models
from agateshelf.core.feed import reading
from agateshelf.core.feed import relaying

Effects = list[effects.Effect]


def on_started(state: core_state.State, now: float) -> Effects:
    """Read everything once, and look after the feed from now on."""
    feed = state.feed
    feed.current_at = now + const.START_SECONDS - const.SILENCE_SECONDS
    _schedule(state, now)
    return [
        effect
        for topic in models.Topic
        for effect in reading.read(state, topic, stale=True)
    ]


def _schedule(state: core_state.State, now: float) -> None:
    timers.schedule(state.timers, now + const.BEAT_SECONDS, models.FeedDue())


def on_due(state: core_state.State, now: float) -> Effects:
    """Beat, take over a silent reader's place, or try to read again."""
    _schedule(state, now)
    done = reading.adopt_items(
        state, lapses.take_due(state, now), const.SOURCE_LAPSE
    )
    if state.stopping:
        return done
    done.extend(on_reader_left(state, now))
    if state.feed.reading:
        done.extend(reading.go_on_reading(state, now))
    else:
        done.extend(reading.read_what_is_missing(state, now))
    return done


def on_reader_left(state: core_state.State, now: float) -> Effects:
    """Take the reader's place if it is this entry's turn."""
    if state.stopping or state.feed.reading or not _is_silent(state, now):
        return []
    return reading.start_reading(state, now)


def _is_silent(state: core_state.State, now: float) -> bool:
    me = state.identity.entry
    rank = sum(
        1
        for entry in relaying.neighbours(state)
        if entry < me and entry != state.feed.left
    )
    steps = min(rank, const.MOST_SILENCE_STEPS)
    patience = const.SILENCE_SECONDS + steps * const.SILENCE_STEP_SECONDS
    return now - state.feed.current_at >= patience
