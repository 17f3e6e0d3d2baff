"""Graceful stop of an entry.

The core reports when no call is pending, but the final response of a call may
not be written yet. The process exits only when no connection and no exchange
with a caller is in flight either.

All times count from the signal, which a busy loop may read late: whoever sent
it kills the process after a fixed time.
"""

from collections import abc
import signal

import curio
import logbook

from agateshelf.core import events
from agateshelf.daemon import clock
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import listening
from agateshelf.daemon import signals
from agateshelf.daemon.callers import server
from agateshelf.documents import settings

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})

_log = logbook.Logger("stop")


async def stop(
    driver: daemon_driver.Driver,
    caller_server: server.CallerServer,
    listener: listening.Listener,
    stop_signals: signals.Signals,
    limits: settings.Limits,
    relay_server: server.CallerServer | None = None,
    relay_listener: listening.Listener | None = None,
    ended_by: abc.Set[signal.Signals] = STOP_SIGNALS,
) -> None:
    """Drain the calls; refuse the remaining ones at a signal or deadline.

    Args:
        driver: The driver.
        caller_server: The server whose connections are closed.
        listener: The listener for callers, which is closed.
        stop_signals: Signals received during the stop.
        limits: Maximum durations of the steps of the stop.
        relay_server: The server for other entries, whose connections are closed
            as well.
        relay_listener: The listener for other entries. They are refused then,
            and know that nothing was read.
        ended_by: Signals that end the draining, as a second stop signal.
    """
    elapsed = stop_signals.seconds_since_stop()
    seconds = limits.unready_seconds + limits.stop_seconds
    requested_at = clock.now() - elapsed
    await driver.post(events.StopRequested(seconds, elapsed))
    unready_until = requested_at + limits.unready_seconds
    exits_by = requested_at + seconds + limits.last_words_seconds
    if await _signalled_before(stop_signals, unready_until, ended_by):
        _log.warning("Second stop signal received before the listener closed.")
        await listener.close()
        await _refuse_remaining(driver, limits, exits_by)
        return
    await listener.close()
    if relay_listener is not None:
        await relay_listener.close()
    await caller_server.stop()
    if relay_server is not None:
        await relay_server.stop()
    left = requested_at + seconds - clock.now()
    async with curio.ignore_after(max(0.0, left)) as deadline:
        async with curio.TaskGroup(wait=any) as group:
            drained = await group.spawn(_drain, driver)
            await group.spawn(_await_end, stop_signals, ended_by)
        if group.completed is drained:
            return
    reason = (
        "Stop timed out" if deadline.expired else "Second stop signal received"
    )
    _log.warning(
        "{}, refusing calls: {} connections and exchanges in flight.",
        reason,
        driver.exchanges.in_flight.count,
    )
    await _refuse_remaining(driver, limits, exits_by)


async def _signalled_before(
    stop_signals: signals.Signals,
    end: float,
    ended_by: abc.Set[signal.Signals],
) -> bool:
    """Wait for the balancer to notice that the entry is not ready.

    Returns:
        Whether a stop signal was received meanwhile.
    """
    seconds = end - clock.now()
    if seconds <= 0:
        return False
    async with curio.ignore_after(seconds):
        await _await_end(stop_signals, ended_by)
        return True
    return False


async def _await_end(
    stop_signals: signals.Signals, ended_by: abc.Set[signal.Signals]
) -> None:
    """Wait for a signal that ends the draining."""
    while (number := await stop_signals.next_stop()) not in ended_by:
        _log.warning("{} received again, the stop goes on.", number.name)


async def _refuse_remaining(
    driver: daemon_driver.Driver, limits: settings.Limits, exits_by: float
) -> None:
    """Refuse the remaining calls, and wait until their callers are told."""
    await driver.post(events.StopDeadlinePassed())
    left = max(0.0, exits_by - clock.now())
    seconds = min(limits.last_words_seconds, left)
    async with curio.ignore_after(seconds) as last_words:
        await driver.exchanges.in_flight.wait()
    if last_words.expired:
        _log.warning(
            "Stopping with {} connections and exchanges in flight.",
            driver.exchanges.in_flight.count,
        )


async def _drain(driver: daemon_driver.Driver) -> None:
    """Wait until all responses are written and the core has nothing pending."""
    await driver.exchanges.in_flight.wait()
    driver.may_exit.clear()
    await driver.post(events.StopRequested())
    await driver.may_exit.wait()
