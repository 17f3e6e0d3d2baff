"""Injects the faults of a plan into the processes and links of a system.

A fault that excuses violations is recorded in the history once it is over.
"""

import pathlib
import random
import signal
import subprocess
import time
from typing import Any

import curio

from agateshelf_standins import system
from soak import callers
from soak import cluster as cluster_lib
from soak import evacuating
from soak import faults
from soak import history as history_lib
from soak import invariants
from soak import late_requests
from soak import leaving
from soak import payouts
from soak import signalling
from soak import workspaces

# Time that an entry may take to exit beyond its grace period.
_STOP_MARGIN_SECONDS = 1.0
# How long a fault still counts as active after processes were restarted or
# registrations deleted.
_RESTART_SECONDS = 2.0
# Interval at which a crashing request is repeated.
_REPEAT_SECONDS = 0.1
# How long a crashed target refuses connections, or answers nothing.
_REFUSED_SECONDS = 2.0
_DARK_SECONDS = 4.0
_POLL_SECONDS = 0.05
# How long the store is away before it comes back from an older copy.
_AWAY_SECONDS = 0.3
# Three heartbeats of a target.
_EXPIRY_SECONDS = 1.5


async def inject(cluster: cluster_lib.Cluster, fault: faults.Fault) -> None:
    """Inject a fault, and return when it is over."""
    match fault:
        case faults.StopEntry():
            entry = cluster.entries[fault.entry]
            await _stop_entry(cluster, entry, fault.seconds, entry.source)
        case faults.StopUnderLateRequests():
            entry = cluster.entries[fault.entry]
            if entry.down or entry.popen is None:
                return
            async with curio.TaskGroup() as group:
                await late_requests.spawn(cluster, fault, group)
                await _stop_entry(cluster, entry, fault.seconds, entry.source)
        case faults.StopInSeries():
            entry = cluster.entries[fault.entry]
            async with curio.TaskGroup() as group:
                await payouts.spawn(cluster, fault, group)
                await _stop_entry(cluster, entry, 0.0, entry.source)
        case faults.ChangeTimeout():
            async with curio.TaskGroup() as group:
                await payouts.change_timeout(cluster, fault, group)
        case faults.ReplaceEntries():
            for is_earlier in fault.rounds:
                source = cluster.earlier_source if is_earlier else None
                for entry in cluster.entries:
                    if fault.entries and entry.number not in fault.entries:
                        continue
                    await _stop_entry(cluster, entry, 0.0, source)
                    await cluster_lib.await_ready(entry)
        case faults.KillEntry():
            await _kill_entry(
                cluster, cluster.entries[fault.entry], fault.seconds
            )
        case faults.KillAll():
            async with curio.TaskGroup() as group:
                for entry in cluster.entries:
                    await group.spawn(
                        _kill_entry, cluster, entry, fault.seconds
                    )
        case faults.PauseEntry():
            entry = cluster.entries[fault.entry]
            if entry.popen is not None:
                await _pause(
                    cluster, "entry", entry.number, entry.popen, fault.seconds
                )
        case faults.HangUp():
            await _reload_settings(cluster.entries[fault.entry], fault.times)
        case faults.BreakLink():
            await _break_link(cluster, fault)
        case _:
            await _inject_elsewhere(cluster, fault)


