"""Placing: find a target for a call, here or by asking the group's home.

The home of a group hears of every attempt at its targets, so it knows what
they hold; each entry alone would see a fourteenth. A home that does not
answer in time is passed over for a while: the entry chooses by itself.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.routing import choice
from agateshelf.core.routing import const
from agateshelf.core.routing import evidence
from agateshelf.core.routing import groups
from agateshelf.core.routing import messages
from agateshelf.core.routing import models

Effects = list[effects.Effect]

_OTHER_GROUPS_TRIED = 3


def request(state: core_state.State, now: float, wish: models.Wish) -> Effects:
    """Look for a target; `TargetChosen` follows, at once or later."""
    view = state.routing.services.get(wish.service)
    if view is None or not view.service.targets:
        _post(state, wish, None)
        return []
    group = groups.pick(state, view)
    home = group.home
    if home is None or home == state.identity.entry:
        choose_here(state, now, group, wish)
        return []
    if not _may_ask(state, now, home):
        choose_here(state, now, group, wish)
        return [effects.Count("routing.unasked")]
    return _ask(state, now, group, home, wish)


def _may_ask(state: core_state.State, now: float, home: str) -> bool:
    """Return whether the home is thought to answer and the budget allows."""
    routing = state.routing
    if routing.suspected.get(home, now) > now:
        return False
    earned = (now - routing.ask_tokens_at) * const.MOST_ASKS_PER_SECOND
    routing.ask_tokens_at = now
    tokens = min(const.MOST_ASKS_AT_ONCE, routing.ask_tokens + earned)
    if tokens < 1:
        routing.ask_tokens = tokens
        return False
    routing.ask_tokens = tokens - 1
    return True


def _ask(
    state: core_state.State,
    now: float,
    group: models.Group,
    home: str,
    wish: models.Wish,
) -> Effects:
    number = next_number(state)
    state.routing.asks[number] = models.Ask(wish, group, home, now)
    overdue = now + const.ASK_PATIENCE_SECONDS
    timers.schedule(state.timers, overdue, events.TargetRequestOverdue(number))
    message = messages.TargetAsked(
        ask=number,
        service=wish.service,
        group=group.index,
        tried=tuple(sorted(wish.tried)),
        idempotent=wish.idempotent,
        hedge=wish.hedge,
    )
    return [effects.SendToPeers((home,), message)]


def next_number(state: core_state.State) -> int:
    """Return a number for a question or a placement."""
    state.routing.last_ask += 1
    return state.routing.last_ask


def choose_here(
    state: core_state.State,
    now: float,
    group: models.Group,
    wish: models.Wish,
) -> None:
    """Choose by what this entry knows, also from other groups if need be."""
    domain = state.identity.failure_domain
    view = pick(state, now, group, wish, domain)
    if view is None and not wish.hedge:
        group, view = _pick_elsewhere(state, now, group, wish)
    if view is None:
        _post(state, wish, None)
        return
    trial = choice.is_trial(state, group, view)
    view.breaker.in_trial = view.breaker.in_trial or trial
    number = next_number(state)
    placement = models.Placement(
        group, view, home=None, ask=number, trial=trial, started=now
    )
    place(state, now, number, placement)
    _post(state, wish, number)


def pick(
    state: core_state.State,
    now: float,
    group: models.Group,
    wish: models.Wish,
    domain: str,
) -> models.TargetView | None:
    """Return the target of a group to take; a hedge needs a free slot."""
    view = choice.choose(state, now, group, wish, domain)
    if view is None or not wish.hedge:
        return view
    return view if choice.has_free_slot(group, view) else None


def _pick_elsewhere(
    state: core_state.State,
    now: float,
    group: models.Group,
    wish: models.Wish,
) -> tuple[models.Group, models.TargetView | None]:
    service = state.routing.services[wish.service]
    domain = state.identity.failure_domain
    for step in range(min(_OTHER_GROUPS_TRIED, service.group_count - 1)):
        index = (group.index + 1 + step) % service.group_count
        other = groups.group_of(state, service, index)
        view = pick(state, now, other, wish, domain)
        if view is not None:
            return other, view
    return group, None


def place(
    state: core_state.State,
    now: float,
    number: int,
    placement: models.Placement,
) -> None:
    """Count an attempt in at its target."""
    state.routing.placements[number] = placement
    placement.view.in_flight += 1
    placement.view.sent_since += 1
    evidence.on_placed(placement.group, placement.view, now)


def on_named(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.TargetNamed,
) -> Effects:
    """Take the target that the home named."""
    ask = state.routing.asks.get(message.ask)
    if ask is None or ask.home != peer:
        return []
    del state.routing.asks[message.ask]
    _learn_crossing(state, now, ask)
    if message.target is None:
        _go_without(state, now, ask)
        return []
    service = state.routing.services.get(ask.wish.service)
    view = None
    if service is not None and message.target in service.targets:
        view = groups.known_view(service, message.target)
    if view is None or view.leaving:
        _go_without(state, now, ask)
        leaving = view is not None and view.draining
        return [unused(message.ask, peer, draining=leaving)]
    placement = models.Placement(
        ask.group, view, home=peer, ask=message.ask, trial=False, started=now
    )
    place(state, now, message.ask, placement)
    _post(state, ask.wish, message.ask)
    return []


def _go_without(state: core_state.State, now: float, ask: models.Ask) -> None:
    if ask.wish.hedge:
        _post(state, ask.wish, None)
        return
    choose_here(state, now, ask.group, ask.wish)


def _learn_crossing(
    state: core_state.State, now: float, ask: models.Ask
) -> None:
    """Learn what a round trip to another failure domain takes at least."""
    routing = state.routing
    domain = routing.entries.get(ask.home)
    if domain is None or domain == state.identity.failure_domain:
        return
    seconds = now - ask.asked_at
    if seconds < routing.crossing:
        routing.crossing = seconds
        return
    routing.crossing += const.CROSSING_STEP * (seconds - routing.crossing)


def on_overdue(
    state: core_state.State, now: float, event: events.TargetRequestOverdue
) -> Effects:
    """Choose by itself when a home stays silent, and let it be a while."""
    ask = state.routing.asks.pop(event.number, None)
    if ask is None:
        return []
    state.routing.suspected[ask.home] = now + const.SUSPICION_SECONDS
    _go_without(state, now, ask)
    return [
        effects.Count("routing.asks_overdue"),
        unused(event.number, ask.home, draining=False),
    ]


def unused(ask: int, home: str, *, draining: bool) -> effects.SendToPeers:
    """Return the word to a home that its target was not used."""
    word = messages.AttemptSettled(ask, models.Ending.NEUTRAL, draining)
    return effects.SendToPeers((home,), word)


def _post(
    state: core_state.State, wish: models.Wish, placement: int | None
) -> None:
    chosen = events.TargetChosen(wish.call, placement, wish.hedge)
    state.pending_events.append(chosen)
