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
from agateshelf.core.membership import builds
from agateshelf.core.membership import const
from agateshelf.core.membership import gossip
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import view


def schedule(state: core_state.State, now: float) -> None:
    """Schedule the next sync."""
    jitter = state.rng.uniform(-1.0, 1.0) * const.SYNC_JITTER_SHARE
    at = now + state.membership.sync_interval * (1.0 + jitter)
    timers.schedule(state.timers, at, models.SyncDue())


def on_due(state: core_state.State, now: float) -> list[effects.Effect]:
    """Start a sync, or ask another entry for the page that has not come."""
    membership = state.membership
    peer = _choose_peer(state)
    is_unfinished = membership.sync_cursor is not None
    if not is_unfinished:
        membership.sync_interval = min(
            const.MAX_SYNC_INTERVAL_SECONDS, 2 * membership.sync_interval
        )
    if membership.sync_found_changes or peer is None:
        membership.sync_interval = const.INITIAL_SYNC_INTERVAL_SECONDS
    membership.sync_found_changes = False
    schedule(state, now)
    if peer is None:
        return []
    if is_unfinished and membership.sync_cursor:
        request = messages.SyncRequest(membership.sync_cursor)
        return [effects.SendToPeers((peer,), request)]
    return [*builds.survey(state), *start(state, peer)]


def _choose_peer(state: core_state.State) -> str | None:
    """Return a random live entry, preferably of the same failure domain."""
    others = [
        entry
        for entry in view.live_entries(state)
        if entry != state.identity.entry
    ]
    domain = state.identity.failure_domain
    same_domain = [
        e for e in others if view.failure_domain_of(state, e) == domain
    ]
    are_enough = len(same_domain) >= const.MIN_SAME_DOMAIN_SHARE * len(others)
    if (
        same_domain
        and are_enough
        and state.rng.random() < const.SYNC_SAME_DOMAIN_SHARE
    ):
        return state.rng.choice(same_domain)
    return state.rng.choice(others) if others else None


def start(state: core_state.State, peer: str) -> list[effects.Effect]:
    """Request the first page of a peer's records, unless they are the same."""
    state.membership.sync_cursor = ""
    request = messages.SyncRequest("", _digest(state))
    return [effects.SendToPeers((peer,), request)]


def _digest(state: core_state.State) -> int:
    """Return a digest of all records, independent of order and never 0."""
    membership = state.membership
    digest = 0
    records = list(membership.members.values())
    if membership.own_record is not None:
        records.append(membership.own_record)
    for record in records:
        text = f"{record.entry}/{record.incarnation}/{record.status}"
        if record.format:
            # Records that came through an entry of an earlier build lack the
            # format, and are completed by those of entries that know it.
            text = f"{text}/{record.format}"
        digest ^= xxhash.xxh64_intdigest(text.encode())
    return digest or 1


def on_request(
    state: core_state.State, peer: str, message: messages.SyncRequest
) -> list[effects.Effect]:
    """Answer with a page of records; an empty one if the digests are equal."""
    if message.digest and message.digest == _digest(state):
        return [effects.SendToPeers((peer,), messages.SyncPage(()))]
    members = state.membership.members
    names = sorted(members)
    first = bisect.bisect_right(names, message.after)
    end = first + const.SYNC_PAGE_RECORDS
    page = tuple(members[name] for name in names[first:end])
    response = messages.SyncPage(page, end < len(names))
    return [effects.SendToPeers((peer,), response)]


def on_page(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.SyncPage,
) -> list[effects.Effect]:
    """Merge a page of records and request the next one, if there is one."""
    membership = state.membership
    relevant = [
        record for record in message.members if _is_relevant(state, record)
    ]
    if any(_is_change(state, record) for record in relevant):
        membership.sync_found_changes = True
    only_joins = all(r.status is models.Status.LIVE for r in relevant)
    has_more = membership.sync_cursor is not None and message.more
    emitted = gossip.merge_records(
        state, now, relevant, has_more=has_more and only_joins
    )
    for record in relevant:
        # The sender of the page has these records already, so that they are
        # not new to the cluster and need no gossip.
        membership.remaining_transmissions.pop(record.entry, None)
    if membership.sync_cursor is None:
        return emitted
    if not message.more or not message.members:
        membership.sync_cursor = None
        return emitted
    membership.sync_cursor = message.members[-1].entry
    request = messages.SyncRequest(membership.sync_cursor)
    # Each page comes from another entry, to spread the load.
    next_peer = _choose_peer(state) or peer
    return [*emitted, effects.SendToPeers((next_peer,), request)]


def _is_change(state: core_state.State, record: models.Member) -> bool:
    known = state.membership.members.get(record.entry)
    if record.entry == state.identity.entry:
        return False
    return known is None or gossip.is_newer(record, known)


def _is_relevant(state: core_state.State, record: models.Member) -> bool:
    """Return whether a record is of a member or of an entry that isn't gone."""
    if record.entry in state.membership.members:
        return True
    return record.status is not models.Status.GONE
