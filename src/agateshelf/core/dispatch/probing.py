"""Probes: fresh knowledge of how fast each target is at this moment.

Answers load that shifts within milliseconds: an answer's own report is old by
the time that the next request comes. One home asks for all entries, so that
the number of probes follows the targets and not the entries.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import homes
from agateshelf.core.dispatch import models

Effects = list[effects.Effect]


def begin(state: core_state.State, now: float, desk: models.Desk) -> Effects:
    """Begin to probe the targets of a desk, unless that is going on."""
    if desk.probing:
        return []
    desk.probing = True
    return on_due(state, now, models.ProbesDue(desk.service))


def on_due(
    state: core_state.State, now: float, event: models.ProbesDue
) -> Effects:
    """Probe the targets of a service and schedule the next round."""
    desk = state.dispatch.desks.get(event.service)
    if desk is None:
        return []
    if _is_idle(state, now, desk):
        desk.probing = False
        return [effects.EndProbes(tuple(desk.targets))]
    seconds = interval(state.dispatch.bounds)
    jitter = 1 + const.PROBE_JITTER * state.rng.uniform(-1, 1)
    timers.schedule(
        state.timers, now + seconds * jitter, models.ProbesDue(desk.service)
    )
    table = state.routes.table
    path = None if table is None else table.health_paths.get(desk.service)
    if path is None:
        return []
    return [
        _probe(desk, target, path)
        for target in desk.targets.values()
        if _needs_probe(target, now, seconds)
    ]


def _needs_probe(
    target: models.TargetState, now: float, seconds: float
) -> bool:
    """Return whether a target has not just told its load with an answer."""
    if target.probing or target.registration.draining:
        return False
    return now - target.heard_at > const.FRESH_SHARE * seconds


def interval(bounds: models.Bounds) -> float:
    """Return the seconds between two probes of a target."""
    allowed = const.PROBE_SHARE * bounds.probes_per_second
    return max(const.PROBE_SECONDS, 1.0 / max(allowed, 0.01))


def _is_idle(state: core_state.State, now: float, desk: models.Desk) -> bool:
    if homes.is_home(state, desk.service):
        return False
    return now - desk.asked_at > const.IDLE_AFTER_SECONDS


def _probe(
    desk: models.Desk, target: models.TargetState, path: str
) -> effects.ProbeTarget:
    target.probing = True
    return effects.ProbeTarget(
        service=desk.service,
        target=target.registration.id,
        address=target.registration.address,
        path=path,
        timeout=const.PROBE_TIMEOUT_SECONDS,
    )
