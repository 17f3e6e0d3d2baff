"""Tests of the owner's estimate of a route's run time under slow runs."""

import pytest
from tests.core import routed_fleet

from agateshelf.core.dispatch import owners

RUN_SECONDS = 0.1
DEADLINE_SECONDS = 1.0


def create_wide_fleet():
    """Create a fleet that can have a hundred requests in flight."""
    fleet = routed_fleet.RoutedFleet(("boston",) * 3)
    # As many targets as one owner has.
    for index in range(30):
        name = f"t{index}"
        fleet.items[name] = routed_fleet.create_target(name, slots=4)
    fleet.start()
    fleet.run_for(8.0)
    fleet.run_seconds = RUN_SECONDS
    return fleet


def work_estimate(fleet):
    name = next(iter(fleet.nodes))
    owner = owners.owner_ranking(fleet.nodes[name].state, "status")[0]
    dispatcher = fleet.nodes[owner].state.dispatch.dispatchers["status"]
    return dispatcher.work_estimates["lookups"]


def run_wave(fleet, count, run_seconds):
    """Send requests at once; return how many were answered."""
    fleet.run_seconds = run_seconds
    names = list(fleet.nodes)
    calls = [
        fleet.request(names[i % len(names)], timeout=DEADLINE_SECONDS)
        for i in range(count)
    ]
    fleet.run_for(2 * DEADLINE_SECONDS)
    responses = [fleet.response(call) for call in calls]
    return sum(
        response is not None and response[0] == "answer"
        for response in responses
    )


def test_many_slow_runs_at_once_do_not_multiply_the_estimate():
    # As after an owner froze: all runs in flight end late at the same time.
    fleet = create_wide_fleet()
    run_wave(fleet, 60, RUN_SECONDS)
    run_wave(fleet, 60, 0.8)
    assert work_estimate(fleet) < 0.8


def test_requests_are_served_again_after_many_slow_runs_at_once():
    fleet = create_wide_fleet()
    run_wave(fleet, 60, RUN_SECONDS)
    run_wave(fleet, 60, 0.8)
    assert run_wave(fleet, 60, RUN_SECONDS) == 60


@pytest.mark.parametrize("estimate", [1.5, 30.0])
def test_an_estimate_beyond_the_deadline_is_found_to_be_wrong(estimate):
    # No run would ever correct it if all requests were refused because of it.
    fleet = create_wide_fleet()
    run_wave(fleet, 60, RUN_SECONDS)
    for node in fleet.nodes.values():
        for dispatcher in node.state.dispatch.dispatchers.values():
            dispatcher.work_estimates["lookups"] = estimate
    for _ in range(200):
        fleet.request(timeout=DEADLINE_SECONDS)
        fleet.run_for(0.1)
    assert run_wave(fleet, 20, RUN_SECONDS) == 20


def test_a_lasting_slowdown_raises_the_estimate():
    fleet = create_wide_fleet()
    for _ in range(10):
        run_wave(fleet, 30, 0.4)
    assert 0.25 < work_estimate(fleet) < 0.5