async def _inject_elsewhere(
    cluster: cluster_lib.Cluster, fault: faults.Fault
) -> None:
    """Inject a fault of targets, of the store or of the callers' load."""
    match fault:
        case faults.DrainTarget():
            await _drain_target(
                cluster, cluster.targets[fault.target], fault.seconds
            )
        case faults.KillTarget():
            await _kill_target(cluster, cluster.targets[fault.target], fault)
        case faults.PauseTarget():
            target = cluster.targets[fault.target]
            if target.process is not None and not target.down:
                await _pause(
                    cluster,
                    "target",
                    target.number,
                    target.process.popen,
                    fault.seconds,
                )
        case faults.ChangeTarget():
            target = cluster.targets[fault.target]
            await _change_option(
                cluster, "target", target.number, target.process, fault
            )
        case faults.ChangeStore():
            await _change_option(cluster, "store", -1, cluster.store, fault)
        case faults.RestoreStore():
            await _restore_store(cluster, fault.seconds)
        case faults.Lapse():
            await _delete_registrations(cluster)
        case faults.NewTable() | faults.WithdrawKey() | faults.LowerQuota():
            await curio.run_in_thread(_write_table, cluster, fault)
        case faults.CrashingRequest():
            await _repeat_crashing_request(cluster, fault)
        case faults.ShedService():
            await _shed_service(cluster, fault)
        case faults.NameLimits():
            await _name_limits(cluster, fault)
        case faults.SayLeaving():
            await _hold_options(cluster, fault, "leaving", True, False)
        case faults.AskPause():
            pause = str(fault.pause)
            await _hold_options(cluster, fault, "pause", pause, "")
        case faults.TurnCold():
            await _turn_cold(cluster, fault)
        case faults.CutEntries():
            await _cut_entries(cluster, fault)
        case faults.EvacuateDomain():
            await evacuating.evacuate(cluster, fault)
        case faults.LeaveTogether() | faults.WriteOddEntry():
            await leaving.inject(cluster, fault)
        case faults.Burst():
            cluster.rate_factor *= 4.0
            await curio.sleep(fault.seconds)
            cluster.rate_factor /= 4.0


def _write_table(
    cluster: cluster_lib.Cluster,
    fault: faults.NewTable | faults.WithdrawKey | faults.LowerQuota,
) -> None:
    match fault:
        case faults.NewTable():
            cluster.write_table()
        case faults.WithdrawKey():
            key = workspaces.key_of(workspaces.name_of(fault.workspace))
            cluster.withdraw_key(key)
        case faults.LowerQuota():
            cluster.set_quota(fault.rate)


async def _stop_entry(
    cluster: cluster_lib.Cluster,
    entry: cluster_lib.Entry,
    seconds: float,
    next_source: pathlib.Path | None,
) -> None:
    """Stop an entry, and start it again from a source tree."""
    if entry.down or entry.popen is None:
        return
    entry.down = True
    begin = time.time()
    await signalling.send(entry.popen, signal.SIGTERM)
    limit = late_requests.GRACE_SECONDS + _STOP_MARGIN_SECONDS
    deadline = time.time() + limit
    while entry.popen.poll() is None and time.time() < deadline:
        await curio.sleep(0.02)
    status = entry.popen.poll()
    if status is None:
        paused = any(
            window.kind == "entry" and window.index == entry.number
            for window in cluster.history.fault_windows
            if window.end >= begin
        )
        if not paused:
            cluster.history.exit_errors.append(
                f"entry {entry.number} did not exit within {limit} s"
            )
        entry.popen.kill()
    elif status != 0:
        cluster.history.exit_errors.append(
            f"entry {entry.number} exited with status {status}"
        )
    await curio.sleep(seconds)
    entry.source = next_source
    cluster.start_entry(entry)
    await curio.sleep(_RESTART_SECONDS)
    cluster.add_fault_window("stop", entry.number, begin)


async def _kill_entry(
    cluster: cluster_lib.Cluster, entry: cluster_lib.Entry, seconds: float
) -> None:
    if entry.down or entry.popen is None:
        return
    entry.down = True
    begin = time.time()
    entry.popen.kill()
    await curio.sleep(seconds)
    cluster.start_entry(entry)
    await curio.sleep(_RESTART_SECONDS)
    cluster.add_fault_window("entry", entry.number, begin)


async def _pause(
    cluster: cluster_lib.Cluster,
    kind: str,
    index: int,
    popen: subprocess.Popen[Any],
    seconds: float,
) -> None:
    """Suspend a process for some seconds, unless it has exited."""
    if popen.poll() is not None:
        return
    begin = time.time()
    popen.send_signal(signal.SIGSTOP)
    await curio.sleep(seconds)
    if popen.poll() is None:
        popen.send_signal(signal.SIGCONT)
    cluster.add_fault_window(kind, index, begin)


async def _reload_settings(entry: cluster_lib.Entry, times: int) -> None:
    for _ in range(times):
        if entry.popen is not None and entry.popen.poll() is None:
            await signalling.send(entry.popen, signal.SIGHUP)
        await curio.sleep(0.1)


async def _drain_target(
    cluster: cluster_lib.Cluster, target: cluster_lib.Target, seconds: float
) -> None:
    if target.down or target.process is None:
        return
    target.down = True
    target.process.popen.send_signal(signal.SIGTERM)
    while target.process.popen.poll() is None:
        await curio.sleep(0.05)
    await curio.sleep(seconds)
    # The new name tells its ledger lines from those of the drained process.
    target.name += "n"
    await curio.run_in_thread(cluster.start_target, target)


