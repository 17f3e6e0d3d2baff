"""Shards of workspaces, their counters, and who may count.

The counter of a shard ranks first in weighted rendezvous hashing. It and the
next two of other failure domains are the shard's replicas. They count while
they hear each other, and otherwise while they reach most witnesses. An entry
that was lost keeps its place among the replicas for a while: only one side of a
partition then counts, until both have found out who is lost and split the rate.
Entries that are known to be of a build without quotas are left out.
"""

import collections
import math

import xxhash

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import owners
from agateshelf.core.membership import builds
from agateshelf.core.membership import view
from agateshelf.core.quotas import const
from agateshelf.core.quotas import models
from agateshelf.core.target_notices import const as notice_const


def shard_of(workspace: str) -> int:
    """Return the shard of a workspace."""
    return xxhash.xxh64_intdigest(workspace.encode()) % const.SHARDS


def _rankings(state: core_state.State, now: float) -> models.Rankings:
    """Return the rankings for the entries that are live and lately lost."""
    live = view.live_entries(state)
    lost_at = state.membership.lost_at
    lost = tuple(
        sorted(
            entry
            for entry, at in lost_at.items()
            if now - at < const.REPLICA_RETENTION_SECONDS
        )
    )
    rankings = state.quotas.rankings
    changes = state.membership.format_changes
    is_current = rankings.live is live and rankings.lost == lost
    if not is_current or rankings.format_changes != changes:
        counting = tuple(e for e in live if not builds.is_earlier(state, e))
        rankings = models.Rankings(live, lost, changes, counting)
        for entry in state.quotas.rankings.lost:
            if entry in live and entry not in lost:
                # Its silence was that of the time in which it was lost.
                state.quotas.silences.pop(entry, None)
        state.quotas.rankings = rankings
    return rankings


def counters(
    state: core_state.State, now: float, shard: int
) -> tuple[str, ...]:
    """Return the live entries in order of preference as counter of a shard."""
    rankings = _rankings(state, now)
    if shard not in rankings.counters:
        rankings.counters[shard] = _rank(state, shard, rankings.counting)
    return rankings.counters[shard]


def replicas(
    state: core_state.State, now: float, shard: int
) -> tuple[str, ...]:
    """Return the entries that know a shard's counts."""
    rankings = _rankings(state, now)
    if shard not in rankings.replicas:
        lost = (e for e in rankings.lost if not builds.is_earlier(state, e))
        entries = tuple(dict.fromkeys((*rankings.counting, *lost)))
        ranked = _rank(state, shard, entries)
        rankings.replicas[shard] = ranked[: const.REPLICAS]
    return rankings.replicas[shard]


def _rank(
    state: core_state.State, shard: int, entries: tuple[str, ...]
) -> tuple[str, ...]:
    """Rank entries, the first ones from different failure domains.

    If a failure domain is cut off, two replicas thus remain in the others.
    """
    ranked = owners.rank(state, f"quotas/{shard}", entries)
    first: list[str] = []
    domains: set[str | None] = set()
    for entry in ranked:
        domain = view.failure_domain_of(state, entry)
        if domain not in domains:
            domains.add(domain)
            first.append(entry)
        if len(first) == const.REPLICAS:
            break
    return (*first, *(entry for entry in ranked if entry not in first))


def select_counter(
    state: core_state.State, now: float, shard: int, tried: set[str]
) -> str | None:
    """Return the entry to ask next, if any.

    It is the highest-ranking one that was not silent lately. If all were, one
    that was silent once is asked again: a single message may have been lost.
    """
    doubtful: str | None = None
    for entry in _candidates(state, now, shard):
        if entry in tried:
            continue
        silence = state.quotas.silences.get(entry)
        is_silent = silence is not None and silence.until > now
        if not is_silent and not owners.is_suspected(state, now, entry):
            return entry
        if doubtful is None and (
            silence is None or silence.seconds <= const.SILENCE_SECONDS
        ):
            doubtful = entry
    return doubtful


def _candidates(
    state: core_state.State, now: float, shard: int
) -> tuple[str, ...]:
    """Return the entries that may be asked, in order of preference.

    Replicas that are lost come before other entries, which would decline: after
    a partition they answer again before they are known to be live.
    """
    live = counters(state, now, shard)[: const.REPLICAS]
    known = replicas(state, now, shard)
    if live == known:
        return live
    first = (entry for entry in live if entry in known)
    return tuple(dict.fromkeys((*first, *known, *live)))


