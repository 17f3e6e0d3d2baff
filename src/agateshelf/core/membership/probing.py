"""Failure detection: direct and indirect pings, and the handling of acks.

An entry is suspected only after several missed probes in a row, each tried
through other entries as well, so that lost messages alone don't remove it.
"""

from collections import abc
import dataclasses

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.membership import builds
from agateshelf.core.membership import const
from agateshelf.core.membership import gossip
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import sync
from agateshelf.core.membership import view
from agateshelf.core.overload import round_trips
from agateshelf.core.poison import records as crash_records


def on_round(state: core_state.State, now: float) -> list[effects.Effect]:
    """Send the pings of this round and schedule the next round."""
    membership = state.membership
    schedule_round(state, now)
    membership.probe_rounds += 1
    emitted: list[effects.Effect] = []
    for entry in _entries_to_probe(state):
        emitted.extend(ping(state, now, entry))
    candidates = reconnect_candidates(state)
    for entry in _entries_to_reconnect(state, now, candidates):
        emitted.append(effects.AddPeer(entry, candidates[entry]))
        emitted.extend(ping(state, now, entry))
    return emitted


def schedule_round(state: core_state.State, now: float) -> None:
    """Schedule the next round, with jitter to keep entries out of step."""
    jitter = state.rng.uniform(-1.0, 1.0) * const.PROBE_JITTER_SHARE
    at = now + _round_seconds(state) * (1.0 + jitter)
    timers.schedule(state.timers, at, models.ProbeRoundDue())


def _round_seconds(state: core_state.State) -> float:
    """Return the time until the next round; shorter for one that is alone.

    When a whole fleet starts, most seeds don't listen yet when an entry pings
    them for the first time.
    """
    is_starting = state.membership.probe_rounds < const.SHORT_ROUNDS
    if is_starting and not view.neighbours(state):
        return const.SHORT_ROUND_SECONDS
    return const.PROBE_INTERVAL_SECONDS


def _entries_to_probe(state: core_state.State) -> list[str]:
    """Return neighbours with missed probes or a suspicion, and the next one."""
    membership = state.membership
    neighbours = view.neighbours(state)
    again = [entry for entry in neighbours if _needs_reprobe(state, entry)]
    if not membership.probe_order:
        membership.probe_order = list(neighbours)
        state.rng.shuffle(membership.probe_order)
    while membership.probe_order:
        entry = membership.probe_order.pop()
        if entry in neighbours and entry not in again:
            return [*again, entry]
    return again


def _needs_reprobe(state: core_state.State, entry: str) -> bool:
    if entry in state.membership.missed_probes:
        return True
    status = state.membership.members[entry].status
    return status is models.Status.SUSPECT


def ping(
    state: core_state.State, now: float, entry: str
) -> list[effects.Effect]:
    """Ping an entry and set the timer for its ack."""
    membership = state.membership
    if membership.own_record is None:
        return []
    membership.last_ping_number += 1
    number = membership.last_ping_number
    membership.pending_pings[number] = entry
    round_trips.on_ping(state, now, number)
    ack_due = models.AckDue(number, direct=True)
    timers.schedule(
        state.timers, now + const.INDIRECT_PING_AFTER_SECONDS, ack_due
    )
    message = messages.Ping(
        number,
        state.version,
        membership.own_record,
        gossip.take_updates(state, entry),
        crash_records.digest(state, now),
    )
    return [effects.SendToPeers((entry,), message)]


def _entries_to_reconnect(
    state: core_state.State, now: float, candidates: abc.Collection[str]
) -> list[str]:
    """Return entries to ping that are not members or are gone, in turn.

    They may have started since, or be reachable again after a partition. An
    entry without live neighbours may be the one that was cut off.
    """
    membership = state.membership
    is_alone = not view.neighbours(state)
    is_due = (
        is_alone
        or membership.probe_rounds <= const.STARTUP_ROUNDS
        or now - membership.last_gone_at < const.RECONNECT_SOON_SECONDS
        or membership.probe_rounds % const.RECONNECT_EVERY_ROUNDS == 0
    )
    if not is_due:
        return []
    count = const.RECONNECTS_IF_ALONE if is_alone else 1
    entries = [
        _next_to_reconnect(state, candidates)
        for _ in range(min(count, len(candidates)))
    ]
    return list(dict.fromkeys(entries))


def _next_to_reconnect(
    state: core_state.State, candidates: abc.Collection[str]
) -> str:
    order = state.membership.reconnect_order
    while order:
        entry = order.pop()
        if entry in candidates:
            return entry
    order.extend(sorted(candidates))
    state.rng.shuffle(order)
    return order.pop()


