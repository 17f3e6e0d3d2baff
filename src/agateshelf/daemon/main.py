"""Command line of the daemon, and one entry's run from start to exit."""

from agateshelf.daemon import early_signals

if __name__ == "__main__":
    # Only the interpreter's own start is left without handlers.
    early_signals.install()

from agateshelf.daemon import early_imports

if __name__ == "__main__":
    early_imports.prepare()

import gc
import importlib
import os
import pathlib
import signal
import sys
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

import curio
import logbook
import msgspec

from agateshelf import const
from agateshelf import exceptions
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.routes import models as route_models
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import event_logging
from agateshelf.daemon import listening
from agateshelf.daemon import logs
from agateshelf.daemon import loop_lag
from agateshelf.daemon import metrics
from agateshelf.daemon import opening
from agateshelf.daemon import reloading
from agateshelf.daemon import signals
from agateshelf.daemon import status
from agateshelf.daemon import stopping
from agateshelf.daemon import supervision
from agateshelf.daemon.callers import exchanges
from agateshelf.daemon.callers import memory
from agateshelf.daemon.callers import server as callers
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
    from agateshelf.daemon.peers import transport

_SEED_BYTES = 8
_NANOSECONDS_PER_MILLISECOND = 1_000_000
# Shares of the grace period of a stop. The balancer checks readiness every
# second and removes an entry after two failed checks. Requests that still run
# in the last sixth of the period may be aborted.
_UNREADY_SHARE = 0.5
_STOP_SHARE = 0.88
_REFUSAL_SHARE = 0.09
# A message between entries has about 250 bytes and takes about 0.2 ms of one
# core, so a core at full load sends and receives about 10 Mbit/s.
_LINK_MEGABITS_PER_CORE = 10.0
_GC_THRESHOLDS = (20_000, 20, 20)

_log = logbook.Logger("daemon")


def main() -> None:
    """Run one entry of agateshelf until it is asked to stop."""
    path = _settings_path(sys.argv[1:])
    try:
        cfg = settings.read_settings(path)
    except exceptions.DocumentError as exc:
        _exit_on(exc)
    _tune_garbage_collection()
    handler = logs.create_handler(cfg.logs)
    event_log: event_logging.EventLog | None = None
    if cfg.routes is not None:
        event_log = event_logging.create_event_log(cfg.entry)
        handler = event_logging.EventLogHandler(event_log, cfg.logs.level)
    with handler.applicationbound():
        try:
            lag = loop_lag.LagSelector()
            curio.run(run, cfg, path, event_log, lag, selector=lag)
        except exceptions.DocumentError as exc:
            _exit_on(exc)


def _exit_on(error: exceptions.DocumentError) -> NoReturn:
    print(f"agateshelfd: settings: {error}", file=sys.stderr)  # noqa: T201
    sys.exit(const.EXIT_BAD_INPUT)


def _settings_path(arguments: list[str]) -> pathlib.Path:
    match arguments:
        case ["--settings", path] if path:
            return pathlib.Path(path)
        case []:
            variable = os.environ.get(const.SETTINGS_VARIABLE)
            if variable:
                return pathlib.Path(variable)
    module = importlib.import_module("agateshelf.daemon.command_line")
    parsed: pathlib.Path = module.parse(arguments)
    return parsed


