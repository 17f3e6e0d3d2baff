"""Tells owners what targets said of themselves.

Answers the load of targets that leave or ask for a pause while owners come and
go. An entry hears of it with an answer and tells the owner that granted the
send with the end of that send, at no further message. An owner that has just
taken over, or has started again, is told with the first request of every entry
that knows of anything. That is enough for limits, which successors count
anyway. Of targets that leave or pause, an owner also tells its successor, and
every entry that knows tells a new owner as soon as it sees it. Of targets that
have turned cold an owner tells all entries at once: their registrations say so
up to 1.5 s later, and an entry that is cut off until then would take them for
warm.
"""

from collections import abc

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools
from agateshelf.core.membership import view
from agateshelf.core.peers import models as peer_models
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import messages
from agateshelf.core.target_notices import models
from agateshelf.core.target_notices import records

Effects = list[effects.Effect]


def _process_of(state: core_state.State, entry: str) -> tuple[str, int]:
    member = state.membership.members.get(entry)
    return entry, 0 if member is None else member.incarnation


def take_untold(
    state: core_state.State,
    now: float,
    owner: str,
    pool: str,
    *,
    only_closed: bool = False,
) -> tuple[models.Notice, ...]:
    """Return the notices that an owner was not told of; it is told from now on.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        owner: The owner.
        pool: Pool whose targets' notices are returned.
        only_closed: Whether to leave out targets that merely name a limit.
    """
    if owner == state.identity.entry or not state.target_notices.records:
        return ()
    process = _process_of(state, owner)
    applies = records.is_closed if only_closed else records.is_active
    untold = []
    for target, record in state.target_notices.records.items():
        if process in record.told or not applies(record, now):
            continue
        registration = state.directory.targets.get(target)
        if registration is None or not pools.contains(pool, registration):
            continue
        record.told.add(process)
        notice = records.statement_of(state, now, target)
        if notice is not None:
            untold.append(notice)
    return tuple(untold)


def mark_told(state: core_state.State, owner: str, target: str) -> None:
    """Note that an owner knows what a target said."""
    record = state.target_notices.records.get(target)
    if record is not None:
        record.told.add(_process_of(state, owner))


def mark_untold(state: core_state.State, owner: str) -> None:
    """Note that an owner knows nothing, as after its restart."""
    process = _process_of(state, owner)
    for record in state.target_notices.records.values():
        record.told.discard(process)


def learn(
    state: core_state.State, now: float, notices: tuple[models.Notice, ...]
) -> Effects:
    """Record notices from another entry; an owner tells its successor."""
    told = [n.target for n in notices if records.merge(state, now, n)]
    emitted: Effects = []
    for pool in sorted(_pools_of(state, told)):
        ranking = owners.owner_ranking(state, pool)
        if ranking[:1] == (state.identity.entry,):
            for successor in ranking[1:2]:
                emitted.extend(_tell(state, now, successor, pool))
    emitted.extend(_announce_cold(state, now, notices))
    return emitted


def _announce_cold(
    state: core_state.State, now: float, notices: tuple[models.Notice, ...]
) -> Effects:
    """Tell all entries which of the noticed targets have turned cold."""
    announced = []
    for notice in notices:
        record = state.target_notices.records.get(notice.target)
        if record is None or notice.cold <= 0 or record.cold_until <= now:
            continue
        known_until = record.announced_until + const.WARMUP_TOLERANCE_SECONDS
        if record.cold_until <= known_until:
            continue
        registration = state.directory.targets[notice.target]
        if not owners.is_owner(state, pools.pool_of(state, registration)):
            continue
        record.announced_until = record.cold_until
        statement = records.statement_of(state, now, notice.target)
        if statement is not None:
            announced.append(statement)
    if not announced:
        return []
    others = tuple(
        entry
        for entry in view.live_entries(state)
        if entry != state.identity.entry
    )
    if not others:
        return []
    message = messages.TargetNotices(tuple(announced))
    return [effects.SendToPeers(others, message)]


def on_entries(state: core_state.State, now: float) -> Effects:
    """Tell the owners that this entry now sees what they may not know."""
    notices = state.target_notices
    if not notices.records:
        return []
    processes = {
        _process_of(state, entry) for entry in state.membership.failure_domains
    }
    for record in notices.records.values():
        record.told &= processes
    emitted: Effects = []
    for pool in sorted(_pools_of(state, notices.records)):
        ranking = owners.owner_ranking(state, pool)
        if ranking[:1] == (state.identity.entry,):
            ranking = ranking[1:]
        for entry in ranking[:1]:
            emitted.extend(_tell(state, now, entry, pool))
    return emitted


def _pools_of(state: core_state.State, targets: abc.Iterable[str]) -> set[str]:
    return {
        pools.pool_of(state, registration)
        for target in targets
        if (registration := state.directory.targets.get(target)) is not None
    }


def _tell(
    state: core_state.State, now: float, entry: str, pool: str
) -> Effects:
    untold = take_untold(state, now, entry, pool, only_closed=True)
    if not untold:
        return []
    return owners.send(state, entry, messages.TargetNotices(untold))


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Record what another entry knows; None for any other message."""
    if not isinstance(message, messages.TargetNotices):
        return None
    for notice in message.notices:
        if not records.merge(state, now, notice) or notice.cold <= 0:
            continue
        # An owner tells all entries of a cold target, its successor too.
        registration = state.directory.targets[notice.target]
        pool = pools.pool_of(state, registration)
        ranking = owners.owner_ranking(state, pool)[:2]
        if ranking[:1] == (peer,):
            for entry in ranking:
                mark_told(state, entry, notice.target)
    return []
