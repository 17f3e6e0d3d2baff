"""Dispatch of the events, timers and messages that concern membership."""

from agateshelf import const as product_const
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.membership import const
from agateshelf.core.membership import gossip
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import probing
from agateshelf.core.membership import sync
from agateshelf.core.membership import view
from agateshelf.core.peers import models as peer_models


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> list[effects.Effect]:
    """Start probing and state sync; without an address there are no peers."""
    membership = state.membership
    membership.active = True
    view.post_live_entries(state)
    if event.address is None:
        return []
    membership.has_peers = True
    membership.live = None
    membership.own_record = models.Member(
        state.identity.entry,
        event.incarnation,
        models.Status.LIVE,
        event.address,
        state.identity.failure_domain,
        state.identity.capacity,
        event.relay_address,
        product_const.BUILD,
        const.MESSAGE_FORMAT,
    )
    gossip.queue_update(state, state.identity.entry)
    for seed in event.seeds:
        membership.seed_addresses[seed.entry] = seed.address
    probing.schedule_round(state, now)
    sync.schedule(state, now)
    return _ping_seeds(state, now)


def on_seeds(
    state: core_state.State, event: events.SeedsChanged
) -> list[effects.Effect]:
    """Add seeds; later rounds ping those that are not members yet."""
    for seed in event.seeds:
        state.membership.seed_addresses[seed.entry] = seed.address
    return []


def _ping_seeds(state: core_state.State, now: float) -> list[effects.Effect]:
    candidates = probing.reconnect_candidates(state)
    count = min(const.SEEDS_PINGED_AT_START, len(candidates))
    emitted: list[effects.Effect] = []
    for entry in state.rng.sample(sorted(candidates), count):
        emitted.append(effects.AddPeer(entry, candidates[entry]))
        emitted.extend(probing.ping(state, now, entry))
    return emitted


def on_stop(state: core_state.State, now: float) -> list[effects.Effect]:
    """Announce to a few neighbours that this entry is leaving."""
    own = state.membership.own_record
    if own is None:
        return []
    gossip.update_own_record(state, own.incarnation + 1, models.Status.LEAVING)
    neighbours = view.neighbours(state)
    count = min(const.LEAVING_FANOUT, len(neighbours))
    emitted: list[effects.Effect] = []
    for entry in state.rng.sample(neighbours, count):
        emitted.extend(probing.ping(state, now, entry))
    return emitted


def on_timer(
    state: core_state.State, now: float, event: models.MembershipTimer
) -> list[effects.Effect]:
    """Handle a membership timer."""
    match event:
        case models.ProbeRoundDue():
            return probing.on_round(state, now)
        case models.AckDue():
            return probing.on_ack_due(state, now, event)
        case models.SuspicionDue():
            return gossip.on_suspicion_due(state, now, event)
        case models.RemovalDue():
            return gossip.on_removal_due(state, event)
        case models.SyncDue():
            return sync.on_due(state, now)
        case models.LiveEntriesDue():
            return gossip.on_live_entries_due(state)


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> list[effects.Effect] | None:
    """Handle a membership message; return None for any other message.

    A ping or ack whose sender is not the authenticated peer is dropped.
    """
    match message:
        case messages.Ping() | messages.Ack() if message.sender.entry != peer:
            return [effects.Count("membership.false_sender")]
        case messages.Ping():
            return probing.on_ping(state, now, peer, message)
        case messages.Ack():
            return probing.on_ack(state, now, peer, message)
        case messages.IndirectPing():
            return probing.on_indirect_ping(state, now, peer, message)
        case messages.IndirectAck():
            return probing.on_indirect_ack(state, message)
        case messages.SyncRequest():
            return sync.on_request(state, peer, message)
        case messages.SyncPage():
            return sync.on_page(state, now, peer, message)
        case _:
            return None
