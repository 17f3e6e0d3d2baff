"""Gives back tokens of calls that wait for a target for long.

Such a call takes another token when it is sent, so it costs one for its send.
The first goes back before that: given back only then, it would let all calls
that wait be sent at once. A full bucket takes no more tokens, so of those that
were counted over many seconds no more can be sent at once than the burst.
"""

import math

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.quotas import const
from agateshelf.core.quotas import counting
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models

Effects = list[effects.Effect]


def note_grant(
    state: core_state.State, now: float, question: models.Question
) -> None:
    """Note a grant, which is given back if the call is not sent soon."""
    if question.counter:
        counted = models.Counted(
            now,
            question.call,
            question.number,
            question.counter,
            question.workspace.name,
        )
        state.quotas.counted.append(counted)
        if len(state.quotas.counted) > const.MAX_REMEMBERED:
            state.quotas.counted.popleft()


def give_back_outdated(state: core_state.State, now: float) -> Effects:
    """Give back what would be outdated at the next tick.

    The token of a call that has ended is kept: a message for each call that is
    refused under overload would cost more.
    """
    counted = state.quotas.counted
    latest = now - (const.GRANT_SECONDS - const.TICK_SECONDS)
    emitted: Effects = []
    while counted and counted[0].at <= latest:
        grant = counted.popleft()
        call = state.forwarding.calls.get(grant.call)
        if call is None or call.attempt_count or call.counted_at != grant.at:
            continue
        call.counted_at = -math.inf
        if grant.counter == state.identity.entry:
            counting.give_back(state, now, grant.workspace)
            continue
        returned = messages.QuotaReturned(grant.number)
        emitted.append(effects.SendToPeers((grant.counter,), returned))
    return emitted
