"""Grants targets to other entries, and records how attempts ended.

The owner of a group counts the attempts of all entries at its targets, so every
grant is held until its end is reported or it expires. The handlers of messages,
of this entry's own attempts and of announced target states run at every entry.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routing import breakers
from agateshelf.core.routing import const
from agateshelf.core.routing import groups
from agateshelf.core.routing import messages
from agateshelf.core.routing import models
from agateshelf.core.routing import placing
from agateshelf.core.routing import selection
from agateshelf.core.routing import speed_tracking

Effects = list[effects.Effect]

_NO_CALL = 0


def on_request(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.TargetRequest,
) -> Effects:
    """Grant a target to another entry and count its attempt."""
    service_view = state.routing.services.get(message.service)
    if (
        service_view is None
        or not 0 <= message.group < service_view.group_count
    ):
        return [_response(peer, message.number, None)]
    group = groups.group_of(state, service_view, message.group)
    _expire_grants(state, now)
    request = models.PlacementRequest(
        call=_NO_CALL,
        service=message.service,
        tried=frozenset(message.tried),
        idempotent=message.idempotent,
        hedge=message.hedge,
    )
    failure_domain = state.routing.failure_domains.get(
        peer, state.identity.failure_domain
    )
    view = placing.select_available_target(
        state, now, group, request, failure_domain
    )
    if view is None:
        return [_response(peer, message.number, None)]
    _grant(state, now, (peer, message.number), group, view)
    return [_response(peer, message.number, view.target.id)]


def _response(
    peer: str, number: int, target: str | None
) -> effects.SendToPeers:
    return effects.SendToPeers((peer,), messages.TargetResponse(number, target))


def _grant(
    state: core_state.State,
    now: float,
    key: tuple[str, int],
    group: models.Group,
    view: models.TargetView,
) -> None:
    trial = selection.is_trial(state, group, view)
    view.breaker.in_trial = view.breaker.in_trial or trial
    speed_tracking.on_placed(group, view, now)
    expires_at = (
        now + group.service.attempt_timeout + const.GRANT_MARGIN_SECONDS
    )
    state.routing.grants[key] = models.Grant(group, view, expires_at, trial)


def _expire_grants(state: core_state.State, now: float) -> None:
    """Drop grants whose end was never reported.

    They are checked in the order in which they were granted; an expired grant
    may wait behind one with a longer timeout.
    """
    grants = state.routing.grants
    while grants:
        key, grant = next(iter(grants.items()))
        if grant.expires_at > now:
            return
        del grants[key]
        _drop_grant(grant, now)


def _drop_grant(grant: models.Grant, now: float) -> None:
    speed_tracking.on_ended(grant.group, grant.view, now, models.Ending.NEUTRAL)
    if grant.trial:
        grant.view.breaker.in_trial = False


def forget_entries(state: core_state.State, now: float) -> None:
    """Drop the grants of entries that are no longer live."""
    routing = state.routing
    gone = [
        key for key in routing.grants if key[0] not in routing.failure_domains
    ]
    for key in gone:
        _drop_grant(routing.grants.pop(key), now)


def on_attempt_ended(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.AttemptEnded,
) -> Effects:
    """Record the end of an attempt at a target that this entry granted."""
    grant = state.routing.grants.pop((peer, message.number), None)
    if grant is None:
        return []
    ending = models.Ending(message.ending)
    speed_tracking.on_ended(grant.group, grant.view, now, ending)
    return record_ending(
        state,
        now,
        grant.group,
        grant.view,
        ending,
        trial=grant.trial,
        draining=message.draining,
    )


def on_placement_ended(
    state: core_state.State, now: float, event: events.PlacementEnded
) -> Effects:
    """Record the end of this entry's own attempt and report it to the owner."""
    placement = state.routing.placements.pop(event.placement, None)
    if placement is None:
        return []
    view = placement.view
    view.in_flight = max(0, view.in_flight - 1)
    speed_tracking.on_ended(placement.group, view, now, event.ending)
    emitted = record_ending(
        state,
        now,
        placement.group,
        view,
        event.ending,
        trial=placement.trial,
        draining=event.draining,
        announce=placement.owner is None,
    )
    if placement.owner is not None:
        report = messages.AttemptEnded(
            placement.number, event.ending, event.draining
        )
        emitted.append(effects.SendToPeers((placement.owner,), report))
    return emitted


def record_ending(
    state: core_state.State,
    now: float,
    group: models.Group,
    view: models.TargetView,
    ending: models.Ending,
    *,
    trial: bool,
    draining: bool,
    announce: bool = True,
) -> Effects:
    """Record how an attempt ended; announce a changed target state."""
    changed = breakers.record_ending(view, now, ending, state.rng, trial=trial)
    if draining and not view.draining:
        view.draining = True
        changed = True
    service_view = state.routing.services.get(group.service.name)
    if changed and service_view is not None:
        breakers.update_unavailable(service_view, view)
    if not changed or not announce:
        return []
    own_entry = state.identity.entry
    others = tuple(
        entry for entry in state.routing.failure_domains if entry != own_entry
    )
    if not others:
        return []
    open_until = view.breaker.open_until
    update = messages.TargetStateUpdate(
        service=group.service.name,
        target=view.target.id,
        draining=view.draining,
        open_seconds=0.0 if open_until is None else open_until - now,
    )
    return [effects.SendToPeers(others, update)]


def on_state_update(
    state: core_state.State, now: float, message: messages.TargetStateUpdate
) -> Effects:
    """Apply the state of a target that another entry announces."""
    service_view = state.routing.services.get(message.service)
    if service_view is None or message.target not in service_view.targets:
        return []
    view = groups.ensure_target_view(service_view, message.target)
    view.draining = view.draining or message.draining
    breakers.apply_peer_state(view, now, message.open_seconds)
    breakers.update_unavailable(service_view, view)
    return []


def on_message(
    state: core_state.State,
    now: float,
    peer: str,
    message: peer_models.PeerMessage,
) -> list[effects.Effect] | None:
    """Handle a message about targets; return None for any other message."""
    match message:
        case messages.TargetRequest():
            return on_request(state, now, peer, message)
        case messages.TargetResponse():
            return placing.on_response(state, now, peer, message)
        case messages.AttemptEnded():
            return on_attempt_ended(state, now, peer, message)
        case messages.TargetStateUpdate():
            return on_state_update(state, now, message)
        case _:
            return None