def _tune_garbage_collection() -> None:
    """Exempt objects created at the start from garbage collection.

    Calls create hardly any reference cycles, while a scan of all objects for
    them would delay the calls that run at that moment.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*_GC_THRESHOLDS)


def create_driver(
    cfg: settings.Settings, seed: int, budget: memory.Budget
) -> daemon_driver.Driver:
    """Create the driver of an entry from its settings."""
    identity = core_state.Identity(
        _identifier_of(cfg), cfg.failure_domain, _capacity_of(cfg.capacity)
    )
    counters = metrics.create_metrics(cfg.statsd)
    driver = daemon_driver.Driver(
        state=core_state.create_state(
            identity, seed, has_services=cfg.routes is None
        ),
        exchanges=exchanges.Exchanges(),
        targets=target_client.TargetClient(
            connections=pool.create_pool(cfg.limits.kept_target_connections),
            max_buffered_bytes=cfg.limits.held_answer_bytes,
            via=cfg.entry.encode(),
            budget=budget,
            source=cfg.target_source,
        ),
        metrics=counters,
        traces=_create_traces(cfg, counters),
    )
    if cfg.routes is None:
        _set_up_services(driver, cfg)
    else:
        _set_up_routes(driver, cfg, cfg.routes)
    return driver


def _identifier_of(cfg: settings.Settings) -> str:
    """Return the identifier of this entry among its peers.

    The seeds of an entry that follows routes may be given by address alone, so
    each such entry is identified by its address.
    """
    if cfg.routes is None or cfg.peers is None:
        return cfg.entry
    return f"{cfg.peers.listen.host}:{cfg.peers.listen.port}"


def _capacity_of(capacity: settings.Capacity) -> float:
    """Return the capacity of this entry, limited by its core and its link."""
    core = capacity.core_share * capacity.core_speed
    return min(core, capacity.link_megabits / _LINK_MEGABITS_PER_CORE)


def _create_traces(
    cfg: settings.Settings, counters: metrics.Metrics
) -> "tracing.Traces | None":
    if cfg.traces is None:
        return None
    module = importlib.import_module("agateshelf.daemon.tracing")
    traces: tracing.Traces | None = module.create_traces(
        cfg.traces, cfg.entry, counters
    )
    return traces


def _set_up_services(
    driver: daemon_driver.Driver, cfg: settings.Settings
) -> None:
    """Set up an entry that serves the services of the configuration."""
    module = importlib.import_module("agateshelf.daemon.peers.service_types")
    module.register()
    driver.store = store.StoreClient(client.Client(cfg.platform.store))


def _set_up_routes(
    driver: daemon_driver.Driver,
    cfg: settings.Settings,
    routes: settings.Routes,
) -> None:
    """Set up an entry that follows the routes in the platform's store."""
    driver.targets.dialect = dialect.DIALECT
    driver.targets.connect_timeout = (
        target_client.RELAYED_CONNECT_TIMEOUT_SECONDS
    )
    store_client = client.Client(cfg.platform.store)
    driver.feed = feed.FeedClient(store_client)
    driver.store = store.StoreClient(store_client)
    driver.targets.connections.post = driver.post
    driver.prober = probing.Prober(
        dialect.DIALECT, cfg.target_source, count=driver.metrics.count
    )
    reloading.adopt_routes(driver.state, routes)


def create_peers(
    cfg: settings.Settings, driver: daemon_driver.Driver, epoch: int
) -> "transport.Transport | None":
    """Create the transport to other entries, if the settings configure one."""
    if cfg.peers is None:
        return None
    module: Any = importlib.import_module("agateshelf.daemon.peers.transport")
    created: transport.Transport = module.create_transport(
        driver.state.identity.entry, epoch, cfg.peers, driver.metrics.count
    )
    return created


def create_started(
    cfg: settings.Settings, peers: "transport.Transport | None", epoch: int
) -> events.Started:
    """Create the first event for the reducer.

    Args:
        cfg: Settings of the entry.
        peers: Its transport to other entries; None if there is none yet.
        epoch: Number of this process; grows with each restart.
    """
    has_feed = cfg.routes is not None
    if cfg.peers is None:
        return events.Started(
            epoch,
            has_store=not has_feed,
            has_feed=has_feed,
            unix_time=time.time(),
        )
    seeds = reloading.seeds_of(cfg)
    listen = cfg.peers.listen
    address = f"{listen.host}:{listen.port}" if peers is None else peers.address
    address = cfg.peers.advertised or address
    return events.Started(
        epoch,
        address,
        seeds,
        has_store=not has_feed,
        has_feed=has_feed,
        unix_time=time.time(),
        relay_address=_relay_address(cfg),
    )


def _relay_address(cfg: settings.Settings) -> str:
    """Return the address at which this entry relays requests, if it does."""
    relay = None if cfg.peers is None else cfg.peers.relay
    if relay is None or cfg.routes is None:
        return ""
    return f"{relay.host}:{relay.port}"


