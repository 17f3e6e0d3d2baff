"""Targets that turn requests away and ask for a pause.

Guards against entries that treat such an answer as a failure: with all targets
of a service paused, every entry went on to send to them.
"""

import itertools

import pytest
from tests.core.target_notices import closing_fleet

from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models


def all_paused(seconds, targets=4):
    return {f"t{index}": seconds for index in range(targets)}


@pytest.mark.parametrize("entries", [1, 4, 13])
def test_a_paused_target_gets_nothing_and_others_take_its_load(entries):
    fleet = closing_fleet.ClosingFleet(entries)
    fleet.load(1.0)
    fleet.pauses = {"t0": 3.0}
    began = fleet.now
    fleet.load(12.0)
    assert fleet.sends_in_pauses() == []
    # One at the start and after each pause, over all entries.
    assert len(fleet.sends_since("t0", began)) <= 5
    assert fleet.outcomes(began) == {"answer": 480}


def test_callers_are_told_when_one_is_back():
    fleet = closing_fleet.ClosingFleet()
    fleet.load(1.0)
    fleet.pauses = all_paused(3.0)
    fleet.load(0.5)
    began = fleet.now
    calls = [fleet.request() for _ in range(6)]
    fleet.run_for(0.1)
    back = min(end for _, _, _, end in fleet.asked)
    refusals = [fleet.response(call)[1] for call in calls]
    for refusal in refusals:
        assert refusal.reason == "targets-paused"
        assert refusal.status == 503
        assert refusal.outcome is outcome_models.Outcome.NOT_RUN
        assert refusal.retry_after >= back - began - 0.1
    times = sorted(refusal.retry_after for refusal in refusals)
    assert all(a < b for a, b in itertools.pairwise(times))
    assert times[-1] <= 3.0 + 5.0


def test_all_targets_paused_get_nothing_from_any_entry():
    fleet = closing_fleet.ClosingFleet()
    fleet.load(1.0)
    fleet.pauses = all_paused(3.0)
    began = fleet.now
    fleet.load(2.5)
    assert fleet.sends_in_pauses() == []
    for target in fleet.pauses:
        # Requests that were under way when the first one was turned away.
        assert len(fleet.sends_since(target, began)) <= 4


@pytest.mark.parametrize("restarts", [False, True])
def test_pauses_hold_while_entries_come_and_go(restarts):
    fleet = closing_fleet.ClosingFleet()
    fleet.load(1.0)
    fleet.pauses = all_paused(3.0)
    for index, name in enumerate(fleet.nodes):
        fleet.at(fleet.now + 2 * index, fleet.kill, name)
        if restarts or index < 2:
            fleet.at(fleet.now + 2 * index + 0.5, fleet.restart, name)
    fleet.load(10.0, names=list(fleet.nodes)[:2])
    assert fleet.sends_in_pauses() == []


def test_a_few_first_when_the_pause_is_over():
    fleet = closing_fleet.ClosingFleet(targets=1)
    fleet.load(1.0)
    fleet.pauses = {"t0": 2.0}
    fleet.load(0.2)
    end = max(until for _, _, _, until in fleet.asked)
    fleet.pauses = {}
    fleet.run_for(end - fleet.now - 0.05)
    for _ in range(4):
        fleet.request()
    fleet.run_for(1.0)
    sends = [at for at, _, _ in fleet.sends_since("t0", end - 0.01)]
    assert sends[0] >= end
    # The second one waits until the first one has succeeded.
    assert sends[1] - sends[0] >= closing_fleet.RUN_SECONDS


def test_a_service_whose_pause_is_over_is_used_in_full():
    fleet = closing_fleet.ClosingFleet()
    fleet.load(1.0)
    fleet.pauses = all_paused(1.0)
    fleet.load(0.5)
    fleet.pauses = {}
    fleet.run_for(1.0)
    began = fleet.now
    fleet.load(3.0)
    assert fleet.outcomes(began)["answer"] == 120


def test_a_pause_opens_no_breaker():
    fleet = closing_fleet.ClosingFleet()
    fleet.load(1.0)
    fleet.pauses = all_paused(0.2)
    fleet.load(3.0)
    for node in fleet.nodes.values():
        assert not [e for _, e in node.notes if e.event == "target.barred"]


@pytest.mark.parametrize("asked", [1e9, 999999999.0])
def test_a_pause_beyond_any_sense_is_bounded(asked):
    fleet = closing_fleet.ClosingFleet(entries=1)
    fleet.load(1.0)
    fleet.pauses = {"t0": asked}
    fleet.load(1.0)
    state = next(iter(fleet.nodes.values())).state
    until = state.target_notices.records["t0"].paused_until
    assert until - fleet.now <= 3600.0


def test_a_request_in_time_waits_for_the_end_of_a_short_pause():
    fleet = closing_fleet.ClosingFleet()
    fleet.load(1.0)
    fleet.pauses = all_paused(0.1)
    fleet.load(0.2)
    fleet.pauses = {}
    call = fleet.request()
    fleet.run_for(1.0)
    assert fleet.response(call)[0] == "answer"


def test_a_pause_that_a_hedge_meets_is_kept():
    fleet = closing_fleet.ClosingFleet(entries=1)
    fleet.load(1.0)
    node = next(iter(fleet.nodes.values()))
    fleet.pauses = {"t0": 5.0}
    fleet.load(0.3)
    call = fleet.request()
    owner = fleet.owner()
    fleet.post(node, events.DispatchDecided(call, -1, owner, "t0"))
    fleet.run_for(1.0)
    assert fleet.sends_in_pauses() == []
