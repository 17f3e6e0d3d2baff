"""Calls of an entry that stops: what it still sends, and what it refuses.

Guards against incident LOST: requests that began late in a planned stop were
broken off at its end.
"""

import pytest
from tests.core import routed_fleet

from agateshelf.core import events
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models

STOP_SECONDS = 5.28
BOOKINGS = routed_fleet.create_route(
    name="bookings", prefix="/book/", idempotent=False, timeout=8.0
)
LOOKUPS = routed_fleet.create_route(timeout=8.0)


@pytest.fixture
def fleet():
    created = routed_fleet.create_fleet()
    table = routed_fleet.create_table(2, LOOKUPS, BOOKINGS)
    created.change(table=table)
    created.run_for(0.2)
    return created


def stop(fleet, name):
    """Stop an entry as the daemon does."""
    node = fleet.nodes[name]
    fleet.post(node, events.StopRequested(STOP_SECONDS))
    end = fleet.now + STOP_SECONDS
    fleet.at(end, fleet.post, node, events.StopDeadlinePassed())


def book(fleet, name, timeout=8.0):
    return fleet.request(name, path="/book/1", method="POST", timeout=timeout)


def sends_of(fleet, name):
    return [s for sends in fleet.sends.values() for s in sends if s[1] == name]


def assert_refused_as_not_run(fleet, call):
    kind, refusal = fleet.response(call)
    assert kind == "refused"
    assert refusal.reason == outcome_const.REASON_STOPPING
    assert refusal.status == outcome_const.STATUS_UNAVAILABLE
    assert refusal.outcome is outcome_models.Outcome.NOT_RUN
    assert refusal.retry_after is not None


@pytest.mark.parametrize("entry", [0, 1, 2])
def test_a_booking_that_was_queued_does_not_begin_late(fleet, entry):
    # It came in time, but got a target only when too little time was left.
    name = list(fleet.nodes)[entry]
    fleet.script = lambda e: (2.9, events.AttemptAnswered(e.attempt, 200))
    others = [other for other in fleet.nodes if other != name]
    for _ in range(6):
        book(fleet, others[0])
    fleet.run_for(0.05)
    stop(fleet, name)
    call = book(fleet, name)
    fleet.run_for(STOP_SECONDS + 1.0)
    for at, _, _effect in sends_of(fleet, name):
        assert at < fleet.nodes[name].state.stop.late_from
    kind, end = fleet.response(call)
    assert kind == "answer" or end.outcome is outcome_models.Outcome.NOT_RUN


def test_a_booking_is_not_tried_again_late(fleet):
    name = next(iter(fleet.nodes))
    refused = []

    def script(effect):
        refused.append(effect)
        if len(refused) == 1:
            return 2.7, events.AttemptAnswered(
                effect.attempt, 503, not_run=True
            )
        return 3.0, events.AttemptAnswered(effect.attempt, 200)

    fleet.script = script
    stop(fleet, name)
    call = book(fleet, name)
    fleet.run_for(STOP_SECONDS + 1.0)
    assert len(refused) == 1
    assert_refused_as_not_run(fleet, call)


def test_a_request_that_can_not_end_in_time_is_refused_before_it_is_sent(fleet):
    # The owner knows how long a booking takes.
    name = next(iter(fleet.nodes))
    fleet.script = lambda e: (4.8, events.AttemptAnswered(e.attempt, 200))
    for _ in range(40):
        book(fleet, list(fleet.nodes)[1])
        fleet.run_for(5.0)
    before = len(sends_of(fleet, name))
    stop(fleet, name)
    fleet.run_for(1.5)
    call = book(fleet, name)
    fleet.run_for(0.2)
    assert len(sends_of(fleet, name)) == before
    assert_refused_as_not_run(fleet, call)


@pytest.mark.parametrize("arrived", [2.65, 3.0, 4.5])
def test_a_short_request_is_served_until_the_end(fleet, arrived):
    name = next(iter(fleet.nodes))
    fleet.run_seconds = 0.02
    stop(fleet, name)
    fleet.run_for(arrived)
    call = book(fleet, name, timeout=5.27 - arrived)
    fleet.run_for(0.2)
    assert fleet.response(call)[0] == "answer"


def test_no_request_begins_after_the_end(fleet):
    # Its connection had the bytes of another one.
    name = next(iter(fleet.nodes))
    stop(fleet, name)
    fleet.run_for(STOP_SECONDS + 0.01)
    call = book(fleet, name, timeout=0.2)
    assert_refused_as_not_run(fleet, call)


def test_a_second_signal_ends_what_may_begin(fleet):
    node = next(iter(fleet.nodes.values()))
    fleet.post(node, events.StopRequested(STOP_SECONDS))
    fleet.post(node, events.StopDeadlinePassed())
    call = book(fleet, node.name, timeout=0.2)
    assert_refused_as_not_run(fleet, call)


def test_checks_whether_it_may_exit_do_not_prolong_a_stop(fleet):
    node = next(iter(fleet.nodes.values()))
    fleet.post(node, events.StopRequested(STOP_SECONDS))
    ends_at = node.state.stop.ends_at
    fleet.run_for(1.0)
    fleet.post(node, events.StopRequested())
    assert node.state.stop.ends_at == ends_at
    assert [e.event for _, e in node.notes].count("entry.stopping") == 1
