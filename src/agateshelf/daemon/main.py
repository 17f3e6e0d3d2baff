"""The daemon's command line and its run from start to exit."""

import gc
import importlib
import pathlib
import secrets
import signal
import sys
import time
from typing import TYPE_CHECKING

import click
import curio
import logbook
import msgspec

from agateshelf import const
from agateshelf import exceptions
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import listening
from agateshelf.daemon import logs
from agateshelf.daemon import metrics
from agateshelf.daemon import notes
from agateshelf.daemon import reloading
from agateshelf.daemon import signals
from agateshelf.daemon import status
from agateshelf.daemon import stopping
from agateshelf.daemon.callers import exchanges
from agateshelf.daemon.callers import memory
from agateshelf.daemon.callers import server as callers
from agateshelf.daemon.peers import transport
from agateshelf.daemon.targets import client as target_client
from agateshelf.daemon.targets import pool
from agateshelf.daemon.targets import probing
from agateshelf.documents import settings
from agateshelf.platform import client
from agateshelf.platform import dialect
from agateshelf.platform import feed
from agateshelf.platform import store

if TYPE_CHECKING:
    from agateshelf.daemon import tracing

_SEED_BITS = 64
_NANOSECONDS_PER_MILLISECOND = 1_000_000
# Parts of the grace time of a stop. The balancer looks every second and acts
# on two misses; what still runs in the last sixth may be broken off.
_UNREADY_SHARE = 0.5
_STOP_SHARE = 0.88
_LAST_WORDS_SHARE = 0.05
# A message between entries has some 250 bytes and takes a core about 0.2 ms.
_LINK_MEGABITS_PER_CORE = 10.0
_COLLECTION_THRESHOLDS = (20_000, 20, 20)

_log = logbook.Logger("daemon")


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    envvar=const.SETTINGS_VARIABLE,
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
    handler = logs.create_handler(cfg.logs)
    note_log: notes.NoteLog | None = None
    if cfg.routes is not None:
        note_log = notes.create_note_log(cfg.entry)
        handler = notes.NoteHandler(note_log, cfg.logs.level)
    with handler.applicationbound():
        try:
            curio.run(run, cfg, path, note_log)
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
    identity = core_state.Identity(
        _identifier_of(cfg), cfg.failure_domain, _capacity_of(cfg.capacity)
    )
    counted = metrics.create_metrics(cfg.statsd)
    driver = daemon_driver.Driver(
        state=core_state.create_state(
            identity, seed, has_services=cfg.routes is None
        ),
        exchanges=exchanges.Exchanges(),
        targets=target_client.TargetClient(
            connections=pool.Pool(cfg.limits.kept_target_connections),
            max_buffered_bytes=cfg.limits.held_answer_bytes,
            via=cfg.entry.encode(),
            budget=held,
        ),
        metrics=counted,
        traces=_create_traces(cfg, counted),
    )
    if cfg.routes is None:
        _use_services(driver, cfg)
    else:
        _use_routes(driver, cfg, cfg.routes)
    return driver


def _identifier_of(cfg: settings.Settings) -> str:
    """Return how peers call this entry.

    Where seeds are told by their addresses alone, each entry goes by its own.
    """
    if cfg.routes is None or cfg.peers is None:
        return cfg.entry
    return f"{cfg.peers.listen.host}:{cfg.peers.listen.port}"


def _capacity_of(capacity: settings.Capacity) -> float:
    """Return how much this entry bears, bounded by its core and its link."""
    core = capacity.core_share * capacity.core_speed
    return min(core, capacity.link_megabits / _LINK_MEGABITS_PER_CORE)


def _create_traces(
    cfg: settings.Settings, counted: metrics.Metrics
) -> "tracing.Traces | None":
    if cfg.traces is None:
        return None
    module = importlib.import_module("agateshelf.daemon.tracing")
    traces: tracing.Traces | None = module.create_traces(
        cfg.traces, cfg.entry, counted
    )
    return traces


def _use_services(driver: daemon_driver.Driver, cfg: settings.Settings) -> None:
    """Serve the services of a configuration that operators patch."""
    module = importlib.import_module("agateshelf.daemon.peers.service_types")
    module.register()
    driver.store = store.StoreClient(client.Client(cfg.platform.store))


