"""Tests of the limits that claims set to refusals and to the start of attempts.

A keyed request that was refused without a granted claim must not get `not-run`.
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
def test_entry_without_configuration(key, outcome):
    state = core_state.create_state(core_state.Identity("e0", "boston"), 1)
    request = events.RequestArrived(1, "dealer", "POST", "/bookings/1", key)
    (refuse,) = reducer.reduce(state, 1.0, request)
    assert refuse.refusal.outcome is outcome


def test_an_attempt_may_not_start_after_its_claim_or_deadline(state):
    request = events.RequestArrived(1, "dealer", "POST", "/bookings/1")
    done = reducer.reduce(state, 1.0, request)
    (start,) = [e for e in done if isinstance(e, effects.StartAttempt)]
    assert start.not_after == 6.0
