"""Decides which calls are hedged, and when.

Only idempotent calls are hedged, and only at another target with a free slot.
Hedges are charged to the same budget as retries.
"""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.calls import models as call_models
from agateshelf.core.hedging import const
from agateshelf.core.hedging import models
from agateshelf.core.retries import budget
from agateshelf.core.routing import models as routing_models
from agateshelf.core.routing import placing


def on_started(
    state: core_state.State, now: float, call: call_models.Call, attempt: int
) -> None:
    """Schedule the hedge of a call's first attempt."""
    if not _is_hedgeable(call) or len(call.attempts) != 1:
        return
    due = now + models.delay_of(state.hedging, call.service.name)
    if due < call.deadline:
        event = events.HedgeDue(call.number, attempt)
        timers.schedule(state.timers, due, event)


def _is_hedgeable(call: call_models.Call) -> bool:
    return (
        call.idempotent
        and not call.no_retry
        and len(call.service.targets) > 1
        and call.service.retry_share > 0
    )


def on_due(
    state: core_state.State, now: float, event: events.HedgeDue
) -> list[effects.Effect]:
    """Request a target for the hedge if it is still needed.

    The request is repeated later, as a target may have become free by then.
    """
    call = state.calls.calls.get(event.call)
    if call is None or call.attempts != {event.attempt}:
        return []
    if state.calls.attempts[event.attempt].streaming:
        return []
    if event.search_count < const.MAX_FURTHER_REQUESTS:
        again = events.HedgeDue(
            call.number, event.attempt, event.search_count + 1
        )
        wait = const.REQUEST_DELAY_SECONDS * (event.search_count + 2)
        timers.schedule(state.timers, now + wait, again)
    if not budget.may_spend(state.retries, call.service):
        return []
    request = routing_models.PlacementRequest(
        call=call.number,
        service=call.service.name,
        tried=frozenset(call.tried),
        idempotent=True,
        hedge=True,
    )
    return placing.request_placement(state, now, request)


def may_start(state: core_state.State, call: call_models.Call) -> bool:
    """Return whether a hedge is still useful and within the budget."""
    if not _is_hedgeable(call) or len(call.attempts) != 1:
        return False
    if any(state.calls.attempts[n].streaming for n in call.attempts):
        return False
    return budget.may_spend(state.retries, call.service)
