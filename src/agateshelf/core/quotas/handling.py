"""Dispatches the messages and timers of quotas."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import builds
from agateshelf.core.membership import messages as membership_messages
from agateshelf.core.peers import models as peer_models
from agateshelf.core.quotas import announcing
from agateshelf.core.quotas import counting
from agateshelf.core.quotas import majority
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import replication
from agateshelf.core.quotas import requesting

Effects = list[effects.Effect]

_MESSAGES = (
    messages.QuotaRequest,
    messages.QuotaDecided,
    messages.QuotaReturned,
    messages.QuotaCounts,
)


def on_started(state: core_state.State, now: float, process: int) -> Effects:
    """Note the number of this process and its start."""
    state.quotas.process = process
    state.quotas.started_at = now
    return []


def on_due(
    state: core_state.State, now: float, event: models.QuotaTimer
) -> Effects:
    """Handle a timer."""
    match event:
        case models.QuotaReplyDue():
            return requesting.on_due(state, now, event)
        case models.QuotaTickDue():
            return replication.on_tick(state, now)


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> Effects | None:
    """Handle a message of quotas; return None for any other.

    Answers to pings are looked at only; membership handles them.
    """
    requesting.note_heard(state, now, peer)
    if isinstance(message, _MESSAGES):
        builds.note_quotas(state, peer)
    match message:
        case messages.QuotaRequest():
            return counting.on_request(state, now, peer, message)
        case messages.QuotaDecided():
            return requesting.on_decided(state, now, peer, message)
        case messages.NewQuotas():
            return announcing.on_new_quotas(state, message)
        case messages.QuotaReturned():
            return counting.on_returned(state, now, peer, message.number)
        case messages.QuotaCounts():
            return replication.on_counts(state, now, peer, message)
        case messages.QuotaPoll():
            return majority.on_poll(state, now, peer, message)
        case messages.QuotaPolled():
            return majority.on_polled(state, peer, message)
        case membership_messages.Ack():
            majority.on_ack(state, now, peer, message)
            return None
        case _:
            return None


def on_stop(state: core_state.State, now: float) -> Effects:
    """Send the last counts before the process ends."""
    return replication.send_counts(state, now)
