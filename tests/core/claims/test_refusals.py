"""Tests of refusals without a granted claim, and of the start of attempts.

A keyed request that is refused without a granted claim must not get `not-run`,
since an earlier request with its key may have run.
"""

import pytest

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.outcomes import models as outcome_models


@pytest.mark.parametrize(
    ("key", "outcome"),
    [
        ("k", outcome_models.Outcome.UNKNOWN),
        (None, outcome_models.Outcome.NOT_RUN),
    ],
)
def test_outcome_of_a_refusal_without_configuration(key, outcome):
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    request = events.RequestArrived(1, "dealer", "POST", "/bookings/1", key)
    (refuse,) = reducer.reduce(state, 1.0, request)
    assert refuse.refusal.outcome is outcome


def test_an_attempt_without_a_claim_may_start_until_the_deadline(state):
    request = events.RequestArrived(1, "dealer", "POST", "/bookings/1")
    emitted = reducer.reduce(state, 1.0, request)
    (start,) = [e for e in emitted if isinstance(e, effects.StartAttempt)]
    # The request arrived at 1.0 s, and the service's timeout is 5 s.
    assert start.not_after == 6.0
