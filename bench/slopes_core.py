"""Slopes of the real reducer, driven in virtual time."""

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
_FLEET_WARM_SECONDS = 20.0
_FLEET_SECONDS = 10.0
_BOOKING_RATES = (250, 500, 1000, 2000)
_BOOKING_SECONDS = 4.0
_BOOKING_ENTRIES = 14
_DONE_SECONDS = 2.0
_SEED = 11
_KIBIBYTE = 1024.0


def _allocated(build: abc.Callable[[], object]) -> float:
    """Return the bytes that what `build` returns keeps allocated."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def _state_of(service: models.Service) -> core_state.State:
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    cfg = models.Configuration(1, {service.name: service})
    reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
    return state


def routing() -> list[fitting.Slope]:
    """Measure state for each target, and time for each decision."""
    memory = []
    seconds = []
    for count in _TARGET_COUNTS:
        service = decisions.create_service(count)
        size = _allocated(functools.partial(_state_of, service))
        memory.append(fitting.Point(count, size / _KIBIBYTE))
        micros = 1e6 / decisions.decisions_per_second(count)
        seconds.append(fitting.Point(math.log2(count), micros))
    return [
        fitting.fit("routing/memory", "targets", "KiB", memory),
        fitting.fit("routing/decision", "log2(targets)", "us/call", seconds),
    ]


def _service_value(number: int) -> dict[str, object]:
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


def configuration_content() -> list[fitting.Slope]:
    """Measure bytes, checking time and memory for each service."""
    sizes, checks, memory = [], [], []
    for count in _SERVICE_COUNTS:
        document = {
            "version": 1,
            "services": {
                f"service-{n}": _service_value(n) for n in range(count)
            },
        }
        parts = configuration.to_parts(document)
        total = sum(len(part.value) for part in parts)
        sizes.append(fitting.Point(count, total / _KIBIBYTE))
        began = time.perf_counter()
        configuration.to_core(configuration.read_parts(1, parts))
        checks.append(
            fitting.Point(count, (time.perf_counter() - began) * 1000.0)
        )
        kept = _allocated(functools.partial(_adopted, parts))
        memory.append(fitting.Point(count, kept / _KIBIBYTE))
    return [
        fitting.fit("configuration/bytes", "services", "KiB", sizes),
        fitting.fit("configuration/check", "services", "ms", checks),
        fitting.fit("configuration/memory", "services", "KiB", memory),
    ]


def _adopted(parts: tuple[content.Part, ...]) -> object:
    document = configuration.read_parts(1, parts)
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    cfg = configuration.to_core(document)
    reducer.reduce(state, 0.0, events.ConfigurationRead(cfg))
    return document, state


def peers() -> list[fitting.Slope]:
    """Measure heartbeat traffic, its processor time and its memory."""
    traffic, processor, memory = [], [], []
    for size in _FLEET_SIZES:
        tracemalloc.start()
        crew = fleet.create_fleet(size, _SEED)
        crew.run_for(_FLEET_WARM_SECONDS)
        kept, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        memory.append(fitting.Point(size, kept / size / _KIBIBYTE))
        crew.bytes_sent.clear()
        began = time.process_time()
        crew.run_for(_FLEET_SECONDS)
        spent = time.process_time() - began
        share = spent / _FLEET_SECONDS / size * 100.0
        processor.append(fitting.Point(size, share))
        sent = sum(crew.bytes_sent.values()) / _FLEET_SECONDS / size
        traffic.append(fitting.Point(size, sent))
    return [
        fitting.fit("peers/traffic", "entries", "B/s and entry", traffic),
        fitting.fit("peers/processor", "entries", "% of a core", processor),
        fitting.fit("peers/memory", "entries", "KiB and entry", memory),
    ]


def _book(world: bookings_world.World, key: str) -> None:
    world.book(key)


def _world_at(rate: int) -> bookings_world.World:
    world = bookings_world.World(_BOOKING_ENTRIES, _SEED)
    for number in range(int(rate * _BOOKING_SECONDS)):
        world.at(number / rate, _book, world, f"key-{number}")
    return world


def _claims_memory(rate: int) -> fitting.Point:
    """Return what all entries' slices of claims keep for some bookings."""
    world = _world_at(rate)
    world.run(_BOOKING_SECONDS + _DONE_SECONDS)
    states = [entry.state.claims for entry in world.entries.values()]
    kept = _allocated(functools.partial(copy.deepcopy, states))
    return fitting.Point(rate * _BOOKING_SECONDS, kept / _KIBIBYTE)


def claims() -> list[fitting.Slope]:
    """Measure store writes and processor time for bookings a second."""
    writes, processor, memory = [], [], []
    for rate in _BOOKING_RATES:
        world = _world_at(rate)
        began = time.process_time()
        world.run(_BOOKING_SECONDS)
        spent = time.process_time() - began
        memory.append(_claims_memory(rate))
        writes.append(fitting.Point(rate, len(world.writes) / _BOOKING_SECONDS))
        processor.append(
            fitting.Point(
                rate, spent / _BOOKING_SECONDS / _BOOKING_ENTRIES * 100.0
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
    return [*routing(), *configuration_content(), *peers(), *claims()]
