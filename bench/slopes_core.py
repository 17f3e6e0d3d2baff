"""Measures cost slopes of the core: real reducers in virtual time.

See `bench.slopes` for what the slopes are used for.
"""

from collections import abc
import copy
import functools
import math
import time
import tracemalloc

from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.configuration import content
from agateshelf.core.configuration import models
from agateshelf.documents import configuration
from bench import bookings_world
from bench import decisions
from bench import fitting
from bench import fleet

_TARGET_COUNTS = (8, 64, 512, 2048, 4300)
_SERVICE_COUNTS = (20, 80, 160, 330)
_TARGETS_PER_SERVICE = 13
_FLEET_SIZES = (16, 64, 128, 256, 512)
_FLEET_WARMUP_SECONDS = 20.0
_FLEET_SECONDS = 10.0
_BOOKING_RATES = (250, 500, 1000, 2000)
_BOOKING_SECONDS = 4.0
_BOOKING_ENTRIES = 14
_COOLDOWN_SECONDS = 2.0
_SEED = 11
_KIBIBYTE = 1024.0


def _allocated_bytes(create: abc.Callable[[], object]) -> float:
    """Return the bytes that the object returned by `create` keeps allocated."""
    tracemalloc.start()
    allocated = create()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del allocated
    return float(size)


def _create_state(service: models.Service) -> core_state.State:
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    cfg = models.Configuration(1, {service.name: service})
    reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
    return state


def measure_routing() -> list[fitting.Slope]:
    """Measure memory by number of targets, and time for each decision."""
    memory = []
    decision_times = []
    for count in _TARGET_COUNTS:
        service = decisions.create_service(count)
        size = _allocated_bytes(functools.partial(_create_state, service))
        memory.append(fitting.Point(count, size / _KIBIBYTE))
        microseconds = 1e6 / decisions.decisions_per_second(count)
        decision_times.append(fitting.Point(math.log2(count), microseconds))
    return [
        fitting.fit("routing/memory", "targets", "KiB", memory),
        fitting.fit(
            "routing/decision", "log2(targets)", "us/call", decision_times
        ),
    ]


def _create_service_document(number: int) -> dict[str, object]:
    targets = [
        {
            "id": f"service-{number}-{n}",
            "address": f"10.0.{number % 250}.{n + 1}:8080",
            "failure_domain": f"domain-{n % 12}",
        }
        for n in range(_TARGETS_PER_SERVICE)
    ]
    return {
        "team": "harborline",
        "prefix": f"/service-{number}/",
        "targets": targets,
    }


def measure_configuration() -> list[fitting.Slope]:
    """Measure size, validation time and memory by number of services."""
    content_sizes, check_times, memory = [], [], []
    for count in _SERVICE_COUNTS:
        document = {
            "version": 1,
            "services": {
                f"service-{n}": _create_service_document(n)
                for n in range(count)
            },
        }
        parts = configuration.to_parts(document)
        total = sum(len(part.value) for part in parts)
        content_sizes.append(fitting.Point(count, total / _KIBIBYTE))
        started_at = time.perf_counter()
        configuration.to_core(configuration.read_parts(1, parts))
        check_times.append(
            fitting.Point(count, (time.perf_counter() - started_at) * 1000.0)
        )
        allocated = _allocated_bytes(functools.partial(_adopt, parts))
        memory.append(fitting.Point(count, allocated / _KIBIBYTE))
    return [
        fitting.fit("configuration/bytes", "services", "KiB", content_sizes),
        fitting.fit("configuration/check", "services", "ms", check_times),
        fitting.fit("configuration/memory", "services", "KiB", memory),
    ]


def _adopt(parts: tuple[content.Part, ...]) -> object:
    document = configuration.read_parts(1, parts)
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    cfg = configuration.to_core(document)
    reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
    return document, state


def measure_peers() -> list[fitting.Slope]:
    """Measure traffic, processor time and memory by number of entries.

    Without calls, these are the costs of heartbeats and membership.
    """
    traffic, processor, memory = [], [], []
    for size in _FLEET_SIZES:
        tracemalloc.start()
        simulation = fleet.create_fleet(size, _SEED)
        simulation.run_for(_FLEET_WARMUP_SECONDS)
        allocated, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        memory.append(fitting.Point(size, allocated / size / _KIBIBYTE))
        simulation.bytes_sent.clear()
        started_at = time.process_time()
        simulation.run_for(_FLEET_SECONDS)
        used = time.process_time() - started_at
        share = used / _FLEET_SECONDS / size * 100.0
        processor.append(fitting.Point(size, share))
        sent = sum(simulation.bytes_sent.values()) / _FLEET_SECONDS / size
        traffic.append(fitting.Point(size, sent))
    return [
        fitting.fit("peers/traffic", "entries", "B/s and entry", traffic),
        fitting.fit("peers/processor", "entries", "% of a core", processor),
        fitting.fit("peers/memory", "entries", "KiB and entry", memory),
    ]


def _book(world: bookings_world.World, key: str) -> None:
    world.book(key)


def _create_world(rate: int) -> bookings_world.World:
    world = bookings_world.World(_BOOKING_ENTRIES, _SEED)
    for number in range(int(rate * _BOOKING_SECONDS)):
        world.call_at(number / rate, _book, world, f"key-{number}")
    return world


def _measure_claims_memory(rate: int) -> fitting.Point:
    """Return the memory of the claims of all entries after some bookings."""
    world = _create_world(rate)
    world.run(_BOOKING_SECONDS + _COOLDOWN_SECONDS)
    states = [entry.state.claims for entry in world.entries.values()]
    allocated = _allocated_bytes(functools.partial(copy.deepcopy, states))
    return fitting.Point(rate * _BOOKING_SECONDS, allocated / _KIBIBYTE)


def measure_claims() -> list[fitting.Slope]:
    """Measure store writes, processor time and memory by booking rate."""
    writes, processor, memory = [], [], []
    for rate in _BOOKING_RATES:
        world = _create_world(rate)
        started_at = time.process_time()
        world.run(_BOOKING_SECONDS)
        used = time.process_time() - started_at
        memory.append(_measure_claims_memory(rate))
        writes.append(
            fitting.Point(rate, len(world.write_times) / _BOOKING_SECONDS)
        )
        processor.append(
            fitting.Point(
                rate, used / _BOOKING_SECONDS / _BOOKING_ENTRIES * 100.0
            )
        )
    return [
        fitting.fit("claims/writes", "bookings/s", "writes/s", writes),
        fitting.fit("claims/memory", "bookings", "KiB, all entries", memory),
        fitting.fit(
            "claims/processor", "bookings/s", "% of a core, each", processor
        ),
    ]


def run() -> list[fitting.Slope]:
    """Measure all slopes of the core."""
    return [
        *measure_routing(),
        *measure_configuration(),
        *measure_peers(),
        *measure_claims(),
    ]
