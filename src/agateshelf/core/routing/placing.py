"""Places calls: selects a target locally or requests one from an owner.

The owner of a group is told of every attempt at the group's targets, so it
knows how many requests they hold. Any other entry sees only its own attempts,
about 1/N of all among N entries (one in 14 in a deployment of 14). Entries skip
an owner that does not reply in time, and select targets by themselves.
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


def request_placement(
    state: core_state.State, now: float, request: models.PlacementRequest
) -> Effects:
    """Request a target for a call from the owner of a group, or select one.

    The result arrives as a `TargetChosen` event, at once or later.
    """
    service_view = state.routing.services.get(request.service)
    if service_view is None or not service_view.service.targets:
        _post_result(state, request, None)
        return []
    group = groups.select_group(state, service_view)
    owner = group.owner
    if owner is None or owner == state.identity.entry:
        place_locally(state, now, group, request)
        return []
    if not _take_request_token(state, now, owner):
        place_locally(state, now, group, request)
        return [effects.Count("routing.unasked")]
    return _send_request(state, now, group, owner, request)


def _take_request_token(
    state: core_state.State, now: float, owner: str
) -> bool:
    """Take a token of the rate limit on requests to owners.

    Returns False if there is none, or if the owner is suspected.
    """
    routing = state.routing
    if routing.suspected_until.get(owner, now) > now:
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
    failure_domain = state.identity.failure_domain
    view = select_available_target(state, now, group, request, failure_domain)
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


def select_available_target(
    state: core_state.State,
    now: float,
    group: models.Group,
    request: models.PlacementRequest,
    failure_domain: str,
) -> models.TargetView | None:
    """Return the best target of a group, or None.

    For a hedge, that target must have a free slot.
    """
    view = selection.select_target(state, now, group, request, failure_domain)
    if view is None or not request.hedge:
        return view
    return view if selection.has_free_slot(group, view) else None


def _select_elsewhere(
    state: core_state.State,
    now: float,
    group: models.Group,
    request: models.PlacementRequest,
) -> tuple[models.Group, models.TargetView | None]:
    service_view = state.routing.services[request.service]
    failure_domain = state.identity.failure_domain
    for step in range(min(_OTHER_GROUPS_TRIED, service_view.group_count - 1)):
        index = (group.index + 1 + step) % service_view.group_count
        other = groups.group_of(state, service_view, index)
        view = select_available_target(
            state, now, other, request, failure_domain
        )
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
    service_view = state.routing.services.get(pending.request.service)
    view = None
    if service_view is not None and message.target in service_view.targets:
        view = groups.ensure_target_view(service_view, message.target)
    if view is None or view.is_draining:
        _place_without_owner(state, now, pending)
        leaving = view is not None and view.draining
        return [unused_grant_report(message.number, peer, draining=leaving)]
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
    failure_domain = routing.failure_domains.get(pending.owner)
    if (
        failure_domain is None
        or failure_domain == state.identity.failure_domain
    ):
        return
    rtt = now - pending.sent_at
    if rtt < routing.cross_domain_rtt:
        routing.cross_domain_rtt = rtt
        return
    routing.cross_domain_rtt += const.CROSS_DOMAIN_RTT_SMOOTHING * (
        rtt - routing.cross_domain_rtt
    )


def on_overdue(
    state: core_state.State, now: float, event: events.TargetRequestOverdue
) -> Effects:
    """Place a call locally after an owner timed out, and suspect the owner."""
    pending = state.routing.pending.pop(event.number, None)
    if pending is None:
        return []
    state.routing.suspected_until[pending.owner] = now + const.SUSPICION_SECONDS
    _place_without_owner(state, now, pending)
    return [
        effects.Count("routing.asks_overdue"),
        unused_grant_report(event.number, pending.owner, draining=False),
    ]


def unused_grant_report(
    number: int, owner: str, *, draining: bool
) -> effects.SendToPeers:
    """Return the message to an owner that its grant was not used."""
    ended = messages.AttemptEnded(number, models.Ending.NEUTRAL, draining)
    return effects.SendToPeers((owner,), ended)


def _post_result(
    state: core_state.State,
    request: models.PlacementRequest,
    placement: int | None,
) -> None:
    chosen = events.TargetChosen(request.call, placement, request.hedge)
    state.pending_events.append(chosen)