async def _kill_target(
    cluster: cluster_lib.Cluster,
    target: cluster_lib.Target,
    fault: faults.KillTarget,
) -> None:
    if target.down or target.process is None:
        return
    target.down = True
    begin = time.time()
    target.process.popen.kill()
    await curio.sleep(fault.seconds)
    await curio.run_in_thread(cluster.start_target, target)
    cluster.add_fault_window("target", target.number, begin)


async def _repeat_crashing_request(
    cluster: cluster_lib.Cluster, fault: faults.CrashingRequest
) -> None:
    """Repeat a crashing request, and end the targets that it crashes."""
    path = f"/vin/{invariants.CRASH_MARK}-{fault.number}"
    rng = random.Random(f"{fault.number}/{fault.ending.value}")
    end = time.monotonic() + fault.seconds
    async with curio.TaskGroup() as group:
        while time.monotonic() < end:
            entry = rng.randrange(len(cluster.entries))
            source = f"127.0.1.{rng.randint(1, fault.callers)}"
            await group.spawn(
                callers.send_once, cluster, cluster.history, entry, path, source
            )
            for target in cluster.targets:
                if _has_crashed(target):
                    target.down = True
                    await group.spawn(
                        _end_target, cluster, target, fault.ending
                    )
            await curio.sleep(_REPEAT_SECONDS)


def _has_crashed(target: cluster_lib.Target) -> bool:
    if target.down or target.process is None:
        return False
    return target.process.popen.poll() == cluster_lib.CRASH_STATUS


async def _end_target(
    cluster: cluster_lib.Cluster,
    target: cluster_lib.Target,
    ending: faults.CrashEnding,
) -> None:
    begin = time.time()
    match ending:
        case faults.CrashEnding.REFUSED:
            await target.link.set_mode(faults.Mode.REFUSED)
            await curio.sleep(_REFUSED_SECONDS)
        case faults.CrashEnding.DARK:
            await target.link.set_mode(faults.Mode.DARK)
            await curio.sleep(_EXPIRY_SECONDS)
            await _delete_registration(cluster, target)
            await curio.sleep(_DARK_SECONDS - _EXPIRY_SECONDS)
        case faults.CrashEnding.REBORN:
            pass
        case faults.CrashEnding.TAKEN_OVER:
            await _delete_registration(cluster, target)
            target.name += "x"
    await curio.run_in_thread(cluster.start_target, target)
    await target.link.set_mode(faults.Mode.PASS)
    cluster.add_fault_window("target", target.number, begin)


async def _delete_registration(
    cluster: cluster_lib.Cluster, target: cluster_lib.Target
) -> None:
    key = f"servers/{target.name}"
    await curio.run_in_thread(
        system.write_key, cluster.store.address, key, None
    )


async def _shed_service(
    cluster: cluster_lib.Cluster, fault: faults.ShedService
) -> None:
    await _hold_options(cluster, fault, "reject_all", True, False)


async def _name_limits(
    cluster: cluster_lib.Cluster, fault: faults.NameLimits
) -> None:
    async with curio.TaskGroup() as group:
        for target in cluster.targets[fault.parity :: 2][: fault.count]:
            await group.spawn(_name_limit, cluster, target, fault)


async def _name_limit(
    cluster: cluster_lib.Cluster,
    target: cluster_lib.Target,
    fault: faults.NameLimits,
) -> None:
    """Let a target name a limit for some seconds, or until its process ends."""
    process = target.process
    if target.down or process is None:
        return
    name, begin = target.name, time.time()
    if not await _try_option(process, "named_limit", str(fault.rate)):
        return
    while time.time() < begin + fault.seconds and process.popen.poll() is None:
        await curio.sleep(_POLL_SECONDS)
    limit = history_lib.NamedLimit(name, fault.rate, begin, time.time())
    cluster.history.named_limits.append(limit)
    if process.popen.poll() is None:
        await _try_option(process, "named_limit", "")


