"""Doing to the processes of a soak what its plan says."""

import signal
import subprocess
import time
from typing import Any

import curio

from agateshelf_standins import system
from soak import faults
from soak import scene as scenes

_STOP_MARGIN_SECONDS = 1.0
_RESTART_SECONDS = 2.0


async def do(scene: scenes.Scene, fault: faults.Fault) -> None:
    """Carry out one fault, until it is over."""
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
            await _hang_up(scene.entries[fault.entry], fault.times)
        case faults.DrainTarget():
            await _drain(scene, scene.members[fault.target], fault.seconds)
        case faults.KillTarget():
            await _kill_target(scene, scene.members[fault.target], fault)
        case faults.PauseTarget():
            one = scene.members[fault.target]
            if one.process is not None and not one.down:
                await _pause(
                    scene,
                    "target",
                    one.number,
                    one.process.popen,
                    fault.seconds,
                )
        case faults.ChangeTarget():
            one = scene.members[fault.target]
            await _change(scene, "target", one.number, one.process, fault)
        case faults.ChangeStore():
            await _change(scene, "store", -1, scene.store, fault)
        case faults.Lapse():
            await _lapse(scene)
        case faults.BreakLink():
            await _break(scene, fault)
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
    most = scenes.GRACE_SECONDS + _STOP_MARGIN_SECONDS
    while entry.popen.poll() is None and time.time() < begin + most:
        await curio.sleep(0.02)
    status = entry.popen.poll()
    if status is None:
        paused = any(
            one.what == "entry" and one.index == entry.number
            for one in scene.record.disturbances
            if one.end >= begin
        )
        if not paused:
            scene.record.ends.append(f"entry {entry.number} did not stop")
        entry.popen.kill()
    elif status != 0:
        scene.record.ends.append(f"entry {entry.number} stopped with {status}")
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
    """Have a process stand still; one that is down stays so."""
    if popen.poll() is not None:
        return
    begin = time.time()
    popen.send_signal(signal.SIGSTOP)
    await curio.sleep(seconds)
    if popen.poll() is None:
        popen.send_signal(signal.SIGCONT)
    scene.disturb(what, index, begin)


async def _hang_up(entry: scenes.Entry, times: int) -> None:
    for _ in range(times):
        if entry.popen is not None and entry.popen.poll() is None:
            entry.popen.send_signal(signal.SIGHUP)
        await curio.sleep(0.1)


async def _drain(
    scene: scenes.Scene, one: scenes.Member, seconds: float
) -> None:
    if one.down or one.process is None:
        return
    one.down = True
    one.process.popen.send_signal(signal.SIGTERM)
    while one.process.popen.poll() is None:
        await curio.sleep(0.05)
    await curio.sleep(seconds)
    # Another process: its ledger lines are told apart by its name.
    one.name += "n"
    await curio.run_in_thread(scene.start_member, one)


async def _kill_target(
    scene: scenes.Scene, one: scenes.Member, fault: faults.KillTarget
) -> None:
    if one.down or one.process is None:
        return
    one.down = True
    begin = time.time()
    one.process.popen.kill()
    await curio.sleep(fault.seconds)
    await curio.run_in_thread(scene.start_member, one)
    scene.disturb("target", one.number, begin)


async def _change(
    scene: scenes.Scene,
    what: str,
    index: int,
    process: Any,
    fault: faults.ChangeTarget | faults.ChangeStore,
) -> None:
    begin = time.time()
    for value in (fault.value, fault.usual):
        try:
            await curio.run_in_thread(_control, process, fault.option, value)
        except (OSError, ValueError) as error:
            print(f"  {what} {index} took no {fault.option}: {error!r}")
        if value == fault.value:
            await curio.sleep(fault.seconds)
    scene.disturb(what, index, begin)


def _control(process: system.Process, option: str, value: Any) -> None:
    system.control(process, **{option: value})


async def _lapse(scene: scenes.Scene) -> None:
    begin = time.time()
    address = scene.store.address
    for one in scene.members:
        key = f"servers/{one.name}"
        await curio.run_in_thread(system.write_key, address, key, None)
    await curio.sleep(_RESTART_SECONDS)
    scene.disturb("store", -1, begin)


async def _break(scene: scenes.Scene, fault: faults.BreakLink) -> None:
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
