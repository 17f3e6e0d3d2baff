"""Sampling: one entry per failure domain probes a service's targets there.

The load of targets shifts within milliseconds, so owners need frequent reports.
In a large deployment the owner can't probe all targets itself: it is already
the busiest entry, and most of its probes would cross failure domains. Instead
each dispatcher subscribes to one entry per failure domain, its sampler, which
probes the targets in its own domain and reports their loads to all subscribers
in one message. The number of probes thus grows with the targets and not with
the entries, and a few bytes per target cross between failure domains. Sampling
means this whole activity; a probe is a single health check of a target.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import messages
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools
from agateshelf.core.reach import detection
from agateshelf.core.target_notices import gate
from agateshelf.core.target_notices import records as notice_records
from agateshelf.core.target_notices import warmup_sources

Effects = list[effects.Effect]


def on_subscription(
    state: core_state.State,
    now: float,
    peer: str,
    subscription: messages.LoadSubscription,
) -> Effects:
    """Start, renew or cancel a dispatcher's subscription."""
    key = (subscription.service, subscription.failure_domain)
    sampler = state.dispatch.samplers.get(key)
    if subscription.duration <= 0:
        if sampler is not None:
            sampler.subscriptions.pop(peer, None)
        return []
    if sampler is not None:
        if peer not in sampler.subscriptions:
            # A new owner is told of cold targets with the next report.
            sampler.told_cold.clear()
        sampler.subscriptions[peer] = _subscription_of(subscription, now)
        return []
    sampler = models.Sampler(*key)
    sampler.subscriptions[peer] = _subscription_of(subscription, now)
    state.dispatch.samplers[key] = sampler
    return on_due(state, now, models.ProbesDue(*key))


def _subscription_of(
    subscription: messages.LoadSubscription, now: float
) -> models.Subscription:
    return models.Subscription(
        now + subscription.duration,
        subscription.interval,
        frozenset(subscription.skipped),
    )


def on_due(
    state: core_state.State, now: float, event: models.ProbesDue
) -> Effects:
    """Probe the targets again while there are subscribers (timer)."""
    key = (event.service, event.failure_domain)
    sampler = state.dispatch.samplers.get(key)
    if sampler is None:
        return []
    for peer in [
        p
        for p, subscription in sampler.subscriptions.items()
        if subscription.expires_at < now
    ]:
        del sampler.subscriptions[peer]
    if not sampler.subscriptions:
        del state.dispatch.samplers[key]
        return [
            effects.CloseProbeConnections(tuple(_targets_of(state, sampler)))
        ]
    interval = min(
        subscription.interval for subscription in sampler.subscriptions.values()
    )
    jitter = 1 + const.PROBE_JITTER * state.rng.uniform(-1, 1)
    timers.schedule(state.timers, now + interval * jitter, event)
    # Sent even if no target responds: it shows that this sampler is alive.
    _schedule_report(state, now, sampler)
    return _probe(state, now, sampler)


def _targets_of(state: core_state.State, sampler: models.Sampler) -> list[str]:
    targets = state.directory.targets
    return [
        target
        for target in pools.targets_in(state, sampler.pool)
        if targets[target].failure_domain == sampler.failure_domain
    ]


def _probe(
    state: core_state.State, now: float, sampler: models.Sampler
) -> Effects:
    table = state.routes.table
    service = pools.service_of(sampler.pool)
    path = None if table is None else table.health_paths.get(service)
    if path is None:
        return []
    skipped = set(sampler.probing).union(
        *(one.skipped for one in sampler.subscriptions.values())
    )
    emitted: Effects = []
    for target in _targets_of(state, sampler):
        registration = state.directory.targets[target]
        if target in skipped or registration.draining:
            continue
        if not gate.may_probe(state, now, target):
            continue
        sampler.probing.add(target)
        emitted.append(
            effects.ProbeTarget(
                service=sampler.pool,
                target=target,
                address=registration.address,
                path=path,
                timeout=const.PROBE_TIMEOUT_SECONDS,
            )
        )
    return emitted


def on_probed(
    state: core_state.State, now: float, event: events.TargetProbed
) -> Effects:
    """Store a target's load, or a missing response, for the next report."""
    emitted = notice_records.on_probe(
        state, now, event.target, leaving=event.leaving
    )
    emitted.extend(warmup_sources.on_probe(state, now, event))
    for sampler in state.dispatch.samplers.values():
        if sampler.pool != event.service:
            continue
        if event.target not in sampler.probing:
            continue
        sampler.probing.discard(event.target)
        if _is_cut(state, sampler):
            continue
        sampler.loads.append(_load_of(event))
        notice = warmup_sources.take_due(state, now, sampler.told_cold, event)
        if event.leaving:
            notice = notice_records.statement_of(state, now, event.target)
        if notice is not None:
            sampler.notices.append(notice)
        _schedule_report(state, now, sampler)
    return emitted


def _is_cut(state: core_state.State, sampler: models.Sampler) -> bool:
    """Return whether this entry's own links are why targets don't answer."""
    return detection.is_cut(state, pools.service_of(sampler.pool))


def _load_of(event: events.TargetProbed) -> messages.TargetLoad:
    if event.load is None:
        return messages.TargetLoad(event.target, None, 0.0)
    outstanding = event.load.in_flight + event.load.queued
    slowness = round(event.load.slowness, const.SLOWNESS_DIGITS)
    return messages.TargetLoad(event.target, outstanding, slowness)


def _schedule_report(
    state: core_state.State, now: float, sampler: models.Sampler
) -> None:
    if sampler.report_scheduled:
        return
    sampler.report_scheduled = True
    due = models.LoadReportDue(sampler.pool, sampler.failure_domain)
    timers.schedule(state.timers, now + const.REPORT_DELAY_SECONDS, due)


def on_report_due(
    state: core_state.State, event: models.LoadReportDue
) -> Effects:
    """Send the loads received since the last report to all subscribers."""
    key = (event.service, event.failure_domain)
    sampler = state.dispatch.samplers.get(key)
    if sampler is None:
        return []
    sampler.report_scheduled = False
    if _is_cut(state, sampler):
        # Without a report owners replace this sampler.
        sampler.loads.clear()
        return []
    report = messages.LoadReport(
        *key, tuple(sampler.loads), tuple(sampler.notices)
    )
    sampler.loads.clear()
    sampler.notices.clear()
    own_entry = state.identity.entry
    others = tuple(peer for peer in sampler.subscriptions if peer != own_entry)
    emitted: Effects = []
    if others:
        emitted.append(effects.SendToPeers(others, report))
    if own_entry in sampler.subscriptions:
        emitted.extend(owners.send(state, own_entry, report))
    return emitted


def on_targets_changed(
    state: core_state.State, event: events.TargetsChanged
) -> Effects:
    """Close the probe connections of targets that are gone."""
    gone = [t for t in event.targets if t not in state.directory.targets]
    for sampler in state.dispatch.samplers.values():
        sampler.probing.difference_update(gone)
        for target in event.targets:
            # Owners forget what they were told of an earlier process.
            sampler.told_cold.pop(target, None)
    if not gone:
        return []
    return [effects.CloseProbeConnections(tuple(gone))]
