"""Holds requests that would be refused for good until routes are confirmed.

An entry that lacks a route or key may only lack news. While it doesn't know
that its routes were the newest ones shortly before a request arrived, it asks
its reader, then another entry and the store, and decides again. Without an
answer the request is refused as not run, and may come again elsewhere.
"""

import msgspec

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.confirmation import const
from agateshelf.core.confirmation import models
from agateshelf.core.confirmation import refusals
from agateshelf.core.feed import currency
from agateshelf.core.feed import proof
from agateshelf.core.feed import proof_requests
from agateshelf.core.feed import relaying
from agateshelf.core.feed import sending
from agateshelf.core.outcomes import models as outcome_models

Effects = list[effects.Effect]


def is_confirmed(
    state: core_state.State, now: float, event: events.RequestArrived
) -> bool:
    """Return whether the routes were the newest ones when a request came."""
    arrived = now - event.waited - event.held
    return currency.as_of(state, now) >= arrived - const.MAX_AGE_SECONDS


def review(
    state: core_state.State,
    now: float,
    event: events.RequestArrived,
    refusal: outcome_models.Refusal,
) -> tuple[outcome_models.Refusal | None, Effects]:
    """Return how to refuse a request now, or None if it waits instead.

    Returns:
        The refusal, and effects by which the routes will be confirmed.
    """
    is_final = refusal.status in const.FINAL_STATUSES
    if not is_final or is_confirmed(state, now, event):
        return refusal, []
    asked = _ask(state, now)
    pending = state.confirmation
    timeout = const.HOLD_SECONDS
    if event.timeout is not None:
        timeout = min(timeout, event.timeout - event.waited)
    may_wait = (
        event.held < timeout
        and now >= pending.failed_until
        and not state.stopping
        and len(pending.held) < const.MAX_WAITING
    )
    if not may_wait:
        return refusals.unconfirmed(state.rng), asked
    pending.held[event.call] = models.Held(event, now)
    return None, asked


def _ask(state: core_state.State, now: float) -> Effects:
    pending = state.confirmation
    if pending.is_asking:
        return []
    pending.is_asking = True
    pending.attempts = 0
    return _ask_next(state, now)


def _ask_next(state: core_state.State, now: float) -> Effects:
    pending = state.confirmation
    pending.attempts += 1
    due = now + const.ANSWER_SECONDS
    timers.schedule(state.timers, due, models.ConfirmationDue())
    asked = _choose(state)
    emitted: Effects = []
    if asked:
        request = sending.create_request(state, proof.create_token(state, now))
        emitted.extend(sending.send([asked], request))
    if not asked or pending.attempts > 1:
        emitted.extend(proof_requests.read_store(state, now))
    return emitted


def _choose(state: core_state.State) -> str:
    """Return whom to ask: first the reader, then others; empty for nobody."""
    feed = state.feed
    is_first = state.confirmation.attempts == 1
    if is_first and not feed.is_reader and feed.reader:
        return feed.reader
    others = sorted(
        {*state.membership.failure_domains} - {state.identity.entry}
    )
    neighbours = set(relaying.neighbours(state))
    elsewhere = [entry for entry in others if entry not in neighbours]
    return state.rng.choice(elsewhere or others or [""])


def on_due(state: core_state.State, now: float) -> Effects:
    """Refuse requests that have waited for too long; ask the next one."""
    pending = state.confirmation
    expired = [
        one
        for one in pending.held.values()
        if one.event.held + now - one.since >= const.HOLD_SECONDS
    ]
    if expired:
        pending.failed_until = now + const.FAILED_SECONDS
    _decide_again(state, now, expired)
    if not pending.held:
        pending.is_asking = False
        return []
    return _ask_next(state, now)


def on_routes(state: core_state.State, now: float) -> Effects:
    """Decide again on all requests, as routes were adopted or confirmed."""
    pending = state.confirmation
    pending.failed_until = now
    _decide_again(state, now, list(pending.held.values()))
    return []


def _decide_again(
    state: core_state.State, now: float, held: list[models.Held]
) -> None:
    for one in held:
        del state.confirmation.held[one.event.call]
        waited = one.event.held + now - one.since
        event = msgspec.structs.replace(one.event, held=waited)
        state.pending_events.append(event)


def forget(state: core_state.State, call: int) -> None:
    """Forget a request whose caller has left."""
    state.confirmation.held.pop(call, None)
