"""Non-idempotent requests around planned stops, as in the incident LOST."""

import contextlib
import itertools
import os
import pathlib
import random
import signal
import time
from typing import Any

import curio
import h11

from soak import callers
from soak import faults
from soak import history as history_lib
from soak import late_requests
from soak import workspaces

PREFIX = f"{late_requests.LONG_MARK}-payout/"
TIMEOUT_SECONDS = 2.0
# Payouts of a route for each entry, whose timeout is short when the entry is
# told to stop, and the usual one from shortly after that.
CHANGED_PREFIX = f"{late_requests.LONG_MARK}-changed/"
_SHORT_TIMEOUT_SECONDS = 0.4
_CHANGED_SECONDS = 0.2
_CHANGED_PAYOUTS = 6
# Time within which a change is in force everywhere, and the time after that in
# which these payouts are sent.
_IN_FORCE_SECONDS = 2.0
_USED_SECONDS = (0.05, 0.5)
# How long before the signal the first connections are opened.
LEAD_SECONDS = 0.5
# Share of the connections that are used late, and how late at most.
_WAITING_SHARE = 0.25
_MAX_WAIT_SECONDS = 3.0
# Share of the connections on which the begin of a further request comes right
# behind the first one.
_FURTHER_SHARE = 0.2
_BODY = b"x" * 4000
_HELD_BYTES = 2000
# Time from the reload of the settings until SIGTERM.
_RELOAD_SECONDS = 0.05

_numbers = itertools.count()


async def spawn(
    cluster: Any, fault: faults.StopInSeries, group: curio.TaskGroup
) -> None:
    """Start what happens around a stop, and return when SIGTERM is due."""
    entry = cluster.entries[fault.entry]
    rng = random.Random(repr(fault))
    for _ in range(fault.payouts):
        opens_at = rng.uniform(0.0, LEAD_SECONDS + late_requests.LATE_SECONDS)
        waits = rng.uniform(0.0, _MAX_WAIT_SECONDS)
        if fault.busy_seconds:
            # Requests count as late too late if the times of the stop are.
            used_at = late_requests.LATE_SECONDS + fault.busy_seconds / 2
            waits = LEAD_SECONDS + used_at - opens_at - rng.uniform(0.0, 0.2)
        if rng.random() >= _WAITING_SHARE:
            waits = 0.0
        has_further = rng.random() < _FURTHER_SHARE
        held = rng.choice((0, _HELD_BYTES)) if waits else 0
        await group.spawn(
            _use, cluster, entry, PREFIX, opens_at, waits, held, has_further
        )
    await group.spawn(_stop_again, entry.popen, LEAD_SECONDS + fault.again_at)
    await curio.sleep(LEAD_SECONDS)
    if fault.busy_seconds:
        path = cluster.directory / f"entry-{entry.number}.json"
        document = path.read_bytes()
        path.unlink()
        os.mkfifo(path)
        entry.popen.send_signal(signal.SIGHUP)
        await group.spawn(
            _unblock, cluster, entry.number, path, document, fault.busy_seconds
        )
        await curio.sleep(_RELOAD_SECONDS)


async def change_timeout(
    cluster: Any, fault: faults.ChangeTimeout, group: curio.TaskGroup
) -> None:
    """Shorten a timeout until its entry stops, and rely on the usual one."""
    entry = cluster.entries[fault.entry]
    rng = random.Random(repr(fault))
    prefix = f"{CHANGED_PREFIX}{entry.number}/"
    short = (prefix, _SHORT_TIMEOUT_SECONDS)
    await curio.run_in_thread(cluster.set_payout_timeout, *short)
    await curio.sleep(LEAD_SECONDS + _CHANGED_SECONDS)
    usual = (prefix, TIMEOUT_SECONDS)
    await curio.run_in_thread(cluster.set_payout_timeout, *usual)
    for _ in range(_CHANGED_PAYOUTS):
        waits = _IN_FORCE_SECONDS + rng.uniform(*_USED_SECONDS)
        await group.spawn(
            _use, cluster, entry, prefix, 0.0, waits, _HELD_BYTES, False
        )


async def _use(
    cluster: Any,
    entry: Any,
    prefix: str,
    opens_at: float,
    waits: float,
    held: int,
    has_further: bool,
) -> None:
    """Send one or two payouts over a new connection.

    The last bytes of the only one are held until the wait is over, those of the
    second one until the first one is answered.
    """
    await curio.sleep(opens_at)
    try:
        sock = await callers.connect(entry.caller_address)
    except OSError:
        return
    calls = [_create_call(entry, prefix) for _ in range(1 + has_further)]
    conns = [h11.Connection(h11.CLIENT) for _ in calls]
    data = b""
    for call, conn in zip(calls, conns, strict=True):
        who = workspaces.Credentials()
        data += b"".join(callers.encode(conn, call, ([_BODY], False), who))
    split = len(data) - _HELD_BYTES
    if not has_further:
        split = len(data) - held if held else 0
    async with sock:
        try:
            calls[0].sent_at = time.time()
            await sock.sendall(data[:split])
            await curio.sleep(0.0 if has_further else waits)
        except OSError:
            return
        if has_further:
            cluster.history.calls.append(calls[0])
            await callers.await_response(sock, conns[0], calls[0])
            if conns[0].their_state is not h11.DONE:
                return
            if ahead := conns[0].trailing_data[0]:
                conns[1].receive_data(ahead)
        calls[-1].sent_at = time.time()
        with contextlib.suppress(OSError):
            await sock.sendall(data[split:])
        cluster.history.calls.append(calls[-1])
        await callers.await_response(sock, conns[-1], calls[-1])


def _create_call(entry: Any, prefix: str) -> history_lib.Call:
    number = next(_numbers)
    return history_lib.Call(
        f"p{number}",
        f"{prefix}{number}",
        False,
        entry.number,
        entry.process_id,
        0.0,
        TIMEOUT_SECONDS,
    )


async def _stop_again(popen: Any, seconds: float) -> None:
    await curio.sleep(seconds)
    if popen.poll() is None:
        popen.send_signal(signal.SIGTERM)


async def _unblock(
    cluster: Any,
    entry: int,
    path: pathlib.Path,
    document: bytes,
    seconds: float,
) -> None:
    """Let an entry that reads its settings from a pipe go on later."""
    begin = time.time()
    await curio.sleep(_RELOAD_SECONDS + seconds)
    _write_to_reader(path, document)
    path.unlink()
    path.write_bytes(document)
    cluster.add_fault_window("busy", entry, begin)


def _write_to_reader(path: pathlib.Path, document: bytes) -> None:
    """Write to a pipe, if a process reads it."""
    try:
        pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
    except OSError:
        return
    with open(pipe, "wb") as file:
        file.write(document)
