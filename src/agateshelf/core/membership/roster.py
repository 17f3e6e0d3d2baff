"""State sync (anti-entropy): exchange of all records with another entry.

Gossip carries only a few records per message: when many entries start at once,
as after a power loss, it takes half a minute for each to learn of a hundred
others. Syncs therefore follow each other quickly while they bring changes.
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
    """Schedule the next sync."""
    jitter = state.rng.uniform(-1.0, 1.0) * const.ROSTER_JITTER_SHARE
    at = now + state.membership.roster_pause * (1.0 + jitter)
    timers.schedule(state.timers, at, models.SyncDue())


def on_due(state: core_state.State, now: float) -> list[effects.Effect]:
    """Start a sync; one that is still under way is abandoned."""
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
    """Return a random live entry, preferably of the same failure domain."""
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
    """Request the first page of a peer's records, unless they are the same."""
    state.membership.roster_after = ""
    wanted = messages.SyncRequest("", _digest(state))
    return [effects.SendToPeers((peer,), wanted)]


def _digest(state: core_state.State) -> int:
    """Return a digest of all records, independent of order and never 0."""
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
    state: core_state.State, peer: str, message: messages.SyncRequest
) -> list[effects.Effect]:
    """Answer with a page of records; an empty one if the digests are equal."""
    if message.digest and message.digest == _digest(state):
        return [effects.SendToPeers((peer,), messages.SyncPage(()))]
    members = state.membership.members
    names = sorted(members)
    begin_at = bisect.bisect_right(names, message.after)
    end = begin_at + const.ROSTER_PAGE
    page = tuple(members[name] for name in names[begin_at:end])
    answer = messages.SyncPage(page, end < len(names))
    return [effects.SendToPeers((peer,), answer)]


def on_page(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.SyncPage,
) -> list[effects.Effect]:
    """Merge a page of records and request the next one, if there is one."""
    membership = state.membership
    fresh = [record for record in message.members if _is_of_use(state, record)]
    if any(_is_news(state, record) for record in fresh):
        membership.roster_news = True
    done = beliefs.learn(state, now, fresh)
    for record in fresh:
        # The sender of the page has these records already, so that they are
        # not new to the cluster and need no gossip.
        membership.remaining_transmissions.pop(record.entry, None)
    if membership.roster_after is None:
        return done
    if not message.more or not message.members:
        membership.roster_after = None
        return done
    membership.roster_after = message.members[-1].entry
    wanted = messages.SyncRequest(membership.roster_after)
    # Each page comes from another entry, to spread the load.
    asked = _choose(state) or peer
    return [*done, effects.SendToPeers((asked,), wanted)]


def _is_news(state: core_state.State, record: models.Member) -> bool:
    known = state.membership.members.get(record.entry)
    if record.entry == state.identity.entry:
        return False
    return known is None or beliefs.is_newer(record, known)


def _is_of_use(state: core_state.State, record: models.Member) -> bool:
    """Return whether a record is of a member or of an entry that isn't gone."""
    if record.entry in state.membership.members:
        return True
    return record.status is not models.Status.GONE