def get_shard(state: core_state.State, now: float, shard: int) -> models.Shard:
    """Return a shard, with what this entry may do for it brought up to date.

    An entry that comes into contact with another replica, or with one that it
    missed, has missed what was granted before, so it starts anew. One that
    counted for a side of a partition goes on within that share at first, as the
    other side does.
    """
    known = state.quotas.shards.setdefault(shard, models.Shard())
    in_contact = _is_in_contact(state, now, shard)
    is_side = not in_contact and _is_side(state, now, shard)
    in_contact = in_contact or is_side
    if in_contact and known.is_side and not is_side:
        known.merges_until = now + const.SIDE_RAISE_SECONDS
    yields = (
        in_contact
        and now >= known.merges_until
        and _misses_preferred(state, now, shard)
    )
    if (
        (in_contact and not known.in_contact)
        or (known.yields and not yields)
        or (is_side and not known.is_side)
    ):
        known.known_since = now
        known.buckets.clear()
    known.in_contact = in_contact
    known.is_side = is_side
    known.yields = yields
    return known


def has_first_rates(state: core_state.State, now: float) -> bool:
    """Return whether a table has just given workspaces the first rates."""
    since = now - state.quotas.first_rates_at
    return 0.0 <= since <= const.FIRST_RATES_SECONDS


def refresh(state: core_state.State, now: float) -> None:
    """Bring all shards up to date."""
    for shard in range(const.SHARDS):
        get_shard(state, now, shard)


def hears(state: core_state.State, now: float, entry: str) -> bool:
    """Return whether an entry sent its counts lately."""
    replica = state.quotas.replicas.get(entry)
    return replica is not None and (
        now - replica.heard_at <= const.CONTACT_SECONDS
    )


def _is_in_contact(state: core_state.State, now: float, shard: int) -> bool:
    """Return whether this entry is a replica that may count."""
    members = replicas(state, now, shard)
    own = state.identity.entry
    if own not in members:
        return False
    others = [entry for entry in members if entry != own]
    if has_first_rates(state, now):
        return True
    is_heard = any(hears(state, now, entry) for entry in others)
    quotas = state.quotas
    if now < (quotas.majority_until if is_heard else quotas.nearly_all_until):
        return True
    if len(others) == const.REPLICAS - 1:
        return is_heard and all(
            _silence_of(state, now, entry) <= const.INCOMPLETE_SECONDS
            for entry in others
        )
    if is_heard:
        return True
    # A fleet of one or two entries, or one that this entry has yet to meet.
    started_at = state.quotas.started_at
    settled = now - started_at >= const.YOUNG_SECONDS
    return _knows_all_seeds(state) and (settled or not others)


def _is_side(state: core_state.State, now: float, shard: int) -> bool:
    """Return whether this entry may count for a smaller side of a partition.

    None of the replicas that it doesn't hear may reach a witness that it
    reaches: that one would not know that it has to go down to a share.
    """
    members = replicas(state, now, shard)
    own = state.identity.entry
    reach = state.quotas.reach
    if own not in members or now >= reach.until or not reach.is_told:
        return False
    if side_share(state, now) >= 1.0 or reach.reached < _least_side(reach):
        return False
    silent = [e for e in members if e != own and not hears(state, now, e)]
    return reach.others.isdisjoint(silent) and all(
        _silence_of(state, now, entry) >= const.SIDE_AFTER_SECONDS
        for entry in silent
    )


def side_share(state: core_state.State, now: float) -> float:
    """Return the share of the witnesses that this entry's side reaches.

    It is 1 if few are missing, which are assumed to have crashed.
    """
    reach = state.quotas.reach
    missing = reach.witnesses - reach.reached
    if now >= reach.until or missing < _least_side(reach):
        return 1.0
    return max(reach.reached, 1) / reach.witnesses


def _least_side(reach: models.Reach) -> float:
    return max(const.MIN_SIDE, const.SIDE_SHARE * reach.witnesses)


def _silence_of(state: core_state.State, now: float, entry: str) -> float:
    """Return for how long a replica was not heard while it should have been."""
    quotas = state.quotas
    since = quotas.expected_since.setdefault(entry, now)
    replica = quotas.replicas.get(entry)
    return now - max(since, -math.inf if replica is None else replica.heard_at)


