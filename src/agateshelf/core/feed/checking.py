"""Finding out that the store has gone silent towards a reader.

Answers a store that stops answering some entries, all readers among them: a
watch that nobody will answer looks the same as one without news. A reader
therefore asks a cheap question now and then; while that is not answered, it
doesn't call itself current and lets a neighbour read.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.feed import adoption
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.feed import relaying

Effects = list[effects.Effect]


def check(state: core_state.State, now: float) -> Effects:
    """Ask whether the store still answers, if it is time to."""
    feed = state.feed
    if feed.check_request or now < feed.check_at:
        return []
    feed.check_at = now + const.CHECK_SECONDS
    feed.last_request += 1
    feed.check_request = feed.last_request
    return [
        effects.ReadFeed(
            feed.check_request,
            models.Topic.ROUTES,
            stale=True,
            timeout=const.CHECK_TIMEOUT_SECONDS,
        )
    ]


def on_answer(state: core_state.State, answer: models.FeedAnswer) -> Effects:
    """Take the answer in, or let a neighbour read until there is one."""
    feed = state.feed
    feed.check_request = 0
    match answer:
        case models.Unavailable():
            return _on_silence(state, answer)
        case models.Snapshot():
            feed.deaf = False
            return adoption.adopt_table(state, answer.table, const.SOURCE_STORE)
        case _:
            feed.deaf = False
            return []


def _on_silence(state: core_state.State, answer: models.Unavailable) -> Effects:
    feed = state.feed
    if feed.deaf or not feed.reading:
        return []
    feed.deaf = True
    return [
        effects.Note("store.silent", details=(("reason", answer.reason),)),
        *relaying.send(
            relaying.neighbours(state), relaying.beat(state, leaving=True)
        ),
    ]
