"""Tells as of when the routes in force are known to be the newest ones.

A read of the store, an answer to a request of this entry and, where no proof is
needed, a reader's watch show that. Each is dated at its beginning, so that a
delay on the way only makes the routes seem older. What others announce of their
own accord can't be dated.
"""

import math

from agateshelf.core import positions
from agateshelf.core import state as core_state
from agateshelf.core.feed import messages
from agateshelf.core.feed import proof

# Age that is logged while it is not known.
_UNKNOWN = -1.0


def as_of(state: core_state.State, now: float) -> float:
    """Return the latest such time in seconds; minus infinity without one."""
    feed = state.feed
    at = max(feed.proven_at, feed.confirmed_at)
    if not feed.is_reader or proof.is_required(state):
        return at
    return max(at, min(now, feed.synced_at))


def age_of(state: core_state.State, now: float) -> float | None:
    """Return the seconds since that time; None if none is known."""
    at = as_of(state, now)
    return max(0.0, now - at) if math.isfinite(at) else None


def logged_age(state: core_state.State, now: float) -> float:
    """Return that age for the log, -1 if it isn't known."""
    age = age_of(state, now)
    return _UNKNOWN if age is None else round(age, 3)


def on_answer(
    state: core_state.State, sent_at: float, update: messages.FeedUpdate
) -> None:
    """Note as of when an answer confirms the routes, after it was adopted.

    Args:
        state: State of the entry.
        sent_at: Time at which this entry sent the request.
        update: The answer of another entry.
    """
    age = update.current_age
    table = state.routes.table
    if age is None or not (math.isfinite(age) and age >= 0) or table is None:
        return
    if not 0 < update.proof_at <= table.revision:
        return
    # A restored store may lack what was written before.
    era = positions.era_of(update.proof_at)
    if era != positions.era_of(table.revision):
        return
    proof.confirm(state, sent_at - age)