def _use_routes(
    driver: daemon_driver.Driver,
    cfg: settings.Settings,
    bounds: settings.Routes,
) -> None:
    """Serve the routes that the platform's store holds."""
    driver.targets.dialect = dialect.DIALECT
    driver.feed = feed.FeedClient(client.Client(cfg.platform.store))
    driver.prober = probing.Prober(dialect.DIALECT)
    driver.state.dispatch.bounds = reloading.bounds_of(bounds)


def create_peers(
    cfg: settings.Settings, driver: daemon_driver.Driver, epoch: int
) -> transport.Transport | None:
    """Create the transport to other entries, if the settings name any."""
    if cfg.peers is None:
        return None
    return transport.create_transport(
        driver.state.identity.entry, epoch, cfg.peers, driver.metrics.count
    )


def create_started(
    cfg: settings.Settings, peers: transport.Transport | None, epoch: int
) -> events.Started:
    """Create the event that sets the core out."""
    has_feed = cfg.routes is not None
    if cfg.peers is None or peers is None:
        return events.Started(epoch, has_store=not has_feed, has_feed=has_feed)
    seeds = reloading.contacts_of(cfg)
    address = cfg.peers.advertised or peers.address
    return events.Started(
        epoch, address, seeds, has_store=not has_feed, has_feed=has_feed
    )


async def run(
    cfg: settings.Settings,
    path: pathlib.Path,
    note_log: notes.NoteLog | None = None,
) -> None:
    """Run one entry until a stop is asked for and everything is answered."""
    held = memory.Budget(cfg.limits.held_total_bytes)
    driver = create_driver(cfg, secrets.randbits(_SEED_BITS), held)
    driver.note_log = note_log
    epoch = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    driver.peers = create_peers(cfg, driver, epoch)
    caller_server = callers.create_server(driver, cfg, held)
    driver.adopt_limits = caller_server.adopt_limits
    listener = listening.create_listener(
        cfg.callers, caller_server.serve, "/callers"
    )
    stop_signals = signals.create_signals(
        (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
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
        for other in _create_operators_listeners(cfg, driver):
            await other.start()
        await listener.start()
        _log.info("Entry {} takes callers on {}.", cfg.entry, listener.address)
        reloader = reloading.Reloader(path, driver)
        await group.spawn(reloader.run)
        await _await_stop(stop_signals, reloader)
        _log.info("Stop requested, taking no new connections.")
        await stopping.stop(
            driver,
            caller_server,
            listener,
            stop_signals,
            _limits_of_stop(cfg),
        )
        _log.info("Entry {} stopped.", cfg.entry)


def _create_operators_listeners(
    cfg: settings.Settings, driver: daemon_driver.Driver
) -> list[listening.Listener]:
    """Create the listeners for operators, the balancer and metrics."""
    made: list[listening.Listener] = []
    if cfg.administration is not None:
        module = importlib.import_module(
            "agateshelf.daemon.administration.server"
        )
        server = module.AdministrationServer(
            driver, cfg.limits, cfg.administration.token_sha256
        )
        made.append(
            listening.create_listener(
                cfg.administration, server.serve, "/administration"
            )
        )
    reports = status.StatusServer(driver, cfg.limits)
    for listen, path in (
        (cfg.readiness, "/readiness"),
        (cfg.metrics, "/metrics"),
    ):
        if listen is not None:
            where = settings.SecureListen(host=listen.host, port=listen.port)
            made.append(listening.create_listener(where, reports.serve, path))
    return made


def _limits_of_stop(cfg: settings.Settings) -> settings.Limits:
    """Return the limits of a stop, which must end before the grace does."""
    if cfg.routes is None:
        return cfg.limits
    grace = cfg.routes.grace_seconds
    unready = grace * _UNREADY_SHARE
    return msgspec.structs.replace(
        cfg.limits,
        unready_seconds=unready,
        stop_seconds=grace * _STOP_SHARE - unready,
        last_words_seconds=grace * _LAST_WORDS_SHARE,
    )


async def _await_stop(
    stop_signals: signals.Signals, reloader: reloading.Reloader
) -> None:
    while await stop_signals.next() == signal.SIGHUP:
        await reloader.reload("asked to by SIGHUP")


if __name__ == "__main__":
    main()
