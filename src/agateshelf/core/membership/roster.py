"""Exchange of whole records, for newcomers and for what rumours missed."""

import bisect

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import beliefs
from agateshelf.core.membership import const
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import view


def on_wanted(
    state: core_state.State, peer: str, message: messages.RosterWanted
) -> list[effects.Effect]:
    """Send a page of records."""
    members = state.membership.members
    names = sorted(members)
    begin = bisect.bisect_right(names, message.after)
    end = begin + const.ROSTER_PAGE
    page = tuple(members[name] for name in names[begin:end])
    answer = messages.RosterPage(page, message.whole, end < len(names))
    return [effects.SendToPeers((peer,), answer)]


def on_page(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.RosterPage,
) -> list[effects.Effect]:
    """Take records in and ask for the next page if there is one."""
    fresh = [record for record in message.members if _is_of_use(state, record)]
    done = beliefs.learn(state, now, fresh)
    for record in fresh:
        # Whoever sent the page knows them; they are no news to pass on.
        state.membership.updates.pop(record.entry, None)
    if message.whole and state.membership.roster_after is not None:
        done.extend(_go_on(state, peer, message))
    return done


def _go_on(
    state: core_state.State, peer: str, message: messages.RosterPage
) -> list[effects.Effect]:
    if not message.more or not message.members:
        state.membership.roster_after = None
        return []
    state.membership.roster_after = message.members[-1].entry
    # Each page from another entry, so that none pays for all of them.
    others = view.neighbours(state)
    return ask(state, state.rng.choice(others) if others else peer)


def ask(state: core_state.State, peer: str) -> list[effects.Effect]:
    """Ask for the next page of all records, if there is any to come."""
    after = state.membership.roster_after
    if after is None:
        return []
    wanted = messages.RosterWanted(after, whole=True)
    return [effects.SendToPeers((peer,), wanted)]


def _is_of_use(state: core_state.State, record: models.Member) -> bool:
    """Return whether a record is more than word of a stranger long gone."""
    if record.entry in state.membership.members:
        return True
    return record.status is not models.Status.GONE
