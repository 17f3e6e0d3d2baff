"""Sends signals to entries that have handlers of them."""

import pathlib
import signal
import subprocess
import time
from typing import Any

import curio

# The interpreter's own start, before the first line of an entry, takes 0.01 s
# of processor time, but over 1 s passed at a load of 24 on 7 cores (seed 26).
_INTERPRETER_SECONDS = 5.0
_POLL_SECONDS = 0.005


async def send(popen: subprocess.Popen[Any], number: signal.Signals) -> None:
    """Send a signal once the process handles it.

    An entry can't handle signals during the interpreter's own start. One that
    takes longer than that gets the signal anyway.
    """
    deadline = time.monotonic() + _INTERPRETER_SECONDS
    while not _is_handled(popen, number) and time.monotonic() < deadline:
        await curio.sleep(_POLL_SECONDS)
    popen.send_signal(number)


def _is_handled(popen: subprocess.Popen[Any], number: signal.Signals) -> bool:
    if popen.poll() is not None:
        return True
    try:
        status = pathlib.Path(f"/proc/{popen.pid}/status").read_text()
    except OSError:
        return True
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught & 1 << number - 1)
