"""Divides the targets of a large service into pools with an owner each.

Answers the load of a service that one owner can't place: an owner is one
process on one core, and one that falls behind is taken for silent by all
entries at once, which then dispatch without knowledge of any load. A pool is
named after its service and its place among the pools, so that entries which
disagree on the number of targets for a moment mean different pools. A small
service has one pool, of its own name.

Messages, events and timers of dispatch carry the name of a pool in their field
`service`, which earlier versions know by that name.
"""

import functools

import xxhash

from agateshelf.core import state as core_state
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const

_SEPARATOR = "#"
# Names of pools and targets whose parts and digests are kept.
_MAX_NAMES = 16384


def count_of(state: core_state.State, service: str) -> int:
    """Return the number of pools of a service, a power of two."""
    targets = len(state.directory.services.get(service, ()))
    count = 1
    while targets > count * const.MAX_POOL_TARGETS:
        count *= 2
    return count


def names_of(state: core_state.State, service: str) -> list[str]:
    """Return the names of a service's pools."""
    count = count_of(state, service)
    return [_name_of(service, index, count) for index in range(count)]


def _name_of(service: str, index: int, count: int) -> str:
    if count == 1:
        return service
    return f"{service}{_SEPARATOR}{index}/{count}"


@functools.lru_cache(_MAX_NAMES)
def parse(pool: str) -> tuple[str, int, int]:
    """Return the service of a pool, its index and the number of pools."""
    service, separator, place = pool.rpartition(_SEPARATOR)
    index, _, count = place.partition("/")
    if separator and index.isdecimal() and count.isdecimal() and int(count):
        return service, int(index), int(count)
    return pool, 0, 1


def service_of(pool: str) -> str:
    """Return the service of a pool."""
    return parse(pool)[0]


def contains(pool: str, registration: directory_models.Registration) -> bool:
    """Return whether a target belongs to a pool."""
    service, index, count = parse(pool)
    if registration.service != service:
        return False
    return count == 1 or _index_of(registration.id, count) == index


def _index_of(target: str, count: int) -> int:
    return _digest_of(target) % count


@functools.lru_cache(_MAX_NAMES)
def _digest_of(target: str) -> int:
    return xxhash.xxh64_intdigest(target.encode())


def pool_of(
    state: core_state.State, registration: directory_models.Registration
) -> str:
    """Return the pool to which a target belongs now."""
    count = count_of(state, registration.service)
    index = 0 if count == 1 else _index_of(registration.id, count)
    return _name_of(registration.service, index, count)


def is_current(state: core_state.State, pool: str) -> bool:
    """Return whether a service is divided in this way now."""
    service, _, count = parse(pool)
    return count == count_of(state, service)


def targets_in(state: core_state.State, pool: str) -> tuple[str, ...]:
    """Return the targets of a pool.

    Answers the load of samplers, which look at their pools ten times a second:
    dividing a service of 1,000 targets anew each time took half of the
    processor time at rest.
    """
    service, index, count = parse(pool)
    known = state.dispatch.members.get((service, count))
    if known is None or known[0] != state.directory.digest:
        known = state.directory.digest, _divide(state, service, count)
        state.dispatch.members[service, count] = known
    return known[1].get(index, ())


def _divide(
    state: core_state.State, service: str, count: int
) -> dict[int, tuple[str, ...]]:
    """Divide the targets of a service among so many pools, by index."""
    found: dict[int, list[str]] = {}
    for target in state.directory.services.get(service, ()):
        index = 0 if count == 1 else _index_of(target, count)
        found.setdefault(index, []).append(target)
    return {index: tuple(targets) for index, targets in found.items()}


def choose(state: core_state.State, service: str) -> str:
    """Return the pool that a request goes to, at random.

    Pools have about the same number of targets.
    """
    count = count_of(state, service)
    if count == 1:
        return service
    return _name_of(service, state.rng.randrange(count), count)
