"""The daemon's command line and its run from start to exit."""

import gc
import pathlib
import secrets
import signal
import sys
import time

import click
import curio
import logbook

from agateshelf import const
from agateshelf import exceptions
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.membership import models as membership_models
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import listening
from agateshelf.daemon import logs
from agateshelf.daemon import metrics
from agateshelf.daemon import signals
from agateshelf.daemon import stopping
from agateshelf.daemon import tracing
from agateshelf.daemon.administration import server as administration
from agateshelf.daemon.callers import exchanges
from agateshelf.daemon.callers import memory
from agateshelf.daemon.callers import server as callers
from agateshelf.daemon.peers import transport
from agateshelf.daemon.platform import instances
from agateshelf.daemon.platform import store
from agateshelf.daemon.targets import client
from agateshelf.daemon.targets import pool
from agateshelf.documents import settings

_SEED_BITS = 64
_NANOSECONDS_PER_MILLISECOND = 1_000_000
_COLLECTION_THRESHOLDS = (20_000, 20, 20)

_log = logbook.Logger("daemon")


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="JSON file with this entry's settings.",
)
def main(path: pathlib.Path) -> None:
    """Run one entry of agateshelf until it is asked to stop."""
    try:
        cfg = settings.read_settings(path)
    except exceptions.DocumentError as exc:
        click.echo(f"agateshelfd: settings: {exc}", err=True)
        sys.exit(const.EXIT_BAD_INPUT)
    _spare_the_collector()
    with logs.create_handler(cfg.logs).applicationbound():
        try:
            curio.run(run, cfg)
        except exceptions.DocumentError as exc:
            click.echo(f"agateshelfd: settings: {exc}", err=True)
            sys.exit(const.EXIT_BAD_INPUT)


def _spare_the_collector() -> None:
    """Keep what was made at the start out of garbage collections.

    Calls leave hardly a cycle behind; scanning everything for them now and
    then would only make some calls late.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECTION_THRESHOLDS)


def create_driver(
    cfg: settings.Settings, seed: int, held: memory.Budget
) -> daemon_driver.Driver:
    """Create the driver of an entry from its settings."""
    identity = core_state.Identity(cfg.entry, cfg.failure_domain)
    target_client = client.TargetClient(
        connections=pool.Pool(cfg.limits.kept_target_connections),
        held_bytes=cfg.limits.held_answer_bytes,
        via=cfg.entry.encode(),
        budget=held,
    )
    counted = metrics.create_metrics(cfg.statsd)
    return daemon_driver.Driver(
        state=core_state.create_state(identity, seed),
        exchanges=exchanges.Exchanges(),
        targets=target_client,
        metrics=counted,
        traces=tracing.create_traces(cfg.traces, cfg.entry, counted),
        store=store.StoreClient(cfg.platform.store),
        instances=instances.InstancesClient(cfg.platform.instances),
    )


def create_peers(
    cfg: settings.Settings, driver: daemon_driver.Driver, epoch: int
) -> transport.Transport | None:
    """Create the transport to other entries, if the settings name any."""
    if cfg.peers is None:
        return None
    count = driver.metrics.count
    return transport.create_transport(cfg.entry, epoch, cfg.peers, count)


def create_started(
    cfg: settings.Settings, peers: transport.Transport | None, epoch: int
) -> events.Started:
    """Create the event that sets the core out."""
    if cfg.peers is None or peers is None:
        return events.Started(epoch)
    seeds = tuple(
        membership_models.Contact(seed.entry, seed.address)
        for seed in cfg.peers.seeds
    )
    address = cfg.peers.advertised or peers.address
    return events.Started(epoch, address, seeds)


async def run(cfg: settings.Settings) -> None:
    """Run one entry until a stop is asked for and everything is answered."""
    held = memory.Budget(cfg.limits.held_total_bytes)
    driver = create_driver(cfg, secrets.randbits(_SEED_BITS), held)
    epoch = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    driver.peers = create_peers(cfg, driver, epoch)
    caller_server = callers.create_server(driver, cfg, held)
    administration_server = administration.AdministrationServer(
        driver, cfg.limits, cfg.administration.token_sha256
    )
    listener = listening.create_listener(
        cfg.callers, caller_server.serve, "/callers"
    )
    administration_listener = listening.create_listener(
        cfg.administration, administration_server.serve, "/administration"
    )
    stop_signals = signals.create_signals((signal.SIGTERM, signal.SIGINT))
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(driver.run_timers)
        await group.spawn(driver.targets.run_deadlines)
        await group.spawn(driver.metrics.run)
        if driver.traces is not None:
            await group.spawn(driver.traces.run)
        await group.spawn(caller_server.watcher.run)
        if driver.peers is not None:
            await group.spawn(driver.peers.run, driver.post)
        await driver.post(create_started(cfg, driver.peers, epoch))
        await administration_listener.start()
        await listener.start()
        _log.info("Entry {} takes callers on {}.", cfg.entry, listener.address)
        await stop_signals.next()
        _log.info("Stop requested, taking no new connections.")
        await stopping.stop(
            driver,
            caller_server,
            listener,
            stop_signals,
            cfg.limits,
        )
        _log.info("Entry {} stopped.", cfg.entry)


if __name__ == "__main__":
    main()
