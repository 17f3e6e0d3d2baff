"""Targets that leave unannounced, and entries of other writers among theirs."""

import json
import os
import time
from typing import Final

import curio

from agateshelf_standins import system
from soak import cluster as cluster_lib
from soak import faults

# A target that leaves serves on for longer than it may still get requests.
_SERVES_ON_SECONDS: Final = 3.0
# Time in which a heartbeat that is being written ends, and from a reset of
# connections to the removals.
_LEAD_SECONDS: Final = 0.2
_RESET_SECONDS: Final = 0.05
_POLL_SECONDS: Final = 0.05
_KEY_PREFIX: Final = "servers/"

_NESTED: Final = b"[" * 2000 + b"]" * 2000
_GOOD: Final = {
    "service": "status",
    "address": "127.0.0.1:9",
    "zone": "boston",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left": 0,
    "sequence": 1,
    "born": 1,
}


def value_of(oddity: faults.Oddity) -> bytes:
    """Return the value of an odd entry."""
    match oddity:
        case faults.Oddity.NESTED:
            text = json.dumps({**_GOOD, "warmup_left": "@"})
            return text.encode().replace(b'"@"', _NESTED)
        case faults.Oddity.NESTED_UNKNOWN:
            text = json.dumps({**_GOOD, "unknown": "@"})
            return text.encode().replace(b'"@"', _NESTED)
        case faults.Oddity.LARGE_NUMBER:
            return json.dumps({**_GOOD, "slots": 10**40}).encode()
        case faults.Oddity.PORT_OUT_OF_RANGE:
            return json.dumps({**_GOOD, "address": "127.0.0.1:99999"}).encode()
        case faults.Oddity.NO_TEXT:
            return b'{"service": "\xff\xfe'


async def inject(
    cluster: cluster_lib.Cluster,
    fault: faults.LeaveTogether | faults.WriteOddEntry,
) -> None:
    """Inject a fault, and return when it is over."""
    match fault:
        case faults.LeaveTogether():
            await _leave_together(cluster, fault)
        case faults.WriteOddEntry():
            await _write_odd_entry(cluster, fault)


async def _write_odd_entry(
    cluster: cluster_lib.Cluster, fault: faults.WriteOddEntry
) -> None:
    """Keep an odd entry among those of the targets for some seconds."""
    key = f"{_KEY_PREFIX}odd-{fault.oddity.name.lower()}"
    for value in (value_of(fault.oddity), None):
        await _write(cluster, key, value)
        if value is not None:
            await curio.sleep(fault.seconds)


async def _leave_together(
    cluster: cluster_lib.Cluster, fault: faults.LeaveTogether
) -> None:
    """Remove the registrations of some targets, which serve on and then exit.

    Nothing excuses what they get later, but at the entry that was reset.
    """
    leaving = [
        target
        for target in cluster.targets
        if target.number in fault.targets
        and not target.down
        and target.process is not None
    ]
    for target in leaving:
        target.down = True
        await curio.run_in_thread(_stop_heartbeats, target)
    if fault.reset_entry is not None:
        await _reset_store_link(cluster, fault.reset_entry)
    await curio.sleep(_LEAD_SECONDS)
    for target in leaving:
        await _write(cluster, _KEY_PREFIX + target.name, None)
        _record_left(cluster, target)
    await curio.sleep(_SERVES_ON_SECONDS)
    for target in leaving:
        await _replace(cluster, target, fault.seconds)


def _stop_heartbeats(target: cluster_lib.Target) -> None:
    if target.process is not None:
        system.set_options(target.process, registers=False)


async def _reset_store_link(cluster: cluster_lib.Cluster, entry: int) -> None:
    begin = time.time()
    link = cluster.entries[entry].store_link
    await link.set_mode(faults.Mode.RESET)
    await curio.sleep(_RESET_SECONDS)
    await link.set_mode(faults.Mode.PASS)
    cluster.add_fault_window("link", entry, begin)


async def _write(
    cluster: cluster_lib.Cluster, key: str, value: bytes | None
) -> None:
    """Write or delete a key, again while the store is away."""
    while True:
        try:
            await curio.run_in_thread(
                system.write_key, cluster.store.address, key, value
            )
        except (OSError, ValueError):
            await curio.sleep(_POLL_SECONDS)
        else:
            return


def _record_left(
    cluster: cluster_lib.Cluster, target: cluster_lib.Target
) -> None:
    line = {"at": time.time(), "by": target.name, "kind": "left"}
    file = os.open(cluster.ledger_path, os.O_WRONLY | os.O_APPEND)
    try:
        os.write(file, json.dumps(line).encode() + b"\n")
    finally:
        os.close(file)


async def _replace(
    cluster: cluster_lib.Cluster, target: cluster_lib.Target, seconds: float
) -> None:
    """End a target, and start one with a new name at its link."""
    if target.process is None:
        return
    target.process.popen.terminate()
    while target.process.popen.poll() is None:
        await curio.sleep(_POLL_SECONDS)
    await curio.sleep(seconds)
    target.name += "n"
    await curio.run_in_thread(cluster.start_target, target)
