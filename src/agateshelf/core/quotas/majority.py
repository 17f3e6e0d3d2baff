"""Finds out whether this entry reaches most witnesses.

Replicas that hear each other need no further proof. If one is silent, it may
have crashed, or count on the other side of a partition. Only one side has more
than half of the witnesses, and only its replicas then count without more ado.

A smaller side counts as well, within the share of the witnesses that it
reaches. Witnesses say who else polls them: if one of them is reached by a
silent replica too, only links are cut, and that replica may count in full.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import messages as membership_messages
from agateshelf.core.poison import records as crash_records
from agateshelf.core.quotas import const
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import shards


def poll(state: core_state.State, now: float) -> list[effects.Effect]:
    """Ping the witnesses if a replica of this entry's shards is silent.

    Pings are answered by earlier builds as well.
    """
    quotas = state.quotas
    own_record = state.membership.own_record
    silent = shards.silent_replicas(state, now)
    if not silent:
        quotas.reach = models.Reach()
    last = quotas.poll.sent_at
    # A poll that is due between two ticks is sent at the earlier one.
    is_due = now - last > const.POLL_SECONDS - const.TICK_SECONDS / 2
    if not silent or not is_due or own_record is None:
        return []
    number = quotas.poll.number + 1
    quotas.poll = models.Poll(number, now)
    peers = tuple(
        entry
        for entry in shards.witnesses(state, now)
        if entry != state.identity.entry
    )
    # Numbers of the pings of failure detection are positive.
    ping = membership_messages.Ping(
        -number,
        state.version,
        own_record,
        crashes=crash_records.digest(state, now),
    )
    asked = messages.QuotaPoll(number)
    return [effects.SendToPeers(peers, ping), effects.SendToPeers(peers, asked)]


def on_poll(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.QuotaPoll,
) -> list[effects.Effect]:
    """Tell a replica who else polled this entry lately."""
    polled_at = state.quotas.polled_at
    polled_at[peer] = now
    for entry, at in list(polled_at.items()):
        if now - at > const.POLLED_SECONDS:
            del polled_at[entry]
    told = messages.QuotaPolled(message.number, tuple(sorted(polled_at)))
    return [effects.SendToPeers((peer,), told)]


def on_polled(
    state: core_state.State, peer: str, message: messages.QuotaPolled
) -> list[effects.Effect]:
    """Note who else polls a witness."""
    poll_sent = state.quotas.poll
    if message.number == poll_sent.number:
        poll_sent.polled_by[peer] = message.polled_by
    return []


def judge(state: core_state.State, now: float) -> None:
    """Judge the answers to the latest poll once they had time to arrive."""
    quotas = state.quotas
    sent = quotas.poll
    is_due = now - sent.sent_at >= const.JUDGED_SECONDS
    if sent.is_judged or not sent.number or not is_due:
        return
    sent.is_judged = True
    witnesses = shards.witnesses(state, now)
    reached = sent.answered.intersection(witnesses)
    told = reached.intersection(sent.polled_by)
    others = {
        entry
        for entry, at in quotas.polled_at.items()
        if now - at <= const.POLLED_SECONDS
    }
    others.update(entry for e in told for entry in sent.polled_by[e])
    quotas.reach = models.Reach(
        sent.sent_at + const.REACH_SECONDS,
        len(reached) + (state.identity.entry in witnesses),
        len(witnesses),
        len(told) >= const.TOLD_SHARE * len(reached),
        frozenset(others),
    )


def on_ack(
    state: core_state.State,
    now: float,
    peer: str,
    message: membership_messages.Ack,
) -> None:
    """Count an answer; more than half of the entries are a majority."""
    quotas = state.quotas
    poll_sent = quotas.poll
    if message.number != -poll_sent.number or peer in poll_sent.answered:
        return
    poll_sent.answered.add(peer)
    witnesses = shards.witnesses(state, now)
    reached = len(poll_sent.answered.intersection(witnesses))
    reached += state.identity.entry in witnesses
    # Dated at the time of sending: the answers may have been delayed.
    until = poll_sent.sent_at + const.MAJORITY_SECONDS
    if 2 * reached > len(witnesses):
        quotas.majority_until = until
    if reached >= const.LONE_REACH * len(witnesses):
        quotas.nearly_all_until = until