async def _turn_cold(
    cluster: cluster_lib.Cluster, fault: faults.TurnCold
) -> None:
    """Make targets cold; that is no excuse for anything."""
    until = time.time() + fault.seconds
    for target in cluster.targets[fault.parity :: 2][: fault.count]:
        if target.process is not None and not target.down:
            await _try_option(target.process, "cold_until", until)
    await curio.sleep(max(0.0, until - time.time()))


def _count_of(
    fault: faults.ShedService | faults.SayLeaving | faults.AskPause,
) -> int | None:
    """Return how many targets of its service a fault concerns; None for all."""
    return None if isinstance(fault, faults.ShedService) else fault.count


async def _hold_options(
    cluster: cluster_lib.Cluster,
    fault: faults.ShedService | faults.SayLeaving | faults.AskPause,
    option: str,
    value: Any,
    usual: Any,
) -> None:
    """Change an option of some targets of a service for a while."""
    async with curio.TaskGroup() as group:
        for target in cluster.targets[fault.parity :: 2][: _count_of(fault)]:
            change = faults.ChangeTarget(
                target.number, fault.seconds, option, value, usual
            )
            await group.spawn(
                _change_option,
                cluster,
                "target",
                target.number,
                target.process,
                change,
            )


async def _change_option(
    cluster: cluster_lib.Cluster,
    kind: str,
    index: int,
    process: Any,
    fault: faults.ChangeTarget | faults.ChangeStore,
) -> None:
    begin = time.time()
    for value in (fault.value, fault.usual):
        await _try_option(process, fault.option, value)
        if value == fault.value:
            await curio.sleep(fault.seconds)
    # What a target works for and on at once is no fault.
    if fault.option not in ("long_ms", "slots"):
        cluster.add_fault_window(kind, index, begin)


async def _try_option(process: Any, option: str, value: Any) -> bool:
    """Set an option; return whether the process did."""
    try:
        await curio.run_in_thread(_set_option, process, option, value)
    except (OSError, ValueError) as error:
        print(f"  {process.name} did not set {option}: {error!r}")
        return False
    return True


def _set_option(process: system.Process, option: str, value: Any) -> None:
    system.set_options(process, **{option: value})


async def _restore_store(cluster: cluster_lib.Cluster, seconds: float) -> None:
    """Restore an older copy; operator and targets write theirs again."""
    era = cluster.store_era + 1
    await curio.run_in_thread(_set_option, cluster.store, "backups", era)
    await curio.sleep(seconds)
    begin = time.time()
    await curio.run_in_thread(_set_option, cluster.store, "outage", True)
    await curio.sleep(_AWAY_SECONDS)
    await curio.run_in_thread(_set_option, cluster.store, "era", era)
    cluster.store_era = era
    await curio.run_in_thread(_set_option, cluster.store, "outage", False)
    await curio.run_in_thread(cluster.rewrite_table)
    await evacuating.repeat(cluster)
    await curio.sleep(_EXPIRY_SECONDS)
    await curio.run_in_thread(cluster.expire_registrations)
    cluster.add_fault_window("store", -1, begin)


async def _delete_registrations(cluster: cluster_lib.Cluster) -> None:
    begin = time.time()
    for target in cluster.targets:
        await _delete_registration(cluster, target)
    await curio.sleep(_RESTART_SECONDS)
    cluster.add_fault_window("store", -1, begin)
    cluster.add_fault_window("lapse", -1, begin)


async def _break_link(
    cluster: cluster_lib.Cluster, fault: faults.BreakLink
) -> None:
    kind = "link"
    match fault.kind:
        case "store":
            link = cluster.entries[fault.index].store_link
        case "peers":
            link = cluster.entries[fault.index].peer_link
        case _:
            kind = "target"
            link = cluster.targets[fault.index].link
    begin = time.time()
    await link.set_mode(fault.mode)
    await curio.sleep(fault.seconds)
    await link.set_mode(faults.Mode.PASS)
    cluster.add_fault_window(kind, fault.index, begin)


async def _cut_entries(
    cluster: cluster_lib.Cluster, fault: faults.CutEntries
) -> None:
    begin = time.time()
    for target in cluster.targets:
        for entry in fault.entries:
            await target.link.cut_client(entry, fault.mode)
    await curio.sleep(fault.seconds)
    for target in cluster.targets:
        for entry in fault.entries:
            target.link.restore_client(entry)
    for entry in fault.entries:
        cluster.add_fault_window("cut", entry, begin)
