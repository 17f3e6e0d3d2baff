"""Detects that the store has stopped answering the reader.

The store may stop answering some entries, the readers of all failure domains
among them, and a watch that will never be answered looks the same as one
without changes. A reader therefore sends a stale read, which costs little, at
regular intervals. If one is not answered, it announces that it stops being the
reader and sends no further heartbeats, so that a neighbour takes over.

While keys may be withdrawn, the check is a read that is not stale, so that its
answer also proves that the routes in force are the newest ones. It may still
prove that when it comes too late for the check.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.feed import adoption
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.feed import proof
from agateshelf.core.feed import relaying
from agateshelf.core.feed import sending

Effects = list[effects.Effect]


def check(state: core_state.State, now: float) -> Effects:
    """Send a check to the store if one is due and none is pending."""
    feed = state.feed
    if feed.check_request:
        return _check_pending(state, now)
    if now < feed.check_at:
        return []
    proves = proof.is_required(state)
    feed.checked_at = now
    feed.check_at = now + const.CHECK_SECONDS
    timeout = const.CHECK_TIMEOUT_SECONDS
    if proves:
        feed.check_at = now + const.PROOF_READ_SECONDS
        timeout = const.READ_TIMEOUT_SECONDS
    feed.last_request += 1
    feed.check_request = feed.last_request
    if proves:
        feed.proof.reads[feed.check_request] = now
    if proves and feed.proof.proven_revision:
        # Without a change the answer is small, however many routes there are.
        return [
            effects.WatchFeed(
                feed.check_request,
                models.Topic.ROUTES,
                feed.proof.proven_revision,
                const.CHECK_WAIT_SECONDS,
            )
        ]
    return [
        effects.ReadFeed(
            feed.check_request,
            models.Topic.ROUTES,
            stale=not proves,
            timeout=timeout,
        )
    ]


def _check_pending(state: core_state.State, now: float) -> Effects:
    """Hand over to a neighbour if a check is overdue that is still pending.

    One that may still prove is waited for; one whose end was never reported is
    sent again.
    """
    feed = state.feed
    pending_for = now - feed.checked_at
    overdue = const.CHECK_TIMEOUT_SECONDS - const.TIMER_TOLERANCE_SECONDS
    if pending_for >= const.LOST_READ_SECONDS:
        feed.proof.reads.pop(feed.check_request, None)
        feed.check_request = 0
    if pending_for < overdue or now - feed.answered_at < const.HEARD_SECONDS:
        return []
    return _on_no_answer(state, models.Unavailable("no answer to a check yet"))


def on_answer(
    state: core_state.State, now: float, answer: models.FeedAnswer
) -> Effects:
    """Handle the answer to a check; without one, hand over to a neighbour."""
    feed = state.feed
    feed.check_request = 0
    before = state.evacuation.current
    emitted: Effects = []
    match answer:
        case models.Unavailable():
            feed.failed_at = max(feed.failed_at, feed.checked_at)
            return _on_no_answer(state, answer)
        case models.Snapshot():
            emitted = adoption.adopt_snapshot(state, now, answer)
        case models.Changes():
            emitted = adoption.adopt_changes(state, now, answer)
        case models.HistoryGone():
            # The next check reads the routes.
            feed.proof.proven_revision = 0
            feed.check_at = now
    feed.store_unresponsive = False
    if state.evacuation.current != before:
        emitted.extend(relaying.relay_evacuations(state))
    return emitted


def _on_no_answer(
    state: core_state.State, answer: models.Unavailable
) -> Effects:
    feed = state.feed
    if feed.store_unresponsive or not feed.is_reader:
        return []
    feed.store_unresponsive = True
    return [
        effects.LogEvent("store.silent", details=(("reason", answer.reason),)),
        *sending.send(
            relaying.neighbours(state), relaying.heartbeat(state, leaving=True)
        ),
    ]
