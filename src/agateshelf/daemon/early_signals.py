"""Signals that an entry receives before it can await them.

Imports and settings take most of the time until an entry accepts requests.
Without handlers a signal received meanwhile would kill the process.
"""

import os
import signal

_received: set[int] = set()


def install() -> None:
    """Handle signals until `signals.create_signals` replaces the handlers.

    A stop signal ends the process with status 0, as the entry has accepted no
    request yet. SIGHUP is kept for `take_reload`.
    """
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, _keep)


def take_reload() -> bool:
    """Return whether SIGHUP was received since the last call."""
    was_received = signal.SIGHUP in _received
    _received.discard(signal.SIGHUP)
    return was_received


def _exit(number: int, frame: object) -> None:
    # An exception could be caught by the module that is being imported.
    del number, frame
    os._exit(0)


def _keep(number: int, frame: object) -> None:
    del frame
    _received.add(number)
