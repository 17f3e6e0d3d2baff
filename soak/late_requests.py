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
LONG_MARK = "/report"
LONG_PREFIX = f"{LONG_MARK}/"
LONG_SECONDS = 1.8
LONG_TIMEOUT_SECONDS = 3.0
# The grace period of the entries, and the time from the signal from which on a
# request must not be broken off.
GRACE_SECONDS = 4.0
LATE_SECONDS = GRACE_SECONDS / 2
# From here on a request that was sent earlier may be broken off.
ENDING_SECONDS = GRACE_SECONDS * 5 / 6
# How long a planned stop counts after its grace period.
_SETTLING_SECONDS = 1.0
# Most callers note when a request was sent once it was.
_RECORDING_DELAY_SECONDS = 0.05

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
    is_excused: abc.Callable[[history_lib.Call, int, bool], bool],
) -> list[str]:
    """Find requests that were broken off around a planned stop of their entry.

    A target ran them, and their callers neither got its answer nor had waited
    until their timeout. One that was sent early may be broken off at the end of
    the stop.
    """
    run_by = {
        line["id"]: _number_of(line["by"])
        for line in history.ledger
        if line["kind"] == "run"
    }
    violations = []
    for call in history.calls:
        target = run_by.get(call.id)
        if target is None or call.ended_at is None or not _is_early(call):
            continue
        since = _seconds_into_stop(history, call, call.ended_at)
        if since is None:
            continue
        if not is_excused(call, target, since >= LATE_SECONDS):
            violations.append(
                f"{call.id}, sent {since:.2f} s after the signal, was broken"
                f" off by entry {call.entry} ({call.status}) after"
                f" {call.ended_at - call.sent_at:.3f} s"
            )
    return violations


def _number_of(target: str) -> int:
    """Return the number in the name of a target or of its replacement."""
    return int("".join(filter(str.isdigit, target)))


def _is_early(call: history_lib.Call) -> bool:
    """Return whether a request ended unserved before its time had passed."""
    if call.status == 200 or call.disconnected or call.ended_at is None:
        return False
    due = call.sent_at + call.timeout
    if not call.path.startswith(LONG_MARK):
        due -= _RECORDING_DELAY_SECONDS
    return call.ended_at < due


def _seconds_into_stop(
    history: history_lib.History, call: history_lib.Call, ended_at: float
) -> float | None:
    """Return how long its entry had been stopping when a request was sent.

    None if no stop is near, or if the stop may have broken it off.
    """
    for window in history.fault_windows:
        since, until = call.sent_at - window.begin, ended_at - window.begin
        if window.kind != "stop" or window.index != call.entry:
            continue
        if until < 0.0 or since > GRACE_SECONDS + _SETTLING_SECONDS:
            continue
        may_be_broken_off = since < LATE_SECONDS and until >= ENDING_SECONDS
        return None if may_be_broken_off else since
    return None
