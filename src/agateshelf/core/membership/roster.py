"""Comparing all records with other entries.

Answers many entries that start at once, as after a loss of power: rumours pass
a few records on with each heartbeat, and each entry would take half a minute
to hear of a hundred. Until a comparison brings no news, another follows soon.
"""

import bisect

import xxhash

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.membership import beliefs
from agateshelf.core.membership import const
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import view


def schedule(state: core_state.State, now: float) -> None:
    """Schedule the next comparison."""
    jitter = state.rng.uniform(-1.0, 1.0) * const.ROSTER_JITTER_SHARE
    at = now + state.membership.roster_pause * (1.0 + jitter)
    timers.schedule(state.timers, at, models.RosterDue())


def on_due(state: core_state.State, now: float) -> list[effects.Effect]:
    """Begin a comparison; one that is still under way is given up."""
    membership = state.membership
    peer = _choose(state)
    membership.roster_pause = min(
        const.ROSTER_LONGEST_SECONDS, 2 * membership.roster_pause
    )
    if membership.roster_news or peer is None:
        membership.roster_pause = const.ROSTER_FIRST_SECONDS
    membership.roster_news = False
    schedule(state, now)
    return [] if peer is None else begin(state, peer)


def _choose(state: core_state.State) -> str | None:
    """Return the entry to compare with, rather one that is near."""
    others = [
        entry
        for entry in view.live_entries(state)
        if entry != state.identity.entry
    ]
    here = state.identity.failure_domain
    near = [e for e in others if view.failure_domain_of(state, e) == here]
    enough = len(near) >= const.ROSTER_LEAST_NEAR * len(others)
    if near and enough and state.rng.random() < const.ROSTER_NEAR_SHARE:
        return state.rng.choice(near)
    return state.rng.choice(others) if others else None


def begin(state: core_state.State, peer: str) -> list[effects.Effect]:
    """Ask an entry for the records that it has, if they are others."""
    state.membership.roster_after = ""
    wanted = messages.RosterWanted("", _digest(state))
    return [effects.SendToPeers((peer,), wanted)]


def _digest(state: core_state.State) -> int:
    """Return a number that tells sets of records apart, never 0."""
    membership = state.membership
    digest = 0
    records = list(membership.members.values())
    if membership.me is not None:
        records.append(membership.me)
    for record in records:
        text = f"{record.entry}/{record.incarnation}/{record.status}"
        digest ^= xxhash.xxh64_intdigest(text.encode())
    return digest or 1


def on_wanted(
    state: core_state.State, peer: str, message: messages.RosterWanted
) -> list[effects.Effect]:
    """Send a page of records, or none to one who has the same."""
    if message.digest and message.digest == _digest(state):
        return [effects.SendToPeers((peer,), messages.RosterPage(()))]
    members = state.membership.members
    names = sorted(members)
    begin_at = bisect.bisect_right(names, message.after)
    end = begin_at + const.ROSTER_PAGE
    page = tuple(members[name] for name in names[begin_at:end])
    answer = messages.RosterPage(page, end < len(names))
    return [effects.SendToPeers((peer,), answer)]


def on_page(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.RosterPage,
) -> list[effects.Effect]:
    """Take records in and ask for the next page if there is one."""
    membership = state.membership
    fresh = [record for record in message.members if _is_of_use(state, record)]
    if any(_is_news(state, record) for record in fresh):
        membership.roster_news = True
    done = beliefs.learn(state, now, fresh)
    for record in fresh:
        # Whoever sent the page knows them; they are no news to pass on.
        membership.updates.pop(record.entry, None)
    if membership.roster_after is None:
        return done
    if not message.more or not message.members:
        membership.roster_after = None
        return done
    membership.roster_after = message.members[-1].entry
    wanted = messages.RosterWanted(membership.roster_after)
    # Each page from another entry, so that none pays for all of them.
    asked = _choose(state) or peer
    return [*done, effects.SendToPeers((asked,), wanted)]


def _is_news(state: core_state.State, record: models.Member) -> bool:
    known = state.membership.members.get(record.entry)
    if record.entry == state.identity.entry:
        return False
    return known is None or beliefs.is_newer(record, known)


def _is_of_use(state: core_state.State, record: models.Member) -> bool:
    """Return whether a record is more than word of a stranger long gone."""
    if record.entry in state.membership.members:
        return True
    return record.status is not models.Status.GONE
