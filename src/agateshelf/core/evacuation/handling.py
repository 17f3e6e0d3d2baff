"""Adopts evacuations of failure domains, and says whether a target has one.

What the store said at the highest position is in force, whichever way it came.
While the store is silent, the last known set holds.
"""

from collections import abc

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import positions
from agateshelf.core import state as core_state
from agateshelf.core.evacuation import const
from agateshelf.core.evacuation import models

Effects = list[effects.Effect]


def is_evacuated(state: core_state.State, target: str) -> bool:
    """Return whether nothing may be sent to a target for its failure domain."""
    active = state.evacuation.active
    if not active:
        return False
    registration = state.directory.targets.get(target)
    return registration is not None and registration.failure_domain in active


def adopt(
    state: core_state.State,
    now: float,
    known: models.Evacuations,
    source: str,
) -> Effects:
    """Adopt the evacuated failure domains as of a later position.

    Args:
        state: State of the entry.
        now: Current time in seconds.
        known: The evacuated failure domains; ignored if they are older than
            what is known.
        source: Where they came from, for the log.
    """
    evacuation = state.evacuation
    before = evacuation.current
    if known.position <= before.position:
        return []
    domains = tuple(sorted(set(known.failure_domains)))
    evacuation.current = models.Evacuations(known.position, domains)
    for domain in domains:
        evacuation.held.pop(domain, None)
    if positions.era_of(known.position) > positions.era_of(before.position):
        for domain in sorted({*before.failure_domains} - {*domains}):
            evacuation.held[domain] = now + const.RESTORED_HOLD_SECONDS
    return _apply(state, now, source)


def adopt_changes(
    state: core_state.State,
    now: float,
    changes: abc.Iterable[models.Change],
    source: str,
) -> Effects:
    """Adopt the changes since the known position."""
    current = state.evacuation.current
    domains = set(current.failure_domains)
    position = current.position
    for change in sorted(changes, key=lambda change: change.position):
        if change.position <= current.position:
            continue
        position = change.position
        if change.evacuated:
            domains.add(change.failure_domain)
        else:
            domains.discard(change.failure_domain)
    known = models.Evacuations(position, tuple(sorted(domains)))
    return adopt(state, now, known, source)


def adopt_snapshot(
    state: core_state.State,
    now: float,
    known: models.Evacuations,
    source: str,
) -> Effects:
    """Adopt a read of the store only if it differs from what is known.

    Otherwise each of a reader's regular reads would have a later position, and
    all entries would ask for it.
    """
    current = state.evacuation.current
    same_era = positions.era_of(known.position) == positions.era_of(
        current.position
    )
    same = set(known.failure_domains) == set(current.failure_domains)
    if current.position and same_era and same:
        return []
    return adopt(state, now, known, source)


def on_due(state: core_state.State, now: float, source: str) -> Effects:
    """Take back failure domains that a restored store no longer names."""
    held = state.evacuation.held
    due = [domain for domain, until in held.items() if until <= now]
    for domain in due:
        del held[domain]
    return _apply(state, now, source) if due else []


def _apply(state: core_state.State, now: float, source: str) -> Effects:
    evacuation = state.evacuation
    wanted = {*evacuation.current.failure_domains, *evacuation.held}
    added = sorted(wanted - evacuation.since.keys())
    removed = sorted(evacuation.since.keys() - wanted)
    if not added and not removed:
        return []
    emitted: Effects = []
    for domain in added:
        evacuation.since[domain] = now
        emitted.append(_log_evacuated(state, domain, source))
    for domain in removed:
        seconds = round(now - evacuation.since.pop(domain), 3)
        details = (
            ("domain", domain),
            ("seconds", seconds),
            ("position", evacuation.current.position),
            ("source", source),
        )
        emitted.append(effects.LogEvent("domain.returned", details=details))
    evacuation.active = frozenset(evacuation.since)
    emitted.append(effects.SetGauge(const.GAUGE, len(evacuation.active)))
    emitted.extend(_abort_unsent(state, added))
    changed = events.EvacuationsChanged(tuple(added), tuple(removed))
    state.pending_events.append(changed)
    return emitted


def _log_evacuated(
    state: core_state.State, domain: str, source: str
) -> effects.LogEvent:
    targets = sum(
        target.failure_domain == domain
        for target in state.directory.targets.values()
    )
    details = (
        ("domain", domain),
        ("targets", targets),
        ("position", state.evacuation.current.position),
        ("source", source),
    )
    return effects.LogEvent("domain.evacuated", details=details)


def _abort_unsent(state: core_state.State, domains: list[str]) -> Effects:
    """Take back the requests to these domains of which no byte was sent."""
    targets = {attempt.target for attempt in state.forwarding.attempts.values()}
    known = state.directory.targets
    return [
        effects.AbortUnsentAttempts(target)
        for target in sorted(targets)
        if target in known and known[target].failure_domain in domains
    ]
