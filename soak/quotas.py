"""A workspace with a quota in the soak: its load and its invariants.

Its callers send far more than its quota over all entries, so that an entry that
counts by itself, or a counter that forgets, sends more than the bound.
"""

import dataclasses
import random
from typing import Any

import curio

from soak import callers
from soak import history as history_lib
from soak import workspaces

# Bound of the users' requirements: sends of a workspace in any window, as a
# factor on what the quota allows in it, and a number beside that.
WINDOW_SECONDS = 5.0
BOUND_FACTOR = 1.1
BOUND_EXTRA = 20.0
# Time after which a lowered quota is known, from its acknowledgement. No entry
# serves keys for longer without proof of the newest configuration.
LOWERED_SECONDS = workspaces.REVOCATION_SECONDS
# Callers of the workspace, and the mean pause of each after an answer. Without
# its quota the workspace would be served about 100 requests in a window.
_CALLERS = 6
_PAUSE_SECONDS = 0.2
# Time after the last fault from which the workspace is served again.
_RECOVERY_SECONDS = 4.0
_TOO_MANY = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """A quota of the workspace.

    Attributes:
        rate: Requests a second.
        burst: Requests that may be sent at once beyond the rate.
    """

    rate: float
    burst: float

    @property
    def bound(self) -> float:
        """Most requests that are sent and run in any window."""
        allowed = WINDOW_SECONDS * self.rate + self.burst
        return allowed * BOUND_FACTOR + BOUND_EXTRA


def credentials(workspaces_before: int) -> workspaces.Credentials:
    """Return what the callers of the workspace send; it is the last one."""
    name = workspaces.name_of(workspaces_before)
    return workspaces.Credentials(name, workspaces.key_of(name))


def document(workspaces_before: int, quota: Quota) -> dict[str, Any]:
    """Return the workspace as the configuration has it."""
    who = credentials(workspaces_before)
    return {
        "name": who.workspace,
        "api_keys": [who.key],
        "priority": 0,
        "rate_per_s": quota.rate,
        "burst": quota.burst,
    }


async def start_callers(cluster: Any, seed: int) -> list[curio.Task]:
    """Start the callers of the workspace; they run until cancelled."""
    return [
        await curio.spawn(
            _run_caller, cluster, random.Random(f"{seed}/quota/{n}"), n
        )
        for n in range(_CALLERS)
    ]


async def _run_caller(cluster: Any, rng: random.Random, number: int) -> None:
    who = credentials(cluster.workspaces)
    history = cluster.history
    while True:
        entry = rng.randrange(len(cluster.entries))
        path = f"/vin/quota-{number}"
        await callers.send_once(cluster, history, entry, path, who=who)
        await curio.sleep(rng.expovariate(1 / _PAUSE_SECONDS))


def is_limited(history: history_lib.History, call: history_lib.Call) -> bool:
    """Return whether a request may be refused as beyond its quota."""
    return bool(history.quotas) and call.workspace == history.limited_workspace


def find_violations(history: history_lib.History) -> list[str]:
    """Return a line for each violation of what quotas promise.

    Whatever befell the entries is no excuse for sends beyond the bound.
    """
    violations = [
        f"{call.id} got status 429 without a quota"
        for call in history.calls
        if call.status == _TOO_MANY and not is_limited(history, call)
    ]
    violations += [
        f"{call.id} got status 429 without Retry-After"
        for call in history.calls
        if call.status == _TOO_MANY and not call.has_retry_after
    ][:3]
    if not history.quotas:
        return violations
    runs = _runs(history)
    for index, (written_at, quota) in enumerate(history.quotas):
        since = written_at + LOWERED_SECONDS if index else 0.0
        most = _most_in_window([run for run in runs if run[0] >= since])
        if most > quota.bound:
            violations.append(
                f"{history.limited_workspace} has a quota of {quota.rate:g} a"
                f" second and ran {most} requests in {WINDOW_SECONDS:g} s;"
                f" allowed {quota.bound:g}"
            )
    return [*violations, *_missing_service(history, runs)]


def _runs(history: history_lib.History) -> list[tuple[float, float]]:
    """Return when each run of the workspace was sent by its caller, and ran."""
    sent_at = {
        call.id: call.sent_at
        for call in history.calls
        if is_limited(history, call)
    }
    return sorted(
        (sent_at[line["id"]], line["at"])
        for line in history.ledger
        if line["kind"] == "run" and line["id"] in sent_at
    )


def _most_in_window(runs: list[tuple[float, float]]) -> int:
    """Return the largest number of requests sent and run in one window.

    An entry sends a request later than its caller does, so each of these was
    sent by an entry within the window as well, however long a link or a target
    held others back.
    """
    return max(
        (
            sum(
                begin <= sent_at and ran_at <= begin + WINDOW_SECONDS
                for sent_at, ran_at in runs
            )
            for begin, _ in runs
        ),
        default=0,
    )


def _missing_service(
    history: history_lib.History, runs: list[tuple[float, float]]
) -> list[str]:
    """Check that the workspace is served at all after the last fault."""
    begin = history.faults_over_at + _RECOVERY_SECONDS
    if any(ran_at >= begin for _, ran_at in runs):
        return []
    return [f"{history.limited_workspace} got nothing after the last fault"]
