"""Merging of membership records and their dissemination by gossip.

Records are ordered by incarnation and then status, so that all entries keep
the same one in whatever order they receive them. A record that replaces an
older one is attached to a bounded number of further pings and acks.
"""

from collections import abc
import dataclasses
import math

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.membership import builds
from agateshelf.core.membership import const
from agateshelf.core.membership import models
from agateshelf.core.membership import view


def merge_records(
    state: core_state.State,
    now: float,
    records: abc.Iterable[models.Member],
    *,
    has_more: bool = False,
) -> list[effects.Effect]:
    """Merge records received from other entries.

    Records about this entry are never stored; a wrong one is refuted.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        records: The records.
        has_more: Whether further records follow within milliseconds, so that
            changes of the live entries may be announced together.
    """
    emitted: list[effects.Effect] = []
    for record in records:
        if record.entry == state.identity.entry:
            _refute(state, record)
        else:
            emitted.extend(_merge_record(state, now, record))
    _announce(state, now, has_more=has_more)
    return emitted


def _announce(state: core_state.State, now: float, *, has_more: bool) -> None:
    """Post the live entries if they changed; later if more will change.

    Answers the load of a fleet that starts at once: each page of a state sync
    made an entry rank all entries anew for all pools, which took over half of
    its processor time in the start of 300 entries.
    """
    membership = state.membership
    if membership.live is not None and not membership.unannounced:
        return
    if not has_more:
        membership.unannounced = False
        view.post_live_entries(state)
    elif not membership.unannounced:
        membership.unannounced = True
        at = now + const.MAX_ANNOUNCEMENT_DELAY_SECONDS
        timers.schedule(state.timers, at, models.LiveEntriesDue())


def on_live_entries_due(state: core_state.State) -> list[effects.Effect]:
    """Post live entries whose sync brought no further page in time."""
    if state.membership.unannounced:
        state.membership.unannounced = False
        view.post_live_entries(state)
    return []


def _refute(state: core_state.State, record: models.Member) -> None:
    """Raise this entry's incarnation above that of a newer record about it."""
    own = state.membership.own_record
    if own is None:
        return
    if (record.incarnation, record.status) <= (own.incarnation, own.status):
        return
    update_own_record(state, record.incarnation + 1, own.status)


def update_own_record(
    state: core_state.State, incarnation: int, status: models.Status
) -> None:
    """Replace this entry's own record and queue it for gossip."""
    own = state.membership.own_record
    if own is None:
        return
    state.membership.own_record = dataclasses.replace(
        own, incarnation=incarnation, status=status
    )
    queue_update(state, own.entry)


def _merge_record(
    state: core_state.State, now: float, record: models.Member
) -> list[effects.Effect]:
    membership = state.membership
    known = membership.members.get(record.entry)
    if known is not None and not is_newer(record, known):
        builds.merge_missing(state, record)
        return []
    if known is None and len(membership.members) >= const.MAX_MEMBERS:
        return [effects.Count("membership.too_many")]
    membership.members[record.entry] = record
    membership.live = None
    membership.neighbours = None
    queue_update(state, record.entry)
    return _on_record_changed(state, now, record, known)


def is_newer(record: models.Member, known: models.Member) -> bool:
    """Return whether a record supersedes the stored one."""
    new = (record.incarnation, record.status)
    return new > (known.incarnation, known.status)


def _on_record_changed(
    state: core_state.State,
    now: float,
    record: models.Member,
    known: models.Member | None,
) -> list[effects.Effect]:
    match record.status:
        case models.Status.SUSPECT:
            at = now + suspicion_timeout(state)
            suspicion = models.SuspicionDue(record.entry, record.incarnation)
            timers.schedule(state.timers, at, suspicion)
        case models.Status.GONE:
            _record_loss(state, now, known)
            at = now + const.GONE_RETENTION_SECONDS
            removal = models.RemovalDue(record.entry, record.incarnation)
            timers.schedule(state.timers, at, removal)
            return [effects.DisconnectPeer(record.entry)]
        case _:
            state.membership.lost_at.pop(record.entry, None)
    is_joining = known is None or known.status is models.Status.GONE
    if is_joining or (known is not None and known.address != record.address):
        return [effects.AddPeer(record.entry, record.address)]
    return []


def _record_loss(
    state: core_state.State, now: float, known: models.Member | None
) -> None:
    membership = state.membership
    membership.last_gone_at = now
    if known is not None and known.status is not models.Status.LEAVING:
        membership.lost_at[known.entry] = now


def queue_update(state: core_state.State, entry: str) -> None:
    """Queue an entry's record for gossip.

    The number of transmissions grows with the logarithm of the number of
    entries.
    """
    doublings = _log2_cluster_size(state)
    transmissions = math.ceil(const.TRANSMISSIONS_PER_DOUBLING * doublings)
    state.membership.remaining_transmissions[entry] = transmissions


def suspicion_timeout(state: core_state.State) -> float:
    """Return the seconds that a suspected entry has to refute the suspicion."""
    slope = const.SUSPICION_SECONDS_PER_DOUBLING
    return const.SUSPICION_BASE_SECONDS + slope * _log2_cluster_size(state)


def _log2_cluster_size(state: core_state.State) -> float:
    return math.log2(len(state.membership.members) + 2)


def take_updates(
    state: core_state.State, receiver: str
) -> tuple[models.Member, ...]:
    """Return the records to attach to a message, the least transmitted first.

    If the receiver's own record is not live, that record comes first, so that
    the receiver can refute it.
    """
    membership = state.membership
    records: list[models.Member] = []
    receiver_record = membership.members.get(receiver)
    if (
        receiver_record is not None
        and receiver_record.status is not models.Status.LIVE
    ):
        records.append(receiver_record)
    room = const.UPDATES_PER_MESSAGE - len(records)
    ordered = sorted(
        membership.remaining_transmissions,
        key=lambda e: (-membership.remaining_transmissions[e], e),
    )
    for entry in ordered[:room]:
        record = _record_of(state, entry)
        if record is not None and entry != receiver:
            records.append(record)
        membership.remaining_transmissions[entry] -= 1
        if membership.remaining_transmissions[entry] <= 0:
            del membership.remaining_transmissions[entry]
    return tuple(records)


def _record_of(state: core_state.State, entry: str) -> models.Member | None:
    if entry == state.identity.entry:
        return state.membership.own_record
    return state.membership.members.get(entry)


def on_suspicion_due(
    state: core_state.State, now: float, event: models.SuspicionDue
) -> list[effects.Effect]:
    """Mark a suspected entry as gone unless it refuted the suspicion."""
    known = state.membership.members.get(event.entry)
    if known is None or known.incarnation != event.incarnation:
        return []
    if known.status is not models.Status.SUSPECT:
        return []
    gone = dataclasses.replace(known, status=models.Status.GONE)
    emitted = merge_records(state, now, (gone,))
    return [*emitted, effects.Count("membership.gone")]


def on_removal_due(
    state: core_state.State, event: models.RemovalDue
) -> list[effects.Effect]:
    """Remove the record of an entry at the end of its retention time."""
    known = state.membership.members.get(event.entry)
    if known is None or known.incarnation != event.incarnation:
        return []
    if known.status is models.Status.GONE:
        del state.membership.members[event.entry]
        state.membership.lost_at.pop(event.entry, None)
        builds.forget(state, event.entry)
        state.membership.remaining_transmissions.pop(event.entry, None)
    return []
