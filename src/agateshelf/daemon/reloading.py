"""Following the settings file while the daemon runs.

The file may change with a SIGHUP or without any signal; inotify is not to be
had everywhere, so its time stamp is looked at.
"""

import dataclasses
import pathlib

import curio
import logbook

from agateshelf import exceptions
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.dispatch import models as dispatch_models
from agateshelf.core.membership import models as membership_models
from agateshelf.daemon import driver as daemon_driver
from agateshelf.documents import settings

# Seeds may be stale for some seconds; the file is looked at a little faster.
LOOK_SECONDS = 2.0

_log = logbook.Logger("settings")


@dataclasses.dataclass(slots=True)
class Reloader:
    """Reads the settings again when they may have changed.

    Attributes:
        path: The settings file.
        driver: What the settings are put in force at.
        stamp: Time stamp of the file when it was last read.
    """

    path: pathlib.Path
    driver: daemon_driver.Driver
    stamp: int = 0

    async def run(self) -> None:
        """Look at the file again and again; never returns."""
        self.stamp = self._stamp_now()
        while True:
            await curio.sleep(LOOK_SECONDS)
            if self._stamp_now() != self.stamp:
                await self.reload("the file changed")

    def _stamp_now(self) -> int:
        try:
            return self.path.stat().st_mtime_ns
        except OSError as exc:
            _log.warning("The settings file can't be looked at: {}.", exc)
            return self.stamp

    async def reload(self, why: str) -> None:
        """Read the file and put in force what can change at run time."""
        self.stamp = self._stamp_now()
        try:
            cfg = settings.read_settings(self.path)
        except exceptions.DocumentError as exc:
            self.driver.note(
                effects.LogEvent(
                    "settings.refused",
                    details=(("why", why), ("fault", str(exc))),
                )
            )
            return
        if cfg.routes is not None:
            self.driver.state.dispatch.bounds = bounds_of(cfg.routes)
        seeds = contacts_of(cfg)
        await self.driver.post(events.SeedsChanged(seeds))
        self.driver.note(
            effects.LogEvent(
                "settings.reloaded",
                details=(("why", why), ("seeds", len(seeds))),
            )
        )


def bounds_of(routes: settings.Routes) -> dispatch_models.Bounds:
    """Return the bounds on dispatch that settings hold."""
    return dispatch_models.Bounds(
        retry_share=routes.repeat_share,
        retry_slack=routes.repeat_slack,
        retry_window_seconds=routes.repeat_seconds,
        probes_per_second=routes.probes_per_second,
    )


def contacts_of(
    cfg: settings.Settings,
) -> tuple[membership_models.Seed, ...]:
    """Return the entries to speak to first; by address, that names them."""
    if cfg.peers is None:
        return ()
    return tuple(
        membership_models.Seed(seed, seed)
        if isinstance(seed, str)
        else membership_models.Seed(seed.entry, seed.address)
        for seed in cfg.peers.seeds
    )
