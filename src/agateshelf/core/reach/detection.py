"""Detects that this entry is cut off from the targets of a service.

Answers the load of entries that lose their links to the targets while callers,
store and other entries stay. To one entry a target that is down and a lost link
look alike. So whenever a target can't be reached, or requests stay without any
answer, some others of its service are probed over new connections. If none of
them answers, the entry takes itself for cut off, has its requests relayed, and
tries the way back. It judges each service by itself, as a cut may concern only
some of them.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.evacuation import handling as evacuation
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.membership import view
from agateshelf.core.reach import const
from agateshelf.core.reach import messages
from agateshelf.core.reach import models
from agateshelf.core.target_notices import gate

Effects = list[effects.Effect]


def is_cut(state: core_state.State, service: str) -> bool:
    """Return whether this entry is cut off from the targets of a service."""
    reach = state.reach.services.get(service)
    return reach is not None and reach.cut_since is not None


def _reach_of(state: core_state.State, service: str) -> models.ServiceReach:
    return state.reach.services.setdefault(service, models.ServiceReach())


def on_answered(
    state: core_state.State,
    now: float,
    service: str,
    attempt: forwarding_models.Attempt,
) -> Effects:
    """Record that a target answered a request that this entry sent itself.

    One that was sent after the cut began shows that the probes were wrong.
    """
    reach = _reach_of(state, service)
    reach.answered_at = now
    reach.down.discard(attempt.target)
    if reach.cut_since is None:
        _acquit(state, service)
        return []
    if attempt.started < reach.cut_since:
        return []
    return _regain(state, now, service)


def tries_directly(state: core_state.State, service: str) -> bool:
    """Return whether a request is under way that may show a cut to be over."""
    since = _reach_of(state, service).cut_since or 0.0
    return any(
        attempt.started >= since
        and not attempt.relay
        and state.forwarding.calls[attempt.call].service == service
        for attempt in state.forwarding.attempts.values()
    )


def _acquit(state: core_state.State, service: str) -> None:
    """Hold the targets that were not reached for down, as another one was."""
    reach = _reach_of(state, service)
    reach.probing.clear()
    if not reach.unreached:
        return
    known = state.directory.services.get(service, {})
    reach.down = (reach.down | reach.unreached).intersection(known)
    reach.unreached.clear()
    state.pending_events.append(events.ReachJudged(service, is_cut=False))


def is_in_doubt(state: core_state.State, service: str, target: str) -> bool:
    """Return whether it isn't known yet why a target was not reached."""
    reach = state.reach.services.get(service)
    return reach is not None and target in reach.unreached


def on_unreached(
    state: core_state.State, now: float, service: str, target: str
) -> Effects:
    """Record that a target was not reached, and probe others of its service."""
    reach = _reach_of(state, service)
    if reach.cut_since is not None or target in reach.down:
        return []
    if evacuation.is_evacuated(state, target):
        return []
    reach.unreached.add(target)
    return _probe_others(state, now, service)


def _probe_others(state: core_state.State, now: float, service: str) -> Effects:
    reach = _reach_of(state, service)
    if reach.cut_since is not None:
        return []
    # Longer than a probe takes, one of which may never end: its target may go.
    if now - reach.probed_at < const.PROBE_PAUSE_SECONDS:
        watch_silence(state, now, service)
        return []
    others = _targets_of(state, now, service) - reach.unreached
    if not others:
        return _lose(state, now, service)
    return _probe(state, now, service, others)


def _targets_of(state: core_state.State, now: float, service: str) -> set[str]:
    return {
        target
        for target in state.directory.services.get(service, ())
        if not state.directory.targets[target].draining
        and gate.may_probe(state, now, target)
    }


def _probe(
    state: core_state.State, now: float, service: str, targets: set[str]
) -> Effects:
    table = state.routes.table
    path = None if table is None else table.health_paths.get(service)
    if path is None:
        return []
    reach = _reach_of(state, service)
    count = min(const.PROBED_TARGETS, len(targets))
    reach.probing = set(state.rng.sample(sorted(targets), count))
    reach.probed_at = now
    return [
        effects.ProbeTarget(
            service="",
            target=target,
            address=state.directory.targets[target].address,
            path=path,
            timeout=const.PROBE_TIMEOUT_SECONDS,
            fresh=True,
        )
        for target in sorted(reach.probing)
    ]


