"""Tests of routed calls: retries, refusals and log events."""

import dataclasses

import pytest
from tests.core import routed_fleet
from tests.core.evacuation import evacuated_fleet

from agateshelf.core import events
from agateshelf.core.directory import models as directory_models
from agateshelf.core.outcomes import models as outcome_models

RESET = routed_fleet.RESET
CONNECT = routed_fleet.CONNECT
BOOKINGS = routed_fleet.create_route(
    name="bookings", prefix="/book/", idempotent=False
)


@pytest.fixture
def fleet():
    created = routed_fleet.create_fleet()
    table = routed_fleet.create_table(2, routed_fleet.create_route(), BOOKINGS)
    created.change(table=table)
    created.run_for(0.2)
    return created


def all_sends(fleet):
    return [send for sends in fleet.sends.values() for send in sends]


def answer_first(fleet, first):
    """Script the end of the first attempt; the others get a 200."""
    seen = []

    def script(effect):
        seen.append(effect)
        if len(seen) == 1:
            return 0.01, first(effect.attempt)
        return 0.01, events.AttemptAnswered(effect.attempt, 200)

    fleet.script = script


def not_run(attempt, status=503):
    return events.AttemptAnswered(attempt, status, not_run=True)


def test_an_idempotent_request_is_retried_on_another_target(fleet):
    answer_first(fleet, lambda n: routed_fleet.failed(n, RESET))
    call = fleet.request()
    fleet.run_for(0.5)
    assert fleet.response(call)[0] == "answer"
    targets = [send[2].target for send in all_sends(fleet)]
    assert len(targets) == len(set(targets)) == 2


def test_a_non_idempotent_request_that_may_have_run_is_not_retried(fleet):
    answer_first(fleet, lambda n: routed_fleet.failed(n, RESET))
    call = fleet.request(path="/book/1", method="POST")
    fleet.run_for(1.5)
    kind, refusal = fleet.response(call)
    assert kind == "refused"
    assert refusal.status == 502
    assert refusal.outcome is outcome_models.Outcome.UNKNOWN
    assert len(all_sends(fleet)) == 1


@pytest.mark.parametrize(
    "first",
    [
        not_run,
        lambda n: not_run(n, 421),
        lambda n: routed_fleet.failed(n, CONNECT, sent=False),
    ],
)
def test_a_non_idempotent_request_that_did_not_run_is_retried(fleet, first):
    answer_first(fleet, first)
    call = fleet.request(path="/book/1", method="POST")
    fleet.run_for(0.5)
    assert fleet.response(call)[0] == "answer"
    assert len(all_sends(fleet)) == 2


def test_a_503_without_the_not_run_header_is_not_retried(fleet):
    fleet.script = lambda e: (0.01, events.AttemptAnswered(e.attempt, 503))
    call = fleet.request(path="/book/1", method="POST")
    fleet.run_for(0.5)
    kind, refusal = fleet.response(call)
    assert kind == "refused"
    assert refusal.status == 502


def test_attempts_are_limited_by_the_route(fleet):
    fleet.script = lambda e: (0.01, events.AttemptAnswered(e.attempt, 500))
    fleet.request()
    fleet.run_for(1.0)
    assert len(all_sends(fleet)) == 2


def test_a_call_is_refused_at_the_timeout_of_its_route(fleet):
    fleet.script = lambda _effect: (9.0, None)
    call = fleet.request(timeout=8.0)
    fleet.run_for(0.99)
    assert fleet.response(call) is None
    fleet.run_for(0.02)
    assert fleet.response(call)[1].status == 504


def test_an_attempt_times_out_by_the_deadline_of_its_call(fleet):
    fleet.request(timeout=0.6)
    fleet.run_for(0.3)
    ((_, _, effect),) = all_sends(fleet)
    assert effect.timeout <= 0.6


def test_a_disconnected_caller_cancels_its_attempt(fleet):
    fleet.script = lambda _effect: (9.0, None)
    call = fleet.request()
    fleet.run_for(0.1)
    node = next(iter(fleet.nodes.values()))
    fleet.post(node, events.CallerDisconnected(call))
    assert not node.state.forwarding.attempts
    assert not node.state.forwarding.calls


def test_an_entry_without_routes_refuses_with_a_retry_after():
    fleet = routed_fleet.RoutedFleet(("boston",))
    for node in fleet.nodes.values():
        node.store_silent = True
    fleet.start()
    call = fleet.request()
    kind, refusal = fleet.response(call)
    assert kind == "refused"
    assert refusal.status == 503
    assert refusal.retry_after > 0


def test_no_route_is_a_404(fleet):
    call = fleet.request(path="/nowhere/")
    assert fleet.response(call)[1].status == 404


def test_a_request_that_crashes_its_targets_is_refused_by_all_entries(fleet):
    names = list(fleet.nodes)

    def script(effect):
        node = next(
            n
            for n in fleet.nodes.values()
            if effect.attempt in n.state.forwarding.attempts
            and effect.call in n.state.forwarding.calls
        )
        refused = events.TargetRefused(effect.target)
        fleet.at(fleet.now + 0.02, fleet.post, node, refused)
        return 0.01, routed_fleet.failed(effect.attempt, RESET)

    fleet.script = script
    first = fleet.request(names[0], path="/vin/poison")
    fleet.run_for(1.5)
    assert fleet.response(first)[0] == "refused"
    before = len(all_sends(fleet))
    for name in names:
        call = fleet.request(name, path="/vin/poison")
        fleet.run_for(0.5)
        assert fleet.response(call)[1].status == 503
    assert len(all_sends(fleet)) == before
    fleet.script = None
    other = fleet.request(path="/vin/healthy")
    fleet.run_for(3.0)
    assert fleet.response(other)[0] == "answer"


def test_each_decision_is_logged_once_with_the_id_of_its_request(fleet):
    call = fleet.request(request_id="abc")
    fleet.run_for(0.5)
    assert fleet.response(call)[0] == "answer"
    notes = [
        note.event
        for node in fleet.nodes.values()
        for _, note in node.notes
        if note.request_id == "abc"
    ]
    assert notes == ["attempt.started", "attempt.answered"]


@pytest.mark.parametrize("is_announced", [True, False])
def test_what_waits_for_a_connection_to_a_leaving_target_goes_elsewhere(
    is_announced,
):
    # A connection took up to a second to open, after up to two seconds in
    # which a target that leaves was not known to.
    fleet = evacuated_fleet.EvacuatedFleet(
        entries=1, targets=3, idempotent=False, timeout=3.0
    )
    fleet.connect_seconds = 0.8
    calls = [fleet.request(timeout=3.0) for _ in range(3)]
    fleet.run_for(0.1)
    leaving = dataclasses.replace(fleet.items["t0"], draining=True)
    if not is_announced:
        leaving = directory_models.Removal("t0", 0)
    fleet.change(leaving)
    fleet.run_for(0.05)
    began = fleet.now
    fleet.run_for(2.5)
    late = [target for at, _, target in fleet.sent if at > began]
    assert "t0" not in late
    assert all(fleet.response(call)[0] == "answer" for call in calls)
