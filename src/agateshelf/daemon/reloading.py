"""Reloads the settings while the daemon runs.

The file may change with or without a SIGHUP. Its modification time is polled,
since inotify is not available everywhere.
"""

import dataclasses
import pathlib

import curio
import logbook

from agateshelf import exceptions
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.membership import models as membership_models
from agateshelf.daemon import driver as daemon_driver
from agateshelf.documents import settings

# The seeds in use may lag behind the file by some seconds; the polling interval
# must be a little shorter than that.
POLL_SECONDS = 2.0
_MILLISECONDS_PER_SECOND = 1000.0

_log = logbook.Logger("settings")


@dataclasses.dataclass(slots=True)
class Reloader:
    """Reloads the settings when the file has changed.

    Attributes:
        path: Path of the settings file.
        driver: The driver to which changed settings are applied.
        modified_ns: Modification time of the file when it was last read, in
            nanoseconds.
    """

    path: pathlib.Path
    driver: daemon_driver.Driver
    modified_ns: int = 0

    async def run(self) -> None:
        """Poll the file for changes; never returns."""
        self.modified_ns = self._read_modified_ns()
        while True:
            await curio.sleep(POLL_SECONDS)
            if self._read_modified_ns() != self.modified_ns:
                await self.reload("settings file changed")

    def _read_modified_ns(self) -> int:
        try:
            return self.path.stat().st_mtime_ns
        except OSError as exc:
            _log.warning("Cannot check the settings file for changes: {}.", exc)
            return self.modified_ns

    async def reload(self, reason: str) -> None:
        """Read the file and apply the settings that can change at run time.

        An invalid file changes nothing.
        """
        self.modified_ns = self._read_modified_ns()
        try:
            cfg = settings.read_settings(self.path)
        except exceptions.DocumentError as exc:
            self.driver.log_event(
                effects.LogEvent(
                    "settings.refused",
                    details=(("why", reason), ("fault", str(exc))),
                )
            )
            return
        if cfg.routes is not None:
            adopt_routes(self.driver.state, cfg.routes)
        seeds = seeds_of(cfg)
        await self.driver.post(events.SeedsChanged(seeds))
        self.driver.log_event(
            effects.LogEvent(
                "settings.reloaded",
                details=(("why", reason), ("seeds", len(seeds))),
            )
        )


def bounds_of(routes: settings.Routes) -> dispatch_models.Bounds:
    """Return the bounds of retries and probes for the dispatch."""
    return dispatch_models.Bounds(
        retry_share=routes.repeat_share,
        retry_slack=routes.repeat_slack,
        retry_window_seconds=routes.repeat_seconds,
        probes_per_second=routes.probes_per_second,
    )


def adopt_routes(state: core_state.State, routes: settings.Routes) -> None:
    """Apply the settings of an entry that follows routes."""
    state.dispatch.bounds = bounds_of(routes)
    state.regions = dict(routes.regions)
    state.drain_seconds = routes.drain_ms / _MILLISECONDS_PER_SECOND
    state.target_heartbeat_seconds = (
        routes.target_heartbeat_ms / _MILLISECONDS_PER_SECOND
    )
    state.revocation_seconds = None
    if routes.revocation_ms is not None:
        state.revocation_seconds = (
            routes.revocation_ms / _MILLISECONDS_PER_SECOND
        )


def seeds_of(
    cfg: settings.Settings,
) -> tuple[membership_models.Seed, ...]:
    """Return the seeds; one given by its address alone is identified by it."""
    if cfg.peers is None:
        return ()
    return tuple(
        membership_models.Seed(seed, seed)
        if isinstance(seed, str)
        else membership_models.Seed(seed.entry, seed.address)
        for seed in cfg.peers.seeds
    )
