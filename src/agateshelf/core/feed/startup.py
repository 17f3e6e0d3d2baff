"""Has an entry that starts ask its peers for what the store does not tell it.

Answers the load of a store that is slow, or that refuses some of the entries
when all of them start at once: the others have routes and registrations then,
while there is no reader yet whose heartbeats would tell so. Costs no request to
the store, and no message if the store answers soon.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.feed import const
from agateshelf.core.feed import models
from agateshelf.core.feed import relaying
from agateshelf.core.feed import sending

Effects = list[effects.Effect]


def on_started(state: core_state.State, now: float) -> None:
    """Start the timer."""
    due = models.StartupDue(1)
    timers.schedule(state.timers, now + const.STARTUP_ASK_SECONDS, due)


def on_due(
    state: core_state.State, now: float, event: models.StartupDue
) -> Effects:
    """Ask another entry, until routes and registrations are known (timer).

    Entries of the own failure domain are asked first: what comes from another
    one is passed on to all neighbours. As intervals are drawn at random, most
    neighbours then have it before they ask another failure domain themselves.
    """
    if state.stopping or _knows_all(state):
        return []
    pause = const.STARTUP_ASK_SECONDS * state.rng.uniform(0.5, 2.5)
    due = models.StartupDue(event.attempt + 1)
    timers.schedule(state.timers, now + pause, due)
    known = relaying.neighbours(state)
    if not known or event.attempt % 2 == 0:
        return relaying.request_from_other_domain(state)
    chosen = state.rng.choice(known)
    return sending.send([chosen], sending.create_request(state))


def _knows_all(state: core_state.State) -> bool:
    has_targets = bool(state.directory.targets)
    has_read = state.feed.topics[models.Topic.TARGETS].revision > 0
    return state.routes.table is not None and (has_targets or has_read)
