"""Gets newer routes as a whole where changes can't bring them.

Changes don't help an entry that has no routes, or other ones than those from
which they were made, or after which too much has changed. It reads the store
then. Where the store gives no answer it asks one entry at a time: the one that
told it, or any other, so that not all ask the same one.
"""

import math

from agateshelf.core import effects
from agateshelf.core import positions
from agateshelf.core import state as core_state
from agateshelf.core.feed import const
from agateshelf.core.feed import messages
from agateshelf.core.feed import models
from agateshelf.core.feed import sending
from agateshelf.core.routes import matching

Effects = list[effects.Effect]


def is_behind(state: core_state.State, version: int, at: int) -> bool:
    """Return whether routes elsewhere are newer than those in force.

    Whether the same version of a restored store is newer is not known before it
    was compared, and a position that is not known can't be compared.
    """
    known_version, known_at = matching.stamp(state.routes.table)
    if version != known_version or not known_at:
        return version > known_version
    same_era = positions.era_of(at) == positions.era_of(known_at)
    return same_era and at > known_at


def on_update(
    state: core_state.State, now: float, peer: str, update: messages.FeedUpdate
) -> Effects:
    """Get newer routes that an update speaks of, but doesn't bring.

    The sender of an update that answers nothing is asked for changes first.
    """
    newest = state.feed.newest
    version, at = update.proof_version, update.proof_at
    if not is_behind(state, version, at):
        if peer == newest.asked_entry:
            # It has none that are newer, so that the next one is asked soon.
            newest.asked_entry = ""
            newest.awaited_until = -math.inf
        return []
    if (version, at) != (newest.version, newest.at):
        newest.reads_store = True
    newest.version, newest.at, newest.entry = version, at, peer
    if update.is_answer:
        return _get(state, now)
    # The timer goes on if the answer is lost.
    return sending.send([peer], sending.create_request(state))


def on_due(state: core_state.State, now: float) -> Effects:
    """Ask the next one if the newer routes have not come (timer)."""
    newest = state.feed.newest
    if not is_behind(state, newest.version, newest.at):
        return []
    return _get(state, now)


def _get(state: core_state.State, now: float) -> Effects:
    newest = state.feed.newest
    if now + const.TIMER_TOLERANCE_SECONDS < newest.awaited_until:
        return []
    if not newest.reads_store or now < state.feed.proof.read_at:
        return _ask_entry(state, now)
    newest.reads_store = False
    newest.awaited_until = now + const.STORE_ROUTES_SECONDS
    state.pending_events.append(models.OwnReadWanted())
    return []


def on_read_failed(state: core_state.State, now: float) -> Effects:
    """Ask another entry at once if the store gives no answer."""
    newest = state.feed.newest
    if not is_behind(state, newest.version, newest.at):
        return []
    return _ask_entry(state, now)


def _ask_entry(state: core_state.State, now: float) -> Effects:
    """Ask an entry for its routes as a whole."""
    newest = state.feed.newest
    others = sorted(
        {*state.membership.failure_domains} - {state.identity.entry}
    )
    asks_teller = not others or state.rng.random() < const.ASK_TELLER_SHARE
    chosen = newest.entry if asks_teller else state.rng.choice(others)
    newest.reads_store = True
    newest.asked_entry = chosen
    newest.awaited_until = now + const.ENTRY_ROUTES_SECONDS
    request = sending.create_request(state, whole_routes=True)
    return sending.send([chosen], request)


def may_send_whole(state: core_state.State, now: float) -> bool:
    """Return whether this entry may send its routes as a whole, and count it.

    Many may ask at once, and what goes to them delays all other messages.
    """
    sent = state.feed.whole_sent
    while sent and sent[0] <= now - const.WHOLE_SENT_SECONDS:
        sent.popleft()
    if len(sent) >= const.MAX_WHOLE_SENT:
        return False
    sent.append(now)
    return True
