"""Tests of the retry budget, the no-retry mark and deadline propagation."""

import pytest
from tests.core.limits import harness

from agateshelf.core.retries import budget
from agateshelf.core.retries import const
from agateshelf.core.retries import deadlines
from agateshelf.core.retries import models


def refuse_all(state, call, now, **more):
    """Refuse all attempts of a call; return their number."""
    begun = harness.started(harness.arrive(state, call, now, **more))
    count = 0
    while begun:
        count += 1
        emitted = harness.answer(
            state, begun[0].attempt, now, 503, headers=(harness.MARK,)
        )
        begun = harness.started(emitted)
    return count


def test_retries_stay_within_their_share_of_calls():
    state = harness.create_state(harness.create_service())
    calls = 1000
    attempts = sum(refuse_all(state, call, 1.0 + call) for call in range(calls))
    extra = attempts - calls
    assert 0.05 * calls - 1 <= extra <= 0.05 * calls


def test_bucket_holds_no_more_than_its_size():
    service = harness.create_service()
    retries = models.RetriesState()
    for _ in range(10_000):
        budget.earn(retries, service)
    spent = 0
    while budget.may_spend(retries, service):
        budget.spend(retries, service)
        spent += 1
    assert spent == const.MAX_TOKENS


def test_marked_call_is_not_retried():
    state = harness.create_state(harness.create_service())
    assert refuse_all(state, 1, 1.0, no_retry=True) == 1


@pytest.mark.parametrize(("share", "marked"), [(0.05, True), (0.0, False)])
def test_targets_are_told_not_to_retry_if_this_entry_retries(share, marked):
    service = harness.create_service(retry_share=share)
    state = harness.create_state(service)
    (attempt,) = harness.started(harness.arrive(state, 1))
    assert attempt.no_retry is marked


def test_service_without_a_share_retries_nothing():
    state = harness.create_state(harness.create_service(retry_share=0.0))
    assert refuse_all(state, 1, 1.0) == 1


def test_no_retry_when_no_answer_can_come_in_time():
    state = harness.create_state(harness.create_service())
    (first,) = harness.started(harness.arrive(state, 1, 1.0))
    harness.answer(state, first.attempt, 1.2)
    (second,) = harness.started(harness.arrive(state, 2, 2.0, timeout=0.3))
    event = (second.attempt, 2.15, 503, None, (harness.MARK,))
    assert harness.started(harness.answer(state, *event)) == []


def test_each_hop_passes_on_less_time_than_it_has():
    assert deadlines.propagated_timeout_ms(1.0) == 995
    assert deadlines.propagated_timeout_ms(0.02) == 18
    assert deadlines.propagated_timeout_ms(0.0001) == 1
