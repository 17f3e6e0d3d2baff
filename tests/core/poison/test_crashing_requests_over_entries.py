"""A request that ends its targets, repeated through all entries.

Guards against incident BUDGET: crashes that were not recognised, did not reach
all entries, or were not looked at when the request was sent.
"""

import pytest
from tests.core import crash_fleet

from agateshelf.core import events
from agateshelf.core.dispatch import owners
from agateshelf.core.outcomes import models as outcome_models

Ending = crash_fleet.Ending


@pytest.mark.parametrize("ending", list(Ending))
def test_a_request_is_withheld_however_its_targets_end(ending):
    fleet = crash_fleet.CrashFleet(ending)
    fleet.repeat_marked(20.0)
    assert len(fleet.late_sends) <= crash_fleet.MAX_LATE_SENDS


@pytest.mark.parametrize("ending", list(Ending))
def test_a_request_is_withheld_whichever_caller_repeats_it(ending):
    fleet = crash_fleet.CrashFleet(ending)
    fleet.repeat_marked(20.0, callers=97)
    assert len(fleet.late_sends) <= crash_fleet.MAX_LATE_SENDS


def test_a_request_is_withheld_however_its_path_is_escaped():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    name = next(iter(fleet.nodes))
    fleet.send_marked(name, path="/vin/a%2fb~c")
    fleet.run_for(3.0)
    for path in ("/vin/a%2Fb~c", "/vin/%61%2Fb%7Ec", "/vin/a%2fb%7ec"):
        kind, _ = fleet.response(fleet.send_marked(name, path=path))
        assert kind == "refused"
    # A slash that is not escaped is another path.
    fleet.send_marked(name, path="/vin/a/b~c")
    fleet.run_for(0.01)
    assert len(fleet.marked_sends) == 3


@pytest.mark.parametrize("ending", list(Ending))
def test_entries_that_restart_still_withhold_the_request(ending):
    fleet = crash_fleet.CrashFleet(ending)
    for index, name in enumerate(fleet.nodes):
        for at in (2.0 + index, 6.0 + index, 10.0 + index):
            fleet.at(fleet.now + at, fleet.kill, name)
            fleet.at(fleet.now + at + 0.5, fleet.restart, name)
    fleet.repeat_marked(20.0)
    assert len(fleet.late_sends) <= crash_fleet.MAX_LATE_SENDS


@pytest.mark.parametrize("ending", list(Ending))
def test_an_entry_that_was_cut_off_withholds_the_request(ending):
    fleet = crash_fleet.CrashFleet(ending)
    names = list(fleet.nodes)
    away = fleet.nodes[names[2]]
    away.partitioned = True
    fleet.run_for(10.0)
    fleet.repeat_marked(8.0, names=names[:2])
    away.partitioned = False
    fleet.run_for(crash_fleet.LATE_SECONDS)
    before = len(fleet.late_sends)
    fleet.repeat_marked(5.0, names=names[2:])
    assert len(fleet.late_sends) - before <= crash_fleet.MAX_LATE_SENDS


@pytest.mark.parametrize("ending", list(Ending))
def test_entries_that_all_restart_at_once_withhold_the_request(ending):
    # No entry is left to tell the others: the platform has to.
    fleet = crash_fleet.CrashFleet(ending)
    fleet.repeat_marked(8.0)
    for name in fleet.nodes:
        fleet.kill(name)
    fleet.run_for(0.5)
    for name in fleet.nodes:
        fleet.restart(name)
    fleet.run_for(crash_fleet.LATE_SECONDS)
    before = len(fleet.late_sends)
    fleet.repeat_marked(20.0)
    assert len(fleet.late_sends) - before <= crash_fleet.MAX_LATE_SENDS


@pytest.mark.parametrize("ending", list(Ending))
def test_an_entry_that_joins_withholds_the_request(ending):
    fleet = crash_fleet.CrashFleet(ending)
    fleet.repeat_marked(8.0)
    fleet.add("10.0.0.9:7000")
    fleet.run_for(crash_fleet.LATE_SECONDS)
    before = len(fleet.late_sends)
    fleet.repeat_marked(5.0, names=["10.0.0.9:7000"])
    assert len(fleet.late_sends) - before <= crash_fleet.MAX_LATE_SENDS


def test_a_waiting_call_is_refused_once_its_request_is_withheld():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    # At entries that don't own the service, calls wait for the owner's answer.
    waiting = [
        fleet.send_marked(node.name)
        for node in fleet.nodes.values()
        if not owners.is_owner(node.state, "status")
    ]
    assert len(waiting) == 2
    fleet.withhold_marked()
    for call in waiting:
        kind, refusal = fleet.response(call)
        assert kind == "refused"
        assert refusal.status == 503
        assert refusal.outcome is outcome_models.Outcome.NOT_RUN
    fleet.run_for(2.0)
    assert not fleet.marked_sends


def test_a_request_that_is_withheld_is_not_hedged():
    fleet = crash_fleet.CrashFleet(Ending.SILENT)
    name = next(iter(fleet.nodes))
    call = fleet.send_marked(name)
    fleet.run_for(0.1)
    assert len(fleet.marked_sends) == 1
    fleet.withhold_marked()
    hedge = events.DispatchDecided(call, -1, name, "t7")
    fleet.post(fleet.nodes[name], hedge)
    assert len(fleet.marked_sends) == 1
    # The attempt that is under way may still be answered.
    assert fleet.response(call) is None


@pytest.mark.parametrize("status", [500, 503])
def test_a_server_error_does_not_clear_a_crashing_request(status):
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    fleet.failing_status = status
    fleet.repeat_marked(20.0)
    assert len(fleet.late_sends) <= crash_fleet.MAX_LATE_SENDS


def test_many_crashes_at_once_reach_all_entries():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    names = list(fleet.nodes)
    fleet.report_other_crashes(names[0], 60)
    fleet.repeat_marked(1.0, names=names[:1])
    fleet.run_for(crash_fleet.LATE_SECONDS)
    before = len(fleet.marked_sends)
    fleet.repeat_marked(2.0, names=names[1:])
    assert len(fleet.marked_sends) == before


def test_copies_of_a_request_on_one_target_count_one_crash():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED, targets=1)
    for name in fleet.nodes:
        fleet.send_marked(name)
    fleet.run_for(1.0)
    assert len(fleet.crashes) == 1
    for node in fleet.nodes.values():
        assert not fleet.withholds_marked(node)


def test_a_request_that_loses_answers_is_not_withheld():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    fleet.loses_answers = True
    fleet.repeat_marked(6.0)
    assert len(fleet.marked_sends) > 50
    for node in fleet.nodes.values():
        assert not fleet.withholds_marked(node)


def test_a_request_that_some_targets_survive_stays_withheld():
    # As while targets of two versions serve the same service.
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    fleet.failing_status = 200
    fleet.repeat_marked(20.0)
    assert len(fleet.late_sends) <= crash_fleet.MAX_LATE_SENDS
