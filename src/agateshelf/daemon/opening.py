"""Order in which the parts of an entry that starts come into use.

Callers first: an entry that has routes and targets decides for itself until it
knows others, so that the transport to peers, whose library takes a tenth of the
time of a start, waits until the first requests are on their way.
"""

from collections import abc

import curio

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import status
from agateshelf.documents import settings

# Time for which connections wait for routes and targets, less than a caller's
# usual timeout. Then their requests are told 503, not run.
_READY_SECONDS = 0.3
# The same before the transport to peers is created; the usual time of a read.
_READY_BEFORE_PEERS_SECONDS = 0.02
_POLL_SECONDS = 0.002
# Time in which the requests that waited for the entry are accepted and
# answered, at the usual run time of a lookup.
_HEAD_START_SECONDS = 0.1

Step = abc.Callable[[], abc.Awaitable[None]]


async def open_entry(
    driver: daemon_driver.Driver,
    cfg: settings.Settings,
    start_listener: Step,
    start_peers: Step,
) -> None:
    """Accept callers and connect to peers, in the order that answers first.

    Args:
        driver: The driver, which has been started.
        cfg: Settings of the entry.
        start_listener: Accepts callers.
        start_peers: Creates the transport to peers.
    """
    if may_delay_peers(cfg) and await _is_ready_within(
        driver, _READY_BEFORE_PEERS_SECONDS
    ):
        await start_listener()
        await curio.sleep(_HEAD_START_SECONDS)
        await start_peers()
        return
    await start_peers()
    if cfg.routes is not None:
        await _is_ready_within(driver, _READY_SECONDS)
    await start_listener()


def may_delay_peers(cfg: settings.Settings) -> bool:
    """Return whether an entry can serve callers before it has peers.

    It can't where only peers tell that its keys are current, and must not where
    its peers are told an address that is known only once it is bound.
    """
    if cfg.routes is None or cfg.peers is None:
        return False
    is_address_known = cfg.peers.listen.port > 0
    return is_address_known and cfg.routes.revocation_ms is None


async def _is_ready_within(
    driver: daemon_driver.Driver, seconds: float
) -> bool:
    async with curio.ignore_after(seconds):
        while not status.is_ready(driver):
            await curio.sleep(_POLL_SECONDS)
    return status.is_ready(driver)
