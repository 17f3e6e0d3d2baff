"""Replicas tell each other what they granted.

The numbers are cumulative, so a lost message costs nothing. Each row also has
the number of some beats ago: a replica that knows no earlier one deducts what
was granted lately, and no more.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.membership import builds
from agateshelf.core.quotas import announcing
from agateshelf.core.quotas import const
from agateshelf.core.quotas import counting
from agateshelf.core.quotas import expiry
from agateshelf.core.quotas import majority
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import rates
from agateshelf.core.quotas import shards
from agateshelf.core.quotas import tallies

Effects = list[effects.Effect]


def on_routes(state: core_state.State, now: float) -> Effects:
    """Adopt the workspaces of a new route table, and start to send counts."""
    quotas = state.quotas
    table = state.routes.table
    workspaces = () if table is None else table.workspaces or ()
    earlier = quotas.limited
    had_rates = bool(earlier)
    is_first_table = quotas.table is None
    quotas.table = table
    quotas.limited = {w.name: w for w in workspaces if w.rate > 0}
    rates.forget_known(state)
    quotas.fallback = {
        name: pace
        for name, pace in quotas.fallback.items()
        if name in quotas.limited
    }
    for replica in quotas.replicas.values():
        replica.granted = {
            name: count
            for name, count in replica.granted.items()
            if name in quotas.limited
        }
    if quotas.limited and not had_rates and not is_first_table:
        quotas.first_rates_at = now
        quotas.expected_since.clear()
    emitted: Effects = []
    if not is_first_table:
        gained = [w for w in quotas.limited.values() if w.name not in earlier]
        version = rates.version_of(state)
        emitted = announcing.announce(state, now, version, gained)
    if not quotas.limited or quotas.is_ticking:
        return emitted
    quotas.is_ticking = True
    # Entries that start together send at different times.
    delay = state.rng.random() * const.BEAT_SECONDS
    timers.schedule(state.timers, now + delay, models.QuotaTickDue())
    return emitted


def on_tick(state: core_state.State, now: float) -> Effects:
    """Look for silent replicas; every second time, send counts (timer)."""
    quotas = state.quotas
    if not quotas.limited:
        quotas.is_ticking = False
        quotas.counted.clear()
        return []
    timers.schedule(
        state.timers, now + const.TICK_SECONDS, models.QuotaTickDue()
    )
    majority.judge(state, now)
    shards.refresh(state, now)
    quotas.ticks += 1
    emitted = [
        *expiry.give_back_outdated(state, now),
        *majority.poll(state, now),
        *builds.survey(state),
    ]
    if quotas.ticks % round(const.BEAT_SECONDS / const.TICK_SECONDS):
        return emitted
    _forget_old(state, now)
    return [*send_counts(state, now), *emitted]


def send_counts(state: core_state.State, now: float) -> Effects:
    """Send counts to all replicas that this entry is one of or grants for.

    A replica that granted nothing says that it is there.
    """
    rows = tallies.take_rows(state)
    by_peer: dict[str, list[messages.Count]] = {}
    own = state.identity.entry
    for shard in range(const.SHARDS):
        granted = rows.get(shard, [])
        if not granted and own not in shards.replicas(state, now, shard):
            continue
        for peer in tallies.other_replicas(state, now, shard):
            by_peer.setdefault(peer, []).extend(granted)
    process = state.quotas.process
    heard = tuple(peer for peer in by_peer if shards.hears(state, now, peer))
    return [
        effects.SendToPeers(
            (peer,), messages.QuotaCounts(process, tuple(counts), heard)
        )
        for peer, counts in by_peer.items()
    ]


def on_counts(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.QuotaCounts,
) -> Effects:
    """Deduct what another entry granted."""
    quotas = state.quotas
    replica = quotas.replicas.get(peer)
    if replica is not None and message.process < replica.process:
        return []
    # An entry that was frozen must notice that it has missed counts, before
    # this message says that it is in contact.
    shards.refresh(state, now)
    if replica is None or message.process > replica.process:
        replica = models.Replica(message.process, now)
        quotas.replicas[peer] = replica
        is_known = False
    else:
        is_known = True
    if now - replica.heard_at >= const.SIDE_AFTER_SECONDS:
        replica.returned_at = now
    replica.heard_at = now
    if message.hears is not None:
        replica.hears = frozenset(message.hears)
    for count in message.counts:
        _deduct(state, now, replica, count, is_known=is_known)
    return []


def _deduct(
    state: core_state.State,
    now: float,
    replica: models.Replica,
    count: messages.Count,
    *,
    is_known: bool,
) -> None:
    """Deduct the grants of a row that are new.

    A process that was not heard before granted an unknown part of them before
    this entry's buckets were filled.
    """
    workspace = rates.find(state, count.workspace)
    if workspace is None:
        return
    last = max(replica.granted.get(count.workspace, 0), count.before)
    replica.granted[count.workspace] = max(last, count.granted)
    number = shards.shard_of(workspace.name)
    shard = state.quotas.shards.get(number)
    if shard is None or not shard.in_contact or not is_known:
        return
    if now < shard.merges_until or _is_other_side(state, now, replica, number):
        # Each side has deducted its own grants from its share.
        return
    if count.granted > last:
        bucket = counting.bucket_of(state, now, shard, workspace)
        counting.deduct(bucket, now, count.granted - last)


def _is_other_side(
    state: core_state.State, now: float, replica: models.Replica, shard: int
) -> bool:
    """Return whether a replica counted within the share of another side."""
    has_returned = now - replica.returned_at < const.SIDE_RAISE_SECONDS
    return has_returned and shards.share_of(state, now, shard) < 1.0


def _forget_old(state: core_state.State, now: float) -> None:
    """Bound what is remembered of earlier messages and other entries."""
    quotas = state.quotas
    oldest = now - const.REMEMBERED_SECONDS
    # Both are in order of time.
    while quotas.granted:
        key = next(iter(quotas.granted))
        if quotas.granted[key].at >= oldest:
            break
        del quotas.granted[key]
    while quotas.settled:
        number = next(iter(quotas.settled))
        if quotas.settled[number].at >= oldest:
            break
        del quotas.settled[number]
    for peer, replica in list(quotas.replicas.items()):
        if now - replica.heard_at > const.REPLICA_RETENTION_SECONDS:
            del quotas.replicas[peer]
    for peer, silence in list(quotas.silences.items()):
        if silence.until + const.MAX_SILENCE_SECONDS < now:
            del quotas.silences[peer]
    counting.forget_full(state, now)
