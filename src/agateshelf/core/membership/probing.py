"""Failure detection: direct and indirect pings, and the handling of acks.

An entry is suspected only after several missed probes in a row, each tried
through other entries as well, so that lost messages alone don't remove it.
"""

import dataclasses

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.membership import beliefs
from agateshelf.core.membership import const
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import roster
from agateshelf.core.membership import view


def on_round(state: core_state.State, now: float) -> list[effects.Effect]:
    """Send the pings of this round and schedule the next round."""
    membership = state.membership
    schedule_round(state, now)
    membership.rounds += 1
    done: list[effects.Effect] = []
    for entry in _probed(state):
        done.extend(ping(state, now, entry))
    young = membership.rounds <= const.YOUNG_ROUNDS
    if young or membership.rounds % const.STRAY_EVERY_ROUNDS == 0:
        done.extend(_ping_stray(state, now))
    return done


def schedule_round(state: core_state.State, now: float) -> None:
    """Schedule the next round, with jitter to keep entries out of step."""
    jitter = state.rng.uniform(-1.0, 1.0) * const.ROUND_JITTER_SHARE
    at = now + const.ROUND_SECONDS * (1.0 + jitter)
    timers.schedule(state.timers, at, models.ProbeRoundDue())


def _probed(state: core_state.State) -> list[str]:
    """Return neighbours with missed probes or a suspicion, and the next one."""
    membership = state.membership
    neighbours = view.neighbours(state)
    again = [entry for entry in neighbours if _is_in_doubt(state, entry)]
    if not membership.probe_order:
        membership.probe_order = list(neighbours)
        state.rng.shuffle(membership.probe_order)
    while membership.probe_order:
        entry = membership.probe_order.pop()
        if entry in neighbours and entry not in again:
            return [*again, entry]
    return again


def _is_in_doubt(state: core_state.State, entry: str) -> bool:
    if entry in state.membership.missed:
        return True
    status = state.membership.members[entry].status
    return status is models.Status.SUSPECT


def ping(
    state: core_state.State, now: float, entry: str
) -> list[effects.Effect]:
    """Ping an entry and set the timer for its ack."""
    membership = state.membership
    if membership.me is None:
        return []
    membership.last_number += 1
    number = membership.last_number
    membership.waiting[number] = entry
    detour = models.AckDue(number, direct=True)
    timers.schedule(state.timers, now + const.DETOUR_AFTER_SECONDS, detour)
    message = messages.Ping(
        number,
        state.version,
        membership.me,
        beliefs.take_updates(state, entry),
    )
    return [effects.SendToPeers((entry,), message)]


def _ping_stray(state: core_state.State, now: float) -> list[effects.Effect]:
    """Ping a random entry that is not a member or is gone.

    It may have started since, or be reachable again after a partition.
    """
    strays = stray_contacts(state)
    if not strays:
        return []
    entry = state.rng.choice(sorted(strays))
    known = effects.AddPeer(entry, strays[entry])
    return [known, *ping(state, now, entry)]


def stray_contacts(state: core_state.State) -> dict[str, str]:
    """Return the addresses of unknown seeds and of members that are gone."""
    membership = state.membership
    strays = {
        entry: address
        for entry, address in membership.seed_addresses.items()
        if entry not in membership.members
    }
    for member in membership.members.values():
        if member.status is models.Status.GONE:
            strays[member.entry] = membership.seed_addresses.get(
                member.entry, member.address
            )
    strays.pop(state.identity.entry, None)
    return strays


def on_answer_due(
    state: core_state.State, now: float, event: models.AckDue
) -> list[effects.Effect]:
    """Try indirect pings first; at the second time-out count a missed probe."""
    membership = state.membership
    entry = membership.waiting.get(event.number)
    if entry is None:
        return []
    if event.direct:
        return _try_detours(state, now, event.number, entry)
    del membership.waiting[event.number]
    membership.detours.pop(event.number, None)
    known = membership.members.get(entry)
    if known is None or known.status is not models.Status.LIVE:
        return []
    missed = membership.missed.get(entry, 0) + 1
    membership.missed[entry] = missed
    if missed < const.MISSED_BEFORE_SUSPICION:
        return []
    del membership.missed[entry]
    suspect = dataclasses.replace(known, status=models.Status.SUSPECT)
    done = beliefs.learn(state, now, (suspect,))
    return [*done, effects.Count("membership.suspected")]


def _try_detours(
    state: core_state.State, now: float, number: int, entry: str
) -> list[effects.Effect]:
    at = now + const.MISSED_AFTER_SECONDS - const.DETOUR_AFTER_SECONDS
    last = models.AckDue(number, direct=False)
    timers.schedule(state.timers, at, last)
    if number in state.membership.detours:
        return []
    others = [e for e in view.neighbours(state) if e != entry]
    if not others or entry not in state.membership.members:
        return []
    helpers = state.rng.sample(others, min(const.DETOURS, len(others)))
    message = messages.IndirectPing(number, entry)
    return [effects.SendToPeers(tuple(helpers), message)]


def on_ping(
    state: core_state.State, now: float, peer: str, message: messages.Ping
) -> list[effects.Effect]:
    """Answer a ping with an ack."""
    membership = state.membership
    if membership.me is None:
        return []
    done = _hear(state, now, peer, message)
    answer = messages.Ack(
        message.number,
        state.version,
        membership.me,
        beliefs.take_updates(state, peer),
    )
    return [*done, effects.SendToPeers((peer,), answer)]


def on_ack(
    state: core_state.State, now: float, peer: str, message: messages.Ack
) -> list[effects.Effect]:
    """Clear the sender's missed probes; relay the ack if a peer wants it."""
    membership = state.membership
    done = _hear(state, now, peer, message)
    if membership.waiting.get(message.number) == peer:
        del membership.waiting[message.number]
    membership.missed.pop(peer, None)
    detour = membership.detours.pop(message.number, None)
    if detour is not None:
        told = messages.IndirectAck(detour.number, peer)
        done.append(effects.SendToPeers((detour.peer,), told))
    return done


def _hear(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.Ping | messages.Ack,
) -> list[effects.Effect]:
    state.pending_events.append(
        events.PeerVersionReported(peer, message.version)
    )
    is_first = not state.membership.members
    done = beliefs.learn(state, now, (message.sender, *message.updates))
    if is_first:
        done.extend(roster.begin(state, peer))
    return done


def on_ping_for(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.IndirectPing,
) -> list[effects.Effect]:
    """Ping an entry on behalf of a peer."""
    if message.entry not in state.membership.members:
        return []
    done = ping(state, now, message.entry)
    number = state.membership.last_number
    detour = models.Detour(peer, message.number)
    state.membership.detours[number] = detour
    return done


def on_ack_for(
    state: core_state.State, message: messages.IndirectAck
) -> list[effects.Effect]:
    """Clear the missed probes of an entry that answered an indirect ping."""
    waiting = state.membership.waiting
    if waiting.get(message.number) == message.entry:
        del waiting[message.number]
        state.membership.missed.pop(message.entry, None)
    return []
