"""Injects the faults of a plan into the processes and links of a system.

A fault that excuses violations is recorded in the history once it is over.
"""

import signal
import subprocess
import time
from typing import Any

import curio

from agateshelf_standins import system
from soak import faults
from soak import scene as scenes

# Time that an entry may take to exit beyond its grace period.
_STOP_MARGIN_SECONDS = 1.0
# How long a fault still counts as active after processes were restarted or
# registrations deleted.
_RESTART_SECONDS = 2.0


async def do(scene: scenes.Scene, fault: faults.Fault) -> None:
    """Inject a fault, and return when it is over."""
    match fault:
        case faults.StopEntry():
            await _stop_entry(scene, scene.entries[fault.entry], fault.seconds)
        case faults.KillEntry():
            await _kill_entry(scene, scene.entries[fault.entry], fault.seconds)
        case faults.KillAll():
            async with curio.TaskGroup() as group:
                for entry in scene.entries:
                    await group.spawn(_kill_entry, scene, entry, fault.seconds)
        case faults.PauseEntry():
            entry = scene.entries[fault.entry]
            if entry.popen is not None:
                await _pause(
                    scene, "entry", entry.number, entry.popen, fault.seconds
                )
        case faults.HangUp():
            await _reload_settings(scene.entries[fault.entry], fault.times)
        case faults.DrainTarget():
            await _drain_target(
                scene, scene.members[fault.target], fault.seconds
            )
        case faults.KillTarget():
            await _kill_target(scene, scene.members[fault.target], fault)
        case faults.PauseTarget():
            target = scene.members[fault.target]
            if target.process is not None and not target.down:
                await _pause(
                    scene,
                    "target",
                    target.number,
                    target.process.popen,
                    fault.seconds,
                )
        case faults.ChangeTarget():
            target = scene.members[fault.target]
            await _change_option(
                scene, "target", target.number, target.process, fault
            )
        case faults.ChangeStore():
            await _change_option(scene, "store", -1, scene.store, fault)
        case faults.Lapse():
            await _delete_registrations(scene)
        case faults.BreakLink():
            await _break_link(scene, fault)
        case faults.NewTable():
            await curio.run_in_thread(scene.write_table)
        case faults.Burst():
            scene.faster *= 4.0
            await curio.sleep(fault.seconds)
            scene.faster /= 4.0


async def _stop_entry(
    scene: scenes.Scene, entry: scenes.Entry, seconds: float
) -> None:
    if entry.down or entry.popen is None:
        return
    entry.down = True
    begin = time.time()
    entry.popen.send_signal(signal.SIGTERM)
    limit = scenes.GRACE_SECONDS + _STOP_MARGIN_SECONDS
    while entry.popen.poll() is None and time.time() < begin + limit:
        await curio.sleep(0.02)
    status = entry.popen.poll()
    if status is None:
        paused = any(
            window.what == "entry" and window.index == entry.number
            for window in scene.record.disturbances
            if window.end >= begin
        )
        if not paused:
            scene.record.ends.append(
                f"entry {entry.number} did not exit within {limit} s"
            )
        entry.popen.kill()
    elif status != 0:
        scene.record.ends.append(
            f"entry {entry.number} exited with status {status}"
        )
    await curio.sleep(seconds)
    scene.start_entry(entry)
    await curio.sleep(_RESTART_SECONDS)
    scene.disturb("stop", entry.number, begin)


async def _kill_entry(
    scene: scenes.Scene, entry: scenes.Entry, seconds: float
) -> None:
    if entry.down or entry.popen is None:
        return
    entry.down = True
    begin = time.time()
    entry.popen.kill()
    await curio.sleep(seconds)
    scene.start_entry(entry)
    await curio.sleep(_RESTART_SECONDS)
    scene.disturb("entry", entry.number, begin)


async def _pause(
    scene: scenes.Scene,
    what: str,
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
    scene.disturb(what, index, begin)


async def _reload_settings(entry: scenes.Entry, times: int) -> None:
    for _ in range(times):
        if entry.popen is not None and entry.popen.poll() is None:
            entry.popen.send_signal(signal.SIGHUP)
        await curio.sleep(0.1)


async def _drain_target(
    scene: scenes.Scene, target: scenes.Member, seconds: float
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
    await curio.run_in_thread(scene.start_member, target)


async def _kill_target(
    scene: scenes.Scene, target: scenes.Member, fault: faults.KillTarget
) -> None:
    if target.down or target.process is None:
        return
    target.down = True
    begin = time.time()
    target.process.popen.kill()
    await curio.sleep(fault.seconds)
    await curio.run_in_thread(scene.start_member, target)
    scene.disturb("target", target.number, begin)


async def _change_option(
    scene: scenes.Scene,
    what: str,
    index: int,
    process: Any,
    fault: faults.ChangeTarget | faults.ChangeStore,
) -> None:
    begin = time.time()
    for value in (fault.value, fault.usual):
        try:
            await curio.run_in_thread(_set_option, process, fault.option, value)
        except (OSError, ValueError) as error:
            print(f"  {what} {index} did not set {fault.option}: {error!r}")
        if value == fault.value:
            await curio.sleep(fault.seconds)
    scene.disturb(what, index, begin)


def _set_option(process: system.Process, option: str, value: Any) -> None:
    system.control(process, **{option: value})


async def _delete_registrations(scene: scenes.Scene) -> None:
    begin = time.time()
    address = scene.store.address
    for target in scene.members:
        key = f"servers/{target.name}"
        await curio.run_in_thread(system.write_key, address, key, None)
    await curio.sleep(_RESTART_SECONDS)
    scene.disturb("store", -1, begin)


async def _break_link(scene: scenes.Scene, fault: faults.BreakLink) -> None:
    what = "link"
    match fault.kind:
        case "store":
            link = scene.entries[fault.index].store
        case "peers":
            link = scene.entries[fault.index].peers
        case _:
            what = "target"
            link = scene.members[fault.index].link
    begin = time.time()
    await link.change(fault.mode)
    await curio.sleep(fault.seconds)
    await link.change(faults.Mode.PASS)
    scene.disturb(what, fault.index, begin)
