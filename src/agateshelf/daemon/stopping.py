"""The graceful stop of an entry.

The core says when it has decided everything; that is not yet the end, since a
word may be decided and not written. The process ends when the count of what is
owed to callers is zero.
"""

import curio
import logbook

from agateshelf.core import events
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import listening
from agateshelf.daemon import signals
from agateshelf.daemon.callers import server
from agateshelf.documents import settings

_log = logbook.Logger("stop")


async def stop(
    driver: daemon_driver.Driver,
    caller_server: server.CallerServer,
    listener: listening.Listener,
    stop_signals: signals.Signals,
    limits: settings.Limits,
) -> None:
    """Finish what is owed, or give true refusals at a signal or deadline.

    Args:
        driver: The driver.
        caller_server: The server whose connections end.
        listener: The callers' listener, which is closed.
        stop_signals: A further signal ends the wait.
        limits: How long the stop and its parts may take.
    """
    await driver.post(events.StopRequested())
    if await _signalled_within(stop_signals, limits.unready_seconds):
        _log.warning("Signal came again while the balancer was to notice.")
        await listener.close()
        await _give_last_words(driver, limits)
        return
    await listener.close()
    await caller_server.stop()
    async with curio.ignore_after(limits.stop_seconds) as late:
        async with curio.TaskGroup(wait=any) as group:
            settled = await group.spawn(_settle, driver)
            await group.spawn(stop_signals.next_stop)
        if group.completed is settled:
            return
    why = "Stop took too long" if late.expired else "Signal came again"
    _log.warning(
        "{}, {} obligations left.", why, driver.exchanges.in_flight.count
    )
    await _give_last_words(driver, limits)


async def _signalled_within(
    stop_signals: signals.Signals, seconds: float
) -> bool:
    """Let the balancer notice before connections are refused.

    Returns:
        Whether a further signal came meanwhile.
    """
    if seconds <= 0:
        return False
    async with curio.ignore_after(seconds):
        await stop_signals.next_stop()
        return True
    return False


async def _give_last_words(
    driver: daemon_driver.Driver, limits: settings.Limits
) -> None:
    await driver.post(events.StopDeadlinePassed())
    async with curio.ignore_after(limits.last_words_seconds):
        await driver.exchanges.in_flight.wait()


async def _settle(driver: daemon_driver.Driver) -> None:
    """Wait until every word is written and the core owes nothing either."""
    await driver.exchanges.in_flight.wait()
    driver.exited.clear()
    await driver.post(events.StopRequested())
    await driver.exited.wait()