def silent_replicas(state: core_state.State, now: float) -> set[str]:
    """Return the replicas of this entry's shards that may have failed."""
    own = state.identity.entry
    expected: set[str] = set()
    for shard in range(const.SHARDS):
        members = replicas(state, now, shard)
        if own in members and len(members) == const.REPLICAS:
            expected.update(members)
    expected.discard(own)
    since = state.quotas.expected_since
    for entry in since.keys() - expected:
        del since[entry]
    return {
        entry
        for entry in expected
        if _silence_of(state, now, entry) > const.POLL_AFTER_SECONDS
    }


def witnesses(state: core_state.State, now: float) -> tuple[str, ...]:
    """Return the entries of which a side of a partition must reach most.

    Entries that are lost remain witnesses for as long as they remain replicas.
    """
    rankings = _rankings(state, now)
    if not rankings.witnesses:
        entries = (*rankings.live, *rankings.lost)
        ranked = owners.rank(state, "quotas/witnesses", entries)
        rankings.witnesses = ranked[: const.WITNESSES]
    return rankings.witnesses


def _misses_preferred(state: core_state.State, now: float, shard: int) -> bool:
    """Return whether another replica hears a preferred one that this doesn't.

    Only the link between them is cut then. Neither would know what the other
    grants, so the preferred one counts alone.
    """
    members = replicas(state, now, shard)
    known = state.quotas.replicas
    told: set[str] = set()
    for entry in members:
        if hears(state, now, entry):
            told |= known[entry].hears
    for entry in members[: members.index(state.identity.entry)]:
        replica = known.get(entry)
        heard_at = -math.inf if replica is None else replica.heard_at
        if entry in told and now - heard_at > const.LINK_CUT_SECONDS:
            return True
    return False


def _knows_all_seeds(state: core_state.State) -> bool:
    """Return whether this entry has met all entries that its settings name."""
    membership = state.membership
    seeds = membership.seed_addresses.keys() - {state.identity.entry}
    return seeds <= membership.members.keys()


def share_of(state: core_state.State, now: float, shard: int) -> float:
    """Return the share of each quota that this side of a partition may grant.

    A few lost entries are assumed to have crashed, which takes nothing from the
    quotas of those that remain.
    """
    live = len(view.live_entries(state))
    lost = view.count_lost(state, now, notice_const.LOST_SECONDS)
    members = replicas(state, now, shard)
    if len(members) < const.REPLICAS:
        heard = sum(hears(state, now, entry) for entry in members)
        return (1 + heard) / len(members)
    share = 1.0
    side = side_share(state, now)
    raised_at = now + const.SIDE_RAISE_SECONDS
    side = _lowest(state.quotas.low_side_shares, now, side, raised_at)
    if lost > const.LOST_TOLERANCE * (live + lost):
        share = live / (live + lost)
    quotas = state.quotas
    raised_at = now + const.SHARE_RAISE_SECONDS
    share = _lowest(quotas.low_shares, now, share, raised_at)
    return side if _has_healed(state, now, members) else min(share, side)


def _has_healed(
    state: core_state.State, now: float, members: tuple[str, ...]
) -> bool:
    """Return whether a shard's replicas hear each other after a partition.

    Both sides had the same replicas, so nobody else counts for the shard.
    """
    known = state.quotas.replicas
    others = [entry for entry in members if entry != state.identity.entry]
    return all(hears(state, now, entry) for entry in others) and any(
        now - known[entry].returned_at <= const.HEALED_SECONDS
        for entry in others
    )


def _lowest(
    shares: collections.deque[tuple[float, float]],
    now: float,
    share: float,
    raised_at: float,
) -> float:
    """Return the lowest share of the last seconds, this one included."""
    while shares and shares[0][0] <= now:
        shares.popleft()
    while shares and shares[-1][1] >= share:
        shares.pop()
    if share < 1.0:
        shares.append((raised_at, share))
    return min(share, shares[0][1]) if shares else share


def fallback_entries(state: core_state.State, now: float) -> int:
    """Return the number of entries that may decide for themselves at once."""
    lost = view.count_lost(state, now, notice_const.LOST_SECONDS)
    known = len(view.live_entries(state)) + lost
    return max(known, len(state.membership.seed_addresses))