def reconnect_candidates(state: core_state.State) -> dict[str, str]:
    """Return the addresses of unknown seeds and of members that are gone."""
    membership = state.membership
    candidates = {
        entry: address
        for entry, address in membership.seed_addresses.items()
        if entry not in membership.members
    }
    for member in membership.members.values():
        if member.status is models.Status.GONE:
            candidates[member.entry] = membership.seed_addresses.get(
                member.entry, member.address
            )
    candidates.pop(state.identity.entry, None)
    return candidates


def on_ack_due(
    state: core_state.State, now: float, event: models.AckDue
) -> list[effects.Effect]:
    """Try indirect pings first; at the second timeout count a missed probe."""
    membership = state.membership
    entry = membership.pending_pings.get(event.number)
    if entry is None:
        return []
    if event.direct:
        return _send_indirect_pings(state, now, event.number, entry)
    del membership.pending_pings[event.number]
    membership.relayed_pings.pop(event.number, None)
    known = membership.members.get(entry)
    if known is None or known.status is not models.Status.LIVE:
        return []
    missed = membership.missed_probes.get(entry, 0) + 1
    membership.missed_probes[entry] = missed
    if missed < const.MISSED_PROBES_BEFORE_SUSPICION:
        return []
    del membership.missed_probes[entry]
    suspect = dataclasses.replace(known, status=models.Status.SUSPECT)
    emitted = gossip.merge_records(state, now, (suspect,))
    return [*emitted, effects.Count("membership.suspected")]


def _send_indirect_pings(
    state: core_state.State, now: float, number: int, entry: str
) -> list[effects.Effect]:
    at = now + const.PROBE_TIMEOUT_SECONDS - const.INDIRECT_PING_AFTER_SECONDS
    ack_due = models.AckDue(number, direct=False)
    timers.schedule(state.timers, at, ack_due)
    if number in state.membership.relayed_pings:
        return []
    others = [e for e in view.neighbours(state) if e != entry]
    if not others or entry not in state.membership.members:
        return []
    relays = state.rng.sample(others, min(const.INDIRECT_PINGS, len(others)))
    message = messages.IndirectPing(number, entry)
    return [effects.SendToPeers(tuple(relays), message)]


def on_ping(
    state: core_state.State, now: float, peer: str, message: messages.Ping
) -> list[effects.Effect]:
    """Answer a ping with an ack."""
    membership = state.membership
    if membership.own_record is None:
        return []
    emitted = _apply_gossip(state, now, peer, message)
    ack = messages.Ack(
        message.number,
        state.version,
        membership.own_record,
        gossip.take_updates(state, peer),
        crash_records.digest(state, now),
    )
    return [*emitted, effects.SendToPeers((peer,), ack)]


def on_ack(
    state: core_state.State, now: float, peer: str, message: messages.Ack
) -> list[effects.Effect]:
    """Clear the sender's missed probes; relay the ack if a peer wants it."""
    membership = state.membership
    emitted = _apply_gossip(state, now, peer, message)
    if membership.pending_pings.get(message.number) == peer:
        del membership.pending_pings[message.number]
        round_trips.on_ack(state, now, message.number, peer)
    membership.missed_probes.pop(peer, None)
    relayed = membership.relayed_pings.pop(message.number, None)
    if relayed is not None:
        indirect_ack = messages.IndirectAck(relayed.number, peer)
        emitted.append(effects.SendToPeers((relayed.peer,), indirect_ack))
    return emitted


def _apply_gossip(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.Ping | messages.Ack,
) -> list[effects.Effect]:
    state.pending_events.append(
        events.PeerVersionReported(peer, message.version)
    )
    if message.crashes != crash_records.digest(state, now):
        state.pending_events.append(
            events.PeerCrashesReported(peer, message.crashes)
        )
    is_first = not state.membership.members
    builds.note(state, message.sender)
    emitted = gossip.merge_records(
        state, now, (message.sender, *message.updates)
    )
    if is_first:
        emitted.extend(sync.start(state, peer))
    return emitted


def on_indirect_ping(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.IndirectPing,
) -> list[effects.Effect]:
    """Ping an entry on behalf of a peer."""
    if message.entry not in state.membership.members:
        return []
    emitted = ping(state, now, message.entry)
    number = state.membership.last_ping_number
    relayed = models.RelayedPing(peer, message.number)
    state.membership.relayed_pings[number] = relayed
    return emitted


def on_indirect_ack(
    state: core_state.State, message: messages.IndirectAck
) -> list[effects.Effect]:
    """Clear the missed probes of an entry that answered an indirect ping."""
    pending = state.membership.pending_pings
    if pending.get(message.number) == message.entry:
        del pending[message.number]
        state.membership.missed_probes.pop(message.entry, None)
    return []
