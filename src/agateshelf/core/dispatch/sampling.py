"""Sampling: one entry of a failure domain probes a service's targets there.

Answers load that shifts within milliseconds, at the size where the home could
not ask all targets itself: it would be the busiest entry, and most probes
would cross a border. A desk wants the loads of each failure domain from one
entry in it, its sampler, which probes the targets next to it and tells all
desks that want to know in one message. So the number of probes follows the
targets and not the entries, and what crosses a border is a few bytes a target.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import homes
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models

Effects = list[effects.Effect]


def on_wanted(
    state: core_state.State,
    now: float,
    peer: str,
    wanted: messages.LoadsWanted,
) -> Effects:
    """Begin to sample for a desk, go on with it, or end it."""
    key = (wanted.service, wanted.failure_domain)
    sampler = state.dispatch.samplers.get(key)
    if wanted.seconds <= 0:
        if sampler is not None:
            sampler.wanted.pop(peer, None)
        return []
    if sampler is not None:
        sampler.wanted[peer] = models.Want(now + wanted.seconds, wanted.every)
        return []
    sampler = models.Sampler(*key)
    sampler.wanted[peer] = models.Want(now + wanted.seconds, wanted.every)
    state.dispatch.samplers[key] = sampler
    return on_due(state, now, models.SampleDue(*key))


def on_due(
    state: core_state.State, now: float, event: models.SampleDue
) -> Effects:
    """Probe the targets once more, as long as a desk wants to know."""
    key = (event.service, event.failure_domain)
    sampler = state.dispatch.samplers.get(key)
    if sampler is None:
        return []
    for peer in [p for p, want in sampler.wanted.items() if want.until < now]:
        del sampler.wanted[peer]
    if not sampler.wanted:
        del state.dispatch.samplers[key]
        return [
            effects.CloseProbeConnections(tuple(_targets_of(state, sampler)))
        ]
    every = min(want.every for want in sampler.wanted.values())
    jitter = 1 + const.PROBE_JITTER * state.rng.uniform(-1, 1)
    timers.schedule(state.timers, now + every * jitter, event)
    # Told even if no target answers: it shows that this entry is there.
    _schedule_report(state, now, sampler)
    return _probe(state, sampler)


def _targets_of(state: core_state.State, sampler: models.Sampler) -> list[str]:
    known = state.directory
    return [
        target
        for target in known.services.get(sampler.service, ())
        if known.targets[target].failure_domain == sampler.failure_domain
    ]


def _probe(state: core_state.State, sampler: models.Sampler) -> Effects:
    table = state.routes.table
    path = None if table is None else table.health_paths.get(sampler.service)
    if path is None:
        return []
    done: Effects = []
    for target in _targets_of(state, sampler):
        registration = state.directory.targets[target]
        if target in sampler.probing or registration.draining:
            continue
        sampler.probing.add(target)
        done.append(
            effects.ProbeTarget(
                service=sampler.service,
                target=target,
                address=registration.address,
                path=path,
                timeout=const.PROBE_TIMEOUT_SECONDS,
            )
        )
    return done


def on_probed(
    state: core_state.State, now: float, event: events.TargetProbed
) -> Effects:
    """Keep a target's load, or its silence, for the next report."""
    for sampler in state.dispatch.samplers.values():
        if sampler.service != event.service:
            continue
        if event.target not in sampler.probing:
            continue
        sampler.probing.discard(event.target)
        sampler.loads.append(_load_of(event))
        _schedule_report(state, now, sampler)
    return []


def _load_of(event: events.TargetProbed) -> messages.TargetLoad:
    if event.load is None:
        return messages.TargetLoad(event.target, None, 0.0)
    held = event.load.in_flight + event.load.queued
    slowness = round(event.load.slowness, const.SLOWNESS_DIGITS)
    return messages.TargetLoad(event.target, held, slowness)


def _schedule_report(
    state: core_state.State, now: float, sampler: models.Sampler
) -> None:
    if sampler.reporting:
        return
    sampler.reporting = True
    due = models.ReportDue(sampler.service, sampler.failure_domain)
    timers.schedule(state.timers, now + const.REPORT_SECONDS, due)


def on_report_due(state: core_state.State, event: models.ReportDue) -> Effects:
    """Tell all desks that want to know what was heard since the last time."""
    key = (event.service, event.failure_domain)
    sampler = state.dispatch.samplers.get(key)
    if sampler is None:
        return []
    sampler.reporting = False
    told = messages.LoadsTold(*key, tuple(sampler.loads))
    sampler.loads.clear()
    me = state.identity.entry
    others = tuple(peer for peer in sampler.wanted if peer != me)
    done: Effects = []
    if others:
        done.append(effects.SendToPeers(others, told))
    if me in sampler.wanted:
        done.extend(homes.tell(state, me, told))
    return done


def on_targets_changed(
    state: core_state.State, event: events.TargetsChanged
) -> Effects:
    """Close what was kept open for the probes of targets that are gone."""
    gone = [t for t in event.targets if t not in state.directory.targets]
    for sampler in state.dispatch.samplers.values():
        sampler.probing.difference_update(gone)
    if not gone:
        return []
    return [effects.CloseProbeConnections(tuple(gone))]
