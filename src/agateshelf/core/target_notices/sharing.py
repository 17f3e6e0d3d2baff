"""Splits a limit over the entries that may dispatch at the same time.

Answers the load of entries that lose their owner or each other. The owner of a
service has the whole limit, and the entries that dispatch while they reach no
owner have small shares beside it: together half as much again. Entries that
were lost without having left are assumed to be on the other side of a
partition, with an owner of their own, so each side takes the share of its
entries.
"""

import math

import xxhash

from agateshelf.core import state as core_state
from agateshelf.core.dispatch import owners
from agateshelf.core.membership import view
from agateshelf.core.target_notices import const
from agateshelf.core.target_notices import models
from agateshelf.core.target_notices import records
from agateshelf.core.target_notices import warmups

_HASHES = 1 << 64


def role_of(state: core_state.State, service: str) -> models.Role:
    """Return what this entry is to a service."""
    ranking = owners.owner_ranking(state, service)
    if ranking[:1] == (state.identity.entry,):
        return models.Role.OWNER
    if ranking[1:2] == (state.identity.entry,):
        return models.Role.SUCCESSOR
    return models.Role.OTHER


def share_of(state: core_state.State, now: float, role: models.Role) -> float:
    """Return the share of each limit that an entry in a role may use."""
    live = len(view.live_entries(state))
    lost = view.count_lost(state, now, const.LOST_SECONDS)
    side = live / (live + lost)
    match role:
        case models.Role.OWNER:
            return side
        case models.Role.SUCCESSOR:
            return side * const.SUCCESSOR_SHARE
        case models.Role.OTHER:
            return side * const.FALLBACK_SHARE / live


def shares_of(
    state: core_state.State,
    now: float,
    role: models.Role,
    *,
    is_settled: bool = False,
) -> models.Shares:
    """Return what part of limits and of warm-up rates an entry may use.

    Warm-up rates must hold among entries that have just started as well, so an
    owner has to settle first, and one that knows of nobody gets very little.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        role: What the entry is to the service.
        is_settled: Whether it has been that for a while.
    """
    named = share_of(state, now, role)
    if is_isolated(state):
        return models.Shares(named, const.ISOLATED_SHARE)
    if role is not models.Role.OWNER:
        return models.Shares(named, named)
    if not is_settled:
        unsettled = share_of(state, now, models.Role.SUCCESSOR)
        return models.Shares(named, unsettled)
    hold = math.inf if named >= 1.0 else const.TOKEN_HOLD_SECONDS
    return models.Shares(named, named, hold)


def draw_phase(state: core_state.State) -> float:
    """Draw the phase of a bucket, from 0 to 1.

    It differs between entries even if their generators have the same seed.
    """
    name = state.identity.entry.encode()
    offset = xxhash.xxh64_intdigest(name) / _HASHES
    return (state.rng.random() + offset) % 1.0


def is_isolated(state: core_state.State) -> bool:
    """Return whether other entries are configured and none was ever heard of.

    Such an entry can't know how many others send to the same targets.
    """
    membership = state.membership
    if membership.members:
        return False
    return any(e != state.identity.entry for e in membership.seed_addresses)


def allowance_of(
    state: core_state.State,
    now: float,
    target: str,
    shares: models.Shares,
    *,
    may_be_cold: bool = False,
) -> models.Allowance | None:
    """Return what an entry may send to a target; None for any number.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        target: The target.
        shares: What part of the target's rates the entry may use.
        may_be_cold: Whether it counts as cold if nothing is known.
    """
    named = records.named_rate(state, target)
    cold = warmups.active_rate(state, now, target)
    if cold is None and may_be_cold:
        warmup = warmups.warmup_of(state, target)
        cold = None if warmup is None else warmups.rate_of(warmup)
    limited = None
    if named is not None:
        rate = named * shares.named
        limited = models.Allowance(rate, max(1.0, const.BURST_SECONDS * rate))
    if cold is None:
        return limited
    rate = cold * shares.cold
    if limited is not None and limited.rate < rate:
        rate = limited.rate
    return models.Allowance(rate, const.COLD_BURST, shares.hold, is_cold=True)
