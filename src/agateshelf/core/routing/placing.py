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


def request(
    state: core_state.State, now: float, wish: models.PlacementRequest
) -> Effects:
    """Request a target for a call.

    The result arrives as a `TargetChosen` event, at once or later.
    """
    view = state.routing.services.get(wish.service)
    if view is None or not view.service.targets:
        _post(state, wish, None)
        return []
    group = groups.select_group(state, view)
    home = group.owner
    if home is None or home == state.identity.entry:
        place_locally(state, now, group, wish)
        return []
    if not _may_ask(state, now, home):
        place_locally(state, now, group, wish)
        return [effects.Count("routing.unasked")]
    return _ask(state, now, group, home, wish)


def _may_ask(state: core_state.State, now: float, home: str) -> bool:
    """Return whether an owner is not suspected and the rate limit allows it."""
    routing = state.routing
    if routing.suspected.get(home, now) > now:
        return False
    earned = (now - routing.request_tokens_at) * const.MAX_REQUESTS_PER_SECOND
    routing.request_tokens_at = now
    tokens = min(const.MAX_REQUEST_BURST, routing.request_tokens + earned)
    if tokens < 1:
        routing.request_tokens = tokens
        return False
    routing.request_tokens = tokens - 1
    return True


def _ask(
    state: core_state.State,
    now: float,
    group: models.Group,
    home: str,
    wish: models.PlacementRequest,
) -> Effects:
    number = next_number(state)
    state.routing.pending[number] = models.PendingPlacement(
        wish, group, home, now
    )
    overdue = now + const.REPLY_TIMEOUT_SECONDS
    timers.schedule(state.timers, overdue, events.TargetRequestOverdue(number))
    message = messages.TargetRequest(
        number=number,
        service=wish.service,
        group=group.index,
        tried=tuple(sorted(wish.tried)),
        idempotent=wish.idempotent,
        hedge=wish.hedge,
    )
    return [effects.SendToPeers((home,), message)]


def next_number(state: core_state.State) -> int:
    """Return a new number for a request or a placement."""
    state.routing.last_number += 1
    return state.routing.last_number


def place_locally(
    state: core_state.State,
    now: float,
    group: models.Group,
    wish: models.PlacementRequest,
) -> None:
    """Select a target locally, from other groups if this one has none."""
    domain = state.identity.failure_domain
    view = select_target(state, now, group, wish, domain)
    if view is None and not wish.hedge:
        group, view = _pick_elsewhere(state, now, group, wish)
    if view is None:
        _post(state, wish, None)
        return
    trial = selection.is_trial(state, group, view)
    view.breaker.in_trial = view.breaker.in_trial or trial
    number = next_number(state)
    placement = models.Placement(
        group, view, owner=None, number=number, trial=trial, started_at=now
    )
    record_placement(state, now, number, placement)
    _post(state, wish, number)


def select_target(
    state: core_state.State,
    now: float,
    group: models.Group,
    wish: models.PlacementRequest,
    domain: str,
) -> models.TargetView | None:
    """Return the best target of a group; a hedge needs a free slot."""
    view = selection.select_target(state, now, group, wish, domain)
    if view is None or not wish.hedge:
        return view
    return view if selection.has_free_slot(group, view) else None


def _pick_elsewhere(
    state: core_state.State,
    now: float,
    group: models.Group,
    wish: models.PlacementRequest,
) -> tuple[models.Group, models.TargetView | None]:
    service = state.routing.services[wish.service]
    domain = state.identity.failure_domain
    for step in range(min(_OTHER_GROUPS_TRIED, service.group_count - 1)):
        index = (group.index + 1 + step) % service.group_count
        other = groups.group_of(state, service, index)
        view = select_target(state, now, other, wish, domain)
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
    ask = state.routing.pending.get(message.number)
    if ask is None or ask.owner != peer:
        return []
    del state.routing.pending[message.number]
    _learn_crossing(state, now, ask)
    if message.target is None:
        _go_without(state, now, ask)
        return []
    service = state.routing.services.get(ask.request.service)
    view = None
    if service is not None and message.target in service.targets:
        view = groups.ensure_view(service, message.target)
    if view is None or view.leaving:
        _go_without(state, now, ask)
        leaving = view is not None and view.draining
        return [unused(message.number, peer, draining=leaving)]
    placement = models.Placement(
        ask.group,
        view,
        owner=peer,
        number=message.number,
        trial=False,
        started_at=now,
    )
    record_placement(state, now, message.number, placement)
    _post(state, ask.request, message.number)
    return []


def _go_without(
    state: core_state.State, now: float, ask: models.PendingPlacement
) -> None:
    if ask.request.hedge:
        _post(state, ask.request, None)
        return
    place_locally(state, now, ask.group, ask.request)


def _learn_crossing(
    state: core_state.State, now: float, ask: models.PendingPlacement
) -> None:
    """Update the round-trip time to other failure domains.

    A shorter time replaces the estimate at once; a longer one raises it slowly.
    """
    routing = state.routing
    domain = routing.entries.get(ask.owner)
    if domain is None or domain == state.identity.failure_domain:
        return
    seconds = now - ask.sent_at
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
    ask = state.routing.pending.pop(event.number, None)
    if ask is None:
        return []
    state.routing.suspected[ask.owner] = now + const.SUSPICION_SECONDS
    _go_without(state, now, ask)
    return [
        effects.Count("routing.asks_overdue"),
        unused(event.number, ask.owner, draining=False),
    ]


def unused(ask: int, home: str, *, draining: bool) -> effects.SendToPeers:
    """Return the message to an owner that its grant was not used."""
    word = messages.AttemptSettled(ask, models.Ending.NEUTRAL, draining)
    return effects.SendToPeers((home,), word)


def _post(
    state: core_state.State,
    wish: models.PlacementRequest,
    placement: int | None,
) -> None:
    chosen = events.TargetChosen(wish.call, placement, wish.hedge)
    state.pending_events.append(chosen)
