"""Tracks to which targets this entry has idle connections, for its owners.

An owner chooses the target, but only the entry knows its connections. It names
some of them with each request for a target, which takes no further message. The
daemon reports them with each answer, and those that it closed since.
"""

from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import pools


def on_answer(
    state: core_state.State, now: float, target: str, idle: int
) -> None:
    """Note the idle connections to a target that has just answered."""
    known = state.dispatch.idle_connections
    known.pop(target, None)
    registration = state.directory.targets.get(target)
    if idle <= 0 or registration is None:
        return
    # The most recently used is last.
    known[target] = models.IdleConnections(registration.address, idle, now)
    if len(known) > const.MAX_IDLE_CONNECTIONS:
        del known[next(iter(known))]


def take(
    state: core_state.State,
    now: float,
    registration: directory_models.Registration,
    *,
    fresh: bool,
) -> None:
    """Note that a request takes an idle connection to a target, if any."""
    known = state.dispatch.idle_connections
    idle = known.get(registration.id)
    if idle is None or (fresh and not _is_fresh(idle, now)):
        return
    idle.count -= 1
    if idle.count <= 0:
        del known[registration.id]


def on_closed(
    state: core_state.State, event: events.IdleConnectionsClosed
) -> None:
    """Forget the targets to which no idle connection is left."""
    known = state.dispatch.idle_connections
    closed = set(event.addresses)
    for target in [t for t, idle in known.items() if idle.address in closed]:
        del known[target]


def connected_targets(
    state: core_state.State, now: float, pool: str, *, fresh: bool
) -> tuple[str, ...]:
    """Return targets of a pool to which a request would find a connection.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        pool: Name of the pool.
        fresh: Whether the request needs a fresh connection.

    Returns:
        At most `const.MAX_CONNECTED` targets, the most recently used first.
    """
    found: list[str] = []
    known = state.dispatch.idle_connections
    for target, idle in reversed(known.items()):
        if fresh and not _is_fresh(idle, now):
            break
        registration = state.directory.targets.get(target)
        if registration is None or registration.address != idle.address:
            continue
        if pools.contains(pool, registration):
            found.append(target)
            if len(found) >= const.MAX_CONNECTED:
                break
    return tuple(found)


def _is_fresh(idle: models.IdleConnections, now: float) -> bool:
    return now - idle.answered_at <= const.FRESH_CONNECTION_SECONDS
