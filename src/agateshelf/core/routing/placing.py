"""Places calls: selects a target locally or requests one from an owner.

The owner of a group is told of every attempt at the group's targets, so it
knows how many requests they hold. An entry on its own sees only its own
attempts: a fourteenth of them in a deployment of 14 entries. While an owner
does not reply in time, entries skip it and select targets by themselves.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.routing import const
from agateshelf.core.routing import groups
from agateshelf.core.routing import messages
from agateshelf.core.routing import models
from agateshelf.core.routing import selection
from agateshelf.core.routing import speed_tracking

Effects = list[effects.Effect]

_OTHER_GROUPS_TRIED = 3


def request_target(
    state: core_state.State, now: float, request: models.PlacementRequest
) -> Effects:
    """Request a target for a call.

    The result arrives as a `TargetChosen` event, at once or later.
    """
    view = state.routing.services.get(request.service)
    if view is None or not view.service.targets:
        _post_result(state, request, None)
        return []
    group = groups.select_group(state, view)
    owner = group.owner
    if owner is None or owner == state.identity.entry:
        place_locally(state, now, group, request)
        return []
    if not _may_request(state, now, owner):
        place_locally(state, now, group, request)
        return [effects.Count("routing.unasked")]
    return _send_request(state, now, group, owner, request)


def _may_request(state: core_state.State, now: float, owner: str) -> bool:
    """Return whether an owner is not suspected and the rate limit allows it."""
    routing = state.routing
    if routing.suspected.get(owner, now) > now:
        return False
    earned = (now - routing.request_tokens_at) * const.MAX_REQUESTS_PER_SECOND
    routing.request_tokens_at = now
    tokens = min(const.MAX_REQUEST_BURST, routing.request_tokens + earned)
    if tokens < 1:
        routing.request_tokens = tokens
        return False
    routing.request_tokens = tokens - 1
    return True


def _send_request(
    state: core_state.State,
    now: float,
    group: models.Group,
    owner: str,
    request: models.PlacementRequest,
) -> Effects:
    number = next_number(state)
    state.routing.pending[number] = models.PendingPlacement(
        request, group, owner, now
    )
    reply_due = now + const.REPLY_TIMEOUT_SECONDS
    timers.schedule(
        state.timers, reply_due, events.TargetRequestOverdue(number)
    )
    message = messages.TargetRequest(
        number=number,
        service=request.service,
        group=group.index,
        tried=tuple(sorted(request.tried)),
        idempotent=request.idempotent,
        hedge=request.hedge,
    )
    return [effects.SendToPeers((owner,), message)]


def next_number(state: core_state.State) -> int:
    """Return a new number for a request or a placement."""
    state.routing.last_number += 1
    return state.routing.last_number


def place_locally(
    state: core_state.State,
    now: float,
    group: models.Group,
    request: models.PlacementRequest,
) -> None:
    """Select a target locally, from other groups if this one has none."""
    domain = state.identity.failure_domain
    view = select_target(state, now, group, request, domain)
    if view is None and not request.hedge:
        group, view = _select_elsewhere(state, now, group, request)
    if view is None:
        _post_result(state, request, None)
        return
    trial = selection.is_trial(state, group, view)
    view.breaker.in_trial = view.breaker.in_trial or trial
    number = next_number(state)
    placement = models.Placement(
        group, view, owner=None, number=number, trial=trial, started_at=now
    )
    record_placement(state, now, number, placement)
    _post_result(state, request, number)


def select_target(
    state: core_state.State,
    now: float,
    group: models.Group,
    request: models.PlacementRequest,
    domain: str,
) -> models.TargetView | None:
    """Return the best target of a group; a hedge needs a free slot."""
    view = selection.select_target(state, now, group, request, domain)
    if view is None or not request.hedge:
        return view
    return view if selection.has_free_slot(group, view) else None


def _select_elsewhere(
    state: core_state.State,
    now: float,
    group: models.Group,
    request: models.PlacementRequest,
) -> tuple[models.Group, models.TargetView | None]:
    service = state.routing.services[request.service]
    domain = state.identity.failure_domain
    for step in range(min(_OTHER_GROUPS_TRIED, service.group_count - 1)):
        index = (group.index + 1 + step) % service.group_count
        other = groups.group_of(state, service, index)
        view = select_target(state, now, other, request, domain)
        if view is not None:
            return other, view
    return group, None


def record_placement(
    state: core_state.State,
    now: float,
    number: int,
    placement: models.Placement,
) -> None:
    """Record a placement and count its attempt at the target."""
    state.routing.placements[number] = placement
    placement.view.in_flight += 1
    placement.view.sent_since += 1
    speed_tracking.on_placed(placement.group, placement.view, now)


def on_response(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.TargetResponse,
) -> Effects:
    """Use the target that the owner granted."""
    pending = state.routing.pending.get(message.number)
    if pending is None or pending.owner != peer:
        return []
    del state.routing.pending[message.number]
    _update_cross_domain_rtt(state, now, pending)
    if message.target is None:
        _place_without_owner(state, now, pending)
        return []
    service = state.routing.services.get(pending.request.service)
    view = None
    if service is not None and message.target in service.targets:
        view = groups.ensure_view(service, message.target)
    if view is None or view.is_draining:
        _place_without_owner(state, now, pending)
        leaving = view is not None and view.draining
        return [unused(message.number, peer, draining=leaving)]
    placement = models.Placement(
        pending.group,
        view,
        owner=peer,
        number=message.number,
        trial=False,
        started_at=now,
    )
    record_placement(state, now, message.number, placement)
    _post_result(state, pending.request, message.number)
    return []


def _place_without_owner(
    state: core_state.State, now: float, pending: models.PendingPlacement
) -> None:
    if pending.request.hedge:
        _post_result(state, pending.request, None)
        return
    place_locally(state, now, pending.group, pending.request)


def _update_cross_domain_rtt(
    state: core_state.State, now: float, pending: models.PendingPlacement
) -> None:
    """Update the round-trip time to other failure domains.

    A shorter time replaces the estimate at once; a longer one raises it slowly.
    """
    routing = state.routing
    domain = routing.entries.get(pending.owner)
    if domain is None or domain == state.identity.failure_domain:
        return
    seconds = now - pending.sent_at
    if seconds < routing.cross_domain_rtt:
        routing.cross_domain_rtt = seconds
        return
    routing.cross_domain_rtt += const.CROSS_DOMAIN_RTT_SMOOTHING * (
        seconds - routing.cross_domain_rtt
    )


def on_overdue(
    state: core_state.State, now: float, event: events.TargetRequestOverdue
) -> Effects:
    """Place a call locally after an owner timed out, and suspect the owner."""
    pending = state.routing.pending.pop(event.number, None)
    if pending is None:
        return []
    state.routing.suspected[pending.owner] = now + const.SUSPICION_SECONDS
    _place_without_owner(state, now, pending)
    return [
        effects.Count("routing.asks_overdue"),
        unused(event.number, pending.owner, draining=False),
    ]


def unused(number: int, owner: str, *, draining: bool) -> effects.SendToPeers:
    """Return the message to an owner that its grant was not used."""
    settled = messages.AttemptSettled(number, models.Ending.NEUTRAL, draining)
    return effects.SendToPeers((owner,), settled)


def _post_result(
    state: core_state.State,
    request: models.PlacementRequest,
    placement: int | None,
) -> None:
    chosen = events.TargetChosen(request.call, placement, request.hedge)
    state.pending_events.append(chosen)