async def run(
    cfg: settings.Settings,
    path: pathlib.Path,
    event_log: event_logging.EventLog | None = None,
    lag: loop_lag.LagSelector | None = None,
) -> None:
    """Run one entry until it is asked to stop and all calls are answered."""
    budget = memory.Budget(cfg.limits.held_total_bytes)
    driver = create_driver(
        cfg, int.from_bytes(os.urandom(_SEED_BYTES), "big"), budget
    )
    driver.event_log = event_log
    if cfg.routes is not None:
        driver.lag = lag
    epoch = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    if cfg.peers is not None and not opening.may_delay_peers(cfg):
        driver.peers = create_peers(cfg, driver, epoch)
    caller_server = callers.create_server(driver, cfg, budget)
    relay_server = callers.create_server(driver, cfg, budget, is_relay=True)

    def adopt_limits(limits: route_models.Limits) -> None:
        caller_server.adopt_limits(limits)
        relay_server.adopt_limits(limits)

    driver.adopt_limits = adopt_limits
    listener = listening.create_listener(
        cfg.callers, caller_server.serve, "/callers"
    )
    stop_signals = signals.create_signals(
        (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
    async with curio.TaskGroup(wait=None) as group:
        for name, loop in (
            ("timers", driver.run_timers),
            ("deadlines", driver.targets.run_deadlines),
            ("connections to targets", driver.targets.connections.run),
            ("metrics", driver.metrics.run),
            ("callers' timeouts", caller_server.watcher.run),
            ("relays' timeouts", relay_server.watcher.run),
        ):
            await group.spawn(supervision.keep_running, name, loop)
        if driver.traces is not None:
            await group.spawn(
                supervision.keep_running, "traces", driver.traces.run
            )
        driver.awaits_peers = cfg.peers is not None
        await driver.post(create_started(cfg, driver.peers, epoch))
        for other in _create_other_listeners(cfg, driver):
            await other.start()
        relay_listener: listening.Listener | None = None
        if _relay_address(cfg):
            relay_listener = _create_relay_listener(cfg, relay_server)
            await relay_listener.start()

        async def start_listener() -> None:
            await listener.start()
            _log.info(
                "Entry {} accepts callers on {}.", cfg.entry, listener.address
            )

        async def start_peers() -> None:
            peers = driver.peers or create_peers(cfg, driver, epoch)
            if peers is not None:
                driver.attach_peers(peers)
                await group.spawn(
                    supervision.keep_running, "peers", peers.run, driver.post
                )

        await opening.open_entry(driver, cfg, start_listener, start_peers)
        reloader = reloading.Reloader(path, driver)
        await group.spawn(supervision.keep_running, "settings", reloader.run)
        await _await_stop(stop_signals, reloader)
        _log.info(
            "Stop requested {:.3f} s ago, draining connections.",
            stop_signals.seconds_since_stop(),
        )
        await stopping.stop(
            driver,
            caller_server,
            listener,
            stop_signals,
            _stop_limits(cfg),
            relay_server,
            relay_listener,
            _ending_signals(cfg),
        )
        _log.info("Entry {} stopped.", cfg.entry)


def _create_other_listeners(
    cfg: settings.Settings, driver: daemon_driver.Driver
) -> list[listening.Listener]:
    """Create the listeners for administration, readiness and metrics."""
    listeners: list[listening.Listener] = []
    if cfg.administration is not None:
        module = importlib.import_module(
            "agateshelf.daemon.administration.server"
        )
        server = module.AdministrationServer(
            driver, cfg.limits, cfg.administration.token_sha256
        )
        listeners.append(
            listening.create_listener(
                cfg.administration, server.serve, "/administration"
            )
        )
    status_server = status.StatusServer(driver, cfg.limits)
    for listen, path in (
        (cfg.readiness, "/readiness"),
        (cfg.metrics, "/metrics"),
    ):
        if listen is not None:
            secure = settings.SecureListen(host=listen.host, port=listen.port)
            listeners.append(
                listening.create_listener(secure, status_server.serve, path)
            )
    return listeners


def _create_relay_listener(
    cfg: settings.Settings, server: callers.CallerServer
) -> listening.Listener:
    """Create the listener for requests that other entries relay."""
    relay = None if cfg.peers is None else cfg.peers.relay
    if relay is None:
        raise ValueError("no address to relay requests at is configured")
    secure = settings.SecureListen(host=relay.host, port=relay.port)
    return listening.create_listener(secure, server.serve, "/peers/relay")


def _stop_limits(cfg: settings.Settings) -> settings.Limits:
    """Return the limits of a stop.

    An entry that follows routes must exit within the grace period.
    """
    if cfg.routes is None:
        return cfg.limits
    grace = cfg.routes.grace_seconds
    unready = grace * _UNREADY_SHARE
    return msgspec.structs.replace(
        cfg.limits,
        unready_seconds=unready,
        stop_seconds=grace * _STOP_SHARE - unready,
        last_words_seconds=grace * _REFUSAL_SHARE,
    )


def _ending_signals(cfg: settings.Settings) -> frozenset[signal.Signals]:
    """Return the signals that end the draining of an entry that stops.

    The platform may send SIGTERM more than once, and ends a stop itself: it
    kills the process after the grace period.
    """
    if cfg.routes is None:
        return stopping.STOP_SIGNALS
    return stopping.STOP_SIGNALS - {signal.SIGTERM}


async def _await_stop(
    stop_signals: signals.Signals, reloader: reloading.Reloader
) -> None:
    if early_signals.take_reload():
        await reloader.reload("SIGHUP received")
    while await stop_signals.next() == signal.SIGHUP:
        await reloader.reload("SIGHUP received")


if __name__ == "__main__":
    main()
