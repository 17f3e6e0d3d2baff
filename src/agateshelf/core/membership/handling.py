"""The events that membership handles."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.membership import beliefs
from agateshelf.core.membership import const
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import probing
from agateshelf.core.membership import roster
from agateshelf.core.membership import view
from agateshelf.core.peers import models as peer_models


def on_started(
    state: core_state.State, now: float, event: events.Started
) -> list[effects.Effect]:
    """Begin to speak to other entries."""
    membership = state.membership
    membership.active = True
    view.post_live(state)
    if event.address is None:
        return []
    membership.has_peers = True
    membership.live = None
    membership.me = models.Member(
        state.identity.entry,
        event.incarnation,
        models.Status.LIVE,
        event.address,
        state.identity.failure_domain,
        state.identity.capacity,
    )
    beliefs.pass_on(state, state.identity.entry)
    for seed in event.seeds:
        membership.contacts[seed.entry] = seed.address
    probing.schedule_round(state, now)
    roster.schedule(state, now)
    return _ping_contacts(state, now)


def on_seeds(
    state: core_state.State, event: events.SeedsChanged
) -> list[effects.Effect]:
    """Take new seeds in; those that are not known are spoken to in turn."""
    for seed in event.seeds:
        state.membership.contacts[seed.entry] = seed.address
    return []


def _ping_contacts(state: core_state.State, now: float) -> list[effects.Effect]:
    strays = probing.stray_contacts(state)
    count = min(const.STRAYS_AT_START, len(strays))
    done: list[effects.Effect] = []
    for entry in state.rng.sample(sorted(strays), count):
        done.append(effects.AddPeer(entry, strays[entry]))
        done.extend(probing.ping(state, now, entry))
    return done


def on_stop(state: core_state.State, now: float) -> list[effects.Effect]:
    """Tell a few entries that this one is leaving; they pass it on."""
    me = state.membership.me
    if me is None:
        return []
    beliefs.raise_own(state, me.incarnation + 1, models.Status.LEAVING)
    neighbours = view.neighbours(state)
    count = min(const.LEAVING_FANOUT, len(neighbours))
    done: list[effects.Effect] = []
    for entry in state.rng.sample(neighbours, count):
        done.extend(probing.ping(state, now, entry))
    return done


def on_timer(
    state: core_state.State, now: float, event: models.MembershipTimer
) -> list[effects.Effect]:
    """Handle a timer of membership."""
    match event:
        case models.RoundDue():
            return probing.on_round(state, now)
        case models.AnswerDue():
            return probing.on_answer_due(state, now, event)
        case models.SuspicionDue():
            return beliefs.on_suspicion_due(state, now, event)
        case models.ForgetDue():
            return beliefs.on_forget_due(state, event)
        case models.RosterDue():
            return roster.on_due(state, now)


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> list[effects.Effect] | None:
    """Handle a message, or return None if it is not membership's."""
    match message:
        case messages.Ping() | messages.Ack() if message.sender.entry != peer:
            return [effects.Count("membership.false_sender")]
        case messages.Ping():
            return probing.on_ping(state, now, peer, message)
        case messages.Ack():
            return probing.on_ack(state, now, peer, message)
        case messages.PingFor():
            return probing.on_ping_for(state, now, peer, message)
        case messages.AckFor():
            return probing.on_ack_for(state, message)
        case messages.RosterWanted():
            return roster.on_wanted(state, peer, message)
        case messages.RosterPage():
            return roster.on_page(state, now, peer, message)
        case _:
            return None
