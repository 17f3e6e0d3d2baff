"""Requests that come late in a planned stop, and their invariant."""

from collections import abc
import itertools
import random
from typing import Any

import curio

from soak import callers
from soak import faults
from soak import history as history_lib
from soak import workspaces

# Requests with this prefix run for longer than a stop goes on from
# LATE_SECONDS after its signal, and less long than their callers wait.
LONG_PREFIX = "/report/"
LONG_SECONDS = 1.8
LONG_TIMEOUT_SECONDS = 3.0
# The grace period of the entries, and the time from the signal from which on a
# request must not be broken off.
GRACE_SECONDS = 4.0
LATE_SECONDS = GRACE_SECONDS / 2

_numbers = itertools.count()


async def spawn(
    cluster: Any, fault: faults.StopUnderLateRequests, group: curio.TaskGroup
) -> None:
    """Connect the callers to an entry, and let them send their requests."""
    address = cluster.entries[fault.entry].caller_address
    for sent_at in fault.sent_at:
        try:
            sock = await callers.connect(address)
        except OSError:
            continue
        await group.spawn(_send_later, cluster, fault.entry, sock, sent_at)


async def _send_later(
    cluster: Any, entry: int, sock: Any, sent_at: float
) -> None:
    number = next(_numbers)
    await curio.sleep(sent_at)
    call = history_lib.Call(
        f"late{number}",
        f"{LONG_PREFIX}{number}",
        False,
        entry,
        cluster.entries[entry].process_id,
        0.0,
        LONG_TIMEOUT_SECONDS,
    )
    rng = random.Random(number)
    who = workspaces.draw_credentials(rng, cluster.workspaces)
    call.workspace, call.key = who.workspace, who.key
    async with sock:
        await callers.send_on(sock, cluster.history, call, who)


def find_violations(
    history: history_lib.History,
    is_excused: abc.Callable[[history_lib.Call, int], bool],
) -> list[str]:
    """Find requests that a stop broke off although they were sent late.

    A target ran them, and their callers neither got its answer nor had waited
    until their timeout.
    """
    run_by = {
        line["id"]: _number_of(line["by"])
        for line in history.ledger
        if line["kind"] == "run"
    }
    violations = []
    for call in history.calls:
        target = run_by.get(call.id)
        since = _seconds_into_stop(history, call)
        if target is None or since is None or not _is_broken_off(call):
            continue
        if since >= LATE_SECONDS and not is_excused(call, target):
            violations.append(
                f"{call.id}, sent {since:.2f} s after the signal, was"
                f" broken off by entry {call.entry} ({call.status})"
            )
    return violations


def _number_of(target: str) -> int:
    """Return the number in the name of a target or of its replacement."""
    return int("".join(filter(str.isdigit, target)))


def _is_broken_off(call: history_lib.Call) -> bool:
    if call.status == 200 or call.disconnected or call.ended_at is None:
        return False
    return call.ended_at < call.sent_at + call.timeout


def _seconds_into_stop(
    history: history_lib.History, call: history_lib.Call
) -> float | None:
    """Return how long its entry had been stopping when a request was sent."""
    for window in history.fault_windows:
        seconds = call.sent_at - window.begin
        if window.kind != "stop" or window.index != call.entry:
            continue
        if 0.0 <= seconds <= GRACE_SECONDS:
            return seconds
    return None