def on_probed(
    state: core_state.State, now: float, event: events.TargetProbed
) -> Effects:
    """Record the result of a probe, of a sampler as well."""
    registration = state.directory.targets.get(event.target)
    if registration is None:
        return []
    service = registration.service
    reach = _reach_of(state, service)
    is_own = not event.service
    is_reached = event.reached or event.load is not None
    if is_reached:
        reach.down.discard(event.target)
    if is_own and event.target in reach.probing:
        reach.probing.discard(event.target)
        if reach.cut_since is not None:
            return _on_way_tried(
                state, now, service, event.target, is_reached=is_reached
            )
        return _on_other_probed(
            state, now, service, event.target, is_reached=is_reached
        )
    if is_reached or is_own:
        return []
    return on_unreached(state, now, service, event.target)


def _on_other_probed(
    state: core_state.State,
    now: float,
    service: str,
    target: str,
    *,
    is_reached: bool,
) -> Effects:
    reach = _reach_of(state, service)
    if is_reached or reach.answered_at > reach.probed_at:
        _acquit(state, service)
        return []
    reach.unreached.add(target)
    if reach.probing:
        return []
    return _lose(state, now, service)


def _lose(state: core_state.State, now: float, service: str) -> Effects:
    reach = _reach_of(state, service)
    reach.cut_since = now
    reach.probing.clear()
    reach.regained.clear()
    timers.schedule(
        state.timers, now + const.RECHECK_SECONDS, models.RecheckDue(service)
    )
    state.pending_events.append(events.ReachJudged(service, is_cut=True))
    emitted = [
        effects.LogEvent(
            "reach.lost",
            details=(
                ("service", service),
                ("unreached", len(reach.unreached)),
                ("targets", len(state.directory.services.get(service, ()))),
            ),
        ),
        *_announce(state),
    ]
    table = state.routes.table
    for other in sorted(table.health_paths) if table is not None else ():
        emitted.extend(_probe_others(state, now, other))
    return emitted


def on_recheck_due(
    state: core_state.State, now: float, event: models.RecheckDue
) -> Effects:
    """Try the way back to a service's targets (timer)."""
    reach = _reach_of(state, event.service)
    if reach.cut_since is None:
        return []
    timers.schedule(state.timers, now + const.RECHECK_SECONDS, event)
    reach.regained.clear()
    targets = _targets_of(state, now, event.service)
    return _probe(state, now, event.service, targets)


def _on_way_tried(
    state: core_state.State,
    now: float,
    service: str,
    target: str,
    *,
    is_reached: bool,
) -> Effects:
    reach = _reach_of(state, service)
    if not is_reached:
        return []
    reach.regained.add(target)
    known = len(_targets_of(state, now, service))
    if len(reach.regained) < min(const.TARGETS_TO_REGAIN, known):
        return []
    return _regain(state, now, service)


def _regain(state: core_state.State, now: float, service: str) -> Effects:
    reach = _reach_of(state, service)
    since = reach.cut_since or now
    reach.cut_since = None
    reach.unreached.clear()
    reach.probing.clear()
    details = (("service", service), ("seconds", round(now - since, 3)))
    return [
        effects.LogEvent("reach.regained", details=details),
        *_announce(state),
    ]


def _announce(state: core_state.State) -> Effects:
    """Tell all other entries, so that they choose other relays."""
    cut = tuple(
        sorted(
            service
            for service, reach in state.reach.services.items()
            if reach.cut_since is not None
        )
    )
    peers = tuple(
        entry
        for entry in view.live_entries(state)
        if entry != state.identity.entry
    )
    if not peers:
        return []
    return [effects.SendToPeers(peers, messages.ReachReport(cut))]


def watch_silence(state: core_state.State, now: float, service: str) -> None:
    """Watch the requests of a service for answers, while there are any."""
    reach = _reach_of(state, service)
    if reach.is_watched:
        return
    reach.is_watched = True
    due = models.SilenceDue(service)
    timers.schedule(state.timers, now + const.MIN_SILENCE_SECONDS, due)


def on_silence_due(
    state: core_state.State, now: float, event: models.SilenceDue
) -> Effects:
    """Probe targets if requests stay without any answer (timer)."""
    reach = _reach_of(state, event.service)
    goes_on = bool(reach.unreached) and reach.cut_since is None
    emitted: Effects = []
    if reach.unreached:
        emitted.extend(_probe_others(state, now, event.service))
    for attempt in state.forwarding.attempts.values():
        call = state.forwarding.calls[attempt.call]
        if attempt.relay or call.service != event.service:
            continue
        if evacuation.is_evacuated(state, attempt.target):
            continue
        goes_on = True
        allowed = max(const.MIN_SILENCE_SECONDS, call.route.target_latency)
        is_silent = now - attempt.started >= allowed
        if is_silent and reach.answered_at < attempt.started:
            reach.unreached.add(attempt.target)
            emitted.extend(_probe_others(state, now, event.service))
    reach.is_watched = goes_on
    if goes_on:
        at = now + const.SILENCE_CHECK_SECONDS
        timers.schedule(state.timers, at, event)
    return emitted
