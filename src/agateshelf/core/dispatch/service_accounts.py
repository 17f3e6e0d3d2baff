"""Counts the service that workspaces recently got from a pool of targets.

Service is counted in seconds of work and decays exponentially. All amounts
decay alike, so instead of lowering them, later service is counted with a weight
that grows with time; then comparing two amounts takes no arithmetic.
"""

import dataclasses
import heapq
import math

from agateshelf.core.dispatch import const

Rank = tuple[int, int]


@dataclasses.dataclass(slots=True)
class ServiceAccounts:
    """Service that workspaces recently got.

    Attributes:
        epoch: Time at which service weighs 1, in seconds; later service weighs
            more.
        amounts: Weighted seconds of work by workspace; empty, and not to be
            charged, while no request names one. Requests without a workspace
            share the name "".
        levels: Moving average, by rank, of the amounts of the workspaces that
            were granted targets, as of just before each grant.
    """

    epoch: float = -math.inf
    amounts: dict[str, float] = dataclasses.field(default_factory=dict)
    levels: dict[Rank, float] = dataclasses.field(default_factory=dict)


def enter(
    accounts: ServiceAccounts,
    workspace: str,
    rank: Rank,
    head_start: float,
    now: float,
) -> None:
    """Count a workspace that sends a request among those to be served.

    One that got little or nothing before is moved up to the level of the
    others, less a head start. Without that, two workspaces would not share a
    pool until the new one has had as much as the other got in all the time that
    is remembered.

    Args:
        accounts: Service of the workspaces.
        workspace: Name of the workspace.
        rank: Workspace priority and priority of the request.
        head_start: Seconds of work by which it may be behind the level.
        now: Current time in seconds.
    """
    if now - accounts.epoch > const.SERVICE_REBASE_SECONDS:
        _rebase(accounts, now)
    amount = accounts.amounts.get(workspace, 0.0)
    level = accounts.levels.get(rank, 0.0)
    if level > amount:
        amount = max(amount, level - head_start * weight_at(accounts, now))
    accounts.amounts[workspace] = amount
    if len(accounts.amounts) > const.MAX_SERVICE_ACCOUNTS:
        _forget_least(accounts)


def charge(
    accounts: ServiceAccounts,
    workspace: str,
    rank: Rank,
    seconds: float,
    now: float,
) -> None:
    """Count work that a workspace was granted.

    Args:
        accounts: Service of the workspaces.
        workspace: Name of the workspace.
        rank: Workspace priority and priority of the request.
        seconds: Expected seconds of work.
        now: Current time in seconds.
    """
    amount = accounts.amounts.get(workspace, 0.0)
    level = accounts.levels.get(rank, amount)
    accounts.levels[rank] = level + const.SERVICE_LEVEL_SMOOTHING * (
        amount - level
    )
    accounts.amounts[workspace] = amount + seconds * weight_at(accounts, now)


def refund(
    accounts: ServiceAccounts,
    workspace: str,
    seconds: float,
    granted_at: float,
) -> None:
    """Take back work that was counted at a grant but not done.

    Args:
        accounts: Service of the workspaces.
        workspace: Name of the workspace.
        seconds: Seconds of work that were counted.
        granted_at: Time of the grant in seconds.
    """
    amount = accounts.amounts.get(workspace)
    if amount is None:
        return
    counted = seconds * weight_at(accounts, granted_at)
    accounts.amounts[workspace] = max(0.0, amount - counted)


def weight_at(accounts: ServiceAccounts, now: float) -> float:
    """Return the weight of service that is got at a time."""
    return math.exp((now - accounts.epoch) / const.SERVICE_DECAY_SECONDS)


def _rebase(accounts: ServiceAccounts, now: float) -> None:
    """Let service weigh 1 as of now, and forget what has decayed."""
    factor = 1.0 / weight_at(accounts, now) if accounts.amounts else 0.0
    accounts.epoch = now
    least = const.MIN_SERVICE_SECONDS
    accounts.amounts = {
        workspace: amount * factor
        for workspace, amount in accounts.amounts.items()
        if amount * factor >= least
    }
    accounts.levels = {
        rank: level * factor
        for rank, level in accounts.levels.items()
        if level * factor >= least
    }
    if not any(accounts.amounts):
        accounts.amounts.clear()
        accounts.levels.clear()


def _forget_least(accounts: ServiceAccounts) -> None:
    """Forget the half of the workspaces that got least service."""
    accounts.amounts = dict(
        heapq.nlargest(
            const.MAX_SERVICE_ACCOUNTS // 2,
            accounts.amounts.items(),
            key=lambda item: item[1],
        )
    )
