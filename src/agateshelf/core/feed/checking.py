"""Detects that the store has stopped answering the reader.

The store may stop answering some entries, the readers of all failure domains
among them, and a watch that will never be answered looks the same as one
without changes. A reader therefore sends a stale read, which costs little, at
regular intervals. If one is not answered, it announces that it stops being the
reader and sends no further heartbeats, so that a neighbour takes over.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.feed import adoption
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.feed import relaying

Effects = list[effects.Effect]


def check(state: core_state.State, now: float) -> Effects:
    """Send a check to the store if one is due and none is pending."""
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
    """Handle the answer to a check; without one, hand over to a neighbour."""
    feed = state.feed
    feed.check_request = 0
    match answer:
        case models.Unavailable():
            return _on_no_answer(state, answer)
        case models.Snapshot():
            feed.store_unresponsive = False
            return adoption.adopt_table(state, answer.table, const.SOURCE_STORE)
        case _:
            feed.store_unresponsive = False
            return []


def _on_no_answer(
    state: core_state.State, answer: models.Unavailable
) -> Effects:
    feed = state.feed
    if feed.store_unresponsive or not feed.is_reader:
        return []
    feed.store_unresponsive = True
    return [
        effects.LogEvent("store.silent", details=(("reason", answer.reason),)),
        *relaying.send(
            relaying.neighbours(state), relaying.heartbeat(state, leaving=True)
        ),
    ]
