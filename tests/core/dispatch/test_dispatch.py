"""Tests of dispatch over all entries: owners, grants, faults and budgets."""

import collections
import dataclasses

import pytest
from tests.core import routed_fleet

from agateshelf.core import events
from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import owners
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import models as route_models

NOT_RUN = outcome_models.Outcome.NOT_RUN


@pytest.fixture
def fleet():
    return routed_fleet.create_fleet()


def owner_of(fleet):
    node = next(iter(fleet.nodes.values()))
    return fleet.nodes[owners.owner_ranking(node.state, "status")[0]]


def others(fleet):
    owner = owner_of(fleet)
    return [n.name for n in fleet.nodes.values() if n is not owner]


def test_all_entries_agree_on_the_owner(fleet):
    rankings = {
        owners.owner_ranking(node.state, "status")
        for node in fleet.nodes.values()
    }
    assert len(rankings) == 1


def test_a_target_never_gets_more_than_its_slots_over_all_entries(fleet):
    fleet.run_seconds = 0.15
    held = collections.Counter()
    peak = collections.Counter()

    def script(effect):
        held[effect.target] += 1
        peak[effect.target] = max(peak[effect.target], held[effect.target])
        fleet.at(fleet.now + 0.15, held.subtract, [effect.target])
        return 0.15, events.AttemptAnswered(effect.attempt, 200)

    fleet.script = script
    for index in range(40):
        name = list(fleet.nodes)[index % 3]
        fleet.at(fleet.now + index * 0.02, fleet.request, name)
    fleet.run_for(3.0)
    assert sum(len(sent) for sent in fleet.sends.values()) >= 30
    assert max(peak.values()) <= 2


def test_probe_connections_are_closed_when_the_target_is_gone(fleet):
    # Otherwise idle connections to all targets ever probed would pile up.
    fleet.change(directory_models.Removal("t0", 0))
    fleet.run_for(0.1)
    assert owner_of(fleet).ended_probes == {"t0"}


def probed_by(fleet, seconds=5.0):
    """Return the number of probes that each probing entry sends."""
    before = {node.name: node.probes for node in fleet.nodes.values()}
    fleet.run_for(seconds)
    sent = {n.name: n.probes - before[n.name] for n in fleet.nodes.values()}
    return {name: count for name, count in sent.items() if count}


def report_ages(fleet):
    """Return the age of the owner's last report of each target."""
    owner = owner_of(fleet)
    dispatcher = owner.state.dispatch.dispatchers["status"]
    return [
        fleet.now - target.reported_at for target in dispatcher.targets.values()
    ]


def create_wide_fleet(entries=4):
    """Create entries and targets in two failure domains."""
    domains = ("boston", "hartford") * (entries // 2)
    fleet = routed_fleet.RoutedFleet(domains)
    for index, domain in enumerate(domains):
        name = f"t{index}"
        fleet.items[name] = routed_fleet.create_target(
            name, failure_domain=domain
        )
    fleet.start()
    fleet.run_for(8.0)
    return fleet


def test_one_entry_of_each_failure_domain_probes_and_not_the_owner():
    fleet = create_wide_fleet()
    probers = probed_by(fleet)
    domains = [
        fleet.nodes[name].state.identity.failure_domain for name in probers
    ]
    assert sorted(domains) == ["boston", "hartford"]
    assert owner_of(fleet).name not in probers
    assert max(report_ages(fleet)) < 0.2


@pytest.mark.parametrize("fault", ["alive", "partitioned"])
def test_a_lost_sampler_is_replaced(fault):
    fleet = create_wide_fleet(6)
    lost = sorted(probed_by(fleet, 1.0))[0]
    # A crash sets `alive` to False; a partition sets `partitioned` to True.
    setattr(fleet.nodes[lost], fault, fault != "alive")
    fleet.run_for(1.0)
    assert max(report_ages(fleet)) < 0.2


def test_an_isolated_owner_samples_by_itself():
    fleet = create_wide_fleet()
    owner = owner_of(fleet)
    for node in fleet.nodes.values():
        node.partitioned = node is not owner
    fleet.run_for(1.5)
    assert max(report_ages(fleet)) < 0.2


def test_entries_that_reach_no_owner_stay_within_the_probe_limit():
    # Guards against overload by probes in a partition: entries whose owner did
    # not reply dispatched by themselves and each probed all targets. The load
    # of 190 probes per target and second kept further owners from replying.
    fleet = routed_fleet.create_fleet(("boston",) * 20, targets=3)
    for node in fleet.nodes.values():
        node.partitioned = True
    for index in range(100):
        name = list(fleet.nodes)[index % 20]
        fleet.at(fleet.now + index * 0.02, fleet.request, name)
    sent = sum(probed_by(fleet, 2.0).values())
    bound = owner_of(fleet).state.dispatch.bounds.probes_per_second
    assert 0 < sent / 2.0 / 3 < bound


def test_entries_without_load_reports_spread_over_the_targets():
    fleet = routed_fleet.create_fleet(("boston",) * 12, targets=6)
    fleet.silent_targets.update(fleet.items)
    for node in fleet.nodes.values():
        node.partitioned = True
        node.state.dispatch.dispatchers.clear()
    for name in list(fleet.nodes):
        fleet.request(name)
    fleet.run_for(1.0)
    peak = max(len(sent) for sent in fleet.sends.values())
    assert sum(len(sent) for sent in fleet.sends.values()) == 12
    assert peak <= 6


def test_services_have_distinct_owners_if_there_are_enough_entries():
    # Guards against an overloaded owner: one entry of a hundred owned two of
    # the three services and did not reply during a burst of requests.
    fleet = routed_fleet.create_fleet(("boston",) * 8)
    routes = [
        routed_fleet.create_route(
            name=f"r{n}",
            prefix=f"/s{n}/",
            shares=(route_models.Share(f"s{n}", 1.0),),
        )
        for n in range(8)
    ]
    fleet.change(table=routed_fleet.create_table(2, *routes))
    fleet.run_for(1.0)
    found = {
        tuple(owners.owner_ranking(node.state, f"s{n}")[0] for n in range(8))
        for node in fleet.nodes.values()
    }
    assert len(found) == 1
    assert len(set(found.pop())) == 8


def test_owners_are_chosen_by_capacity():
    domains = ("boston",) * 10
    fleet = routed_fleet.RoutedFleet(domains)
    large = list(fleet.nodes)[:3]
    for name, node in fleet.nodes.items():
        capacity = 2.0 if name in large else 0.4
        identity = node.state.identity
        node.state.identity = dataclasses.replace(identity, capacity=capacity)
    fleet.start()
    fleet.run_for(5.0)
    node = next(iter(fleet.nodes.values()))
    first = [owners.owner_ranking(node.state, f"s{n}")[0] for n in range(100)]
    assert sum(name in large for name in first) > 90


def test_probes_stay_within_the_limit_of_each_target(fleet):
    before = sum(node.probes for node in fleet.nodes.values())
    fleet.run_for(10.0)
    sent = sum(node.probes for node in fleet.nodes.values()) - before
    allowed = owner_of(fleet).state.dispatch.bounds.probes_per_second
    assert sent / 10.0 / 3 <= allowed


@pytest.mark.parametrize("fault", ["alive", "partitioned"])
def test_a_lost_owner_delays_a_request_only_briefly(fleet, fault):
    requester = others(fleet)[0]
    # A crash sets `alive` to False; a partition sets `partitioned` to True.
    setattr(owner_of(fleet), fault, fault != "alive")
    call = fleet.request(requester)
    fleet.run_for(0.25)
    assert fleet.response(call)[0] == "answer"


def test_an_isolated_entry_dispatches_by_itself(fleet):
    requester = others(fleet)[0]
    fleet.nodes[requester].partitioned = True
    call = fleet.request(requester)
    fleet.run_for(0.4)
    assert fleet.response(call)[0] == "answer"


def test_a_draining_target_gets_no_new_requests(fleet):
    fleet.change(dataclasses.replace(fleet.items["t0"], draining=True))
    fleet.run_for(0.1)
    since = fleet.now
    for index in range(30):
        fleet.at(fleet.now + index * 0.05, fleet.request)
    fleet.run_for(3.0)
    assert all(at < since for at, _, _ in fleet.sends["t0"])


def test_a_granted_target_known_to_be_draining_is_not_used(fleet):
    # The owner has older registrations: it still grants targets that this entry
    # already knows to be draining.
    requester = fleet.nodes[others(fleet)[0]]
    for name in fleet.items:
        known = requester.state.directory.targets[name]
        newer = dataclasses.replace(known, draining=True, revision=99)
        if name != "t2":
            requester.state.directory.targets[name] = newer
    call = fleet.request(requester.name)
    fleet.run_for(1.0)
    assert not fleet.sends["t0"]
    assert not fleet.sends["t1"]
    assert fleet.response(call)[0] == "answer"


def test_a_target_without_probe_replies_gets_no_requests(fleet):
    fleet.silent_targets.add("t0")
    fleet.run_for(1.0)
    since = fleet.now
    for index in range(20):
        fleet.at(fleet.now + index * 0.1, fleet.request)
    fleet.run_for(4.0)
    assert all(at < since for at, _, _ in fleet.sends["t0"])


def test_a_failing_target_gets_few_requests(fleet):
    def script(effect):
        status = 500 if effect.target == "t0" else 200
        return 0.02, events.AttemptAnswered(effect.attempt, status)

    fleet.script = script
    for index in range(100):
        fleet.at(fleet.now + index * 0.05, fleet.request)
    fleet.run_for(6.0)
    assert len(fleet.sends["t0"]) < 15


def test_a_restarted_target_starts_with_fresh_state(fleet):
    owner = owner_of(fleet)
    target = owner.state.dispatch.dispatchers["status"].targets["t0"]
    target.consecutive_errors = 9
    target.open_until = fleet.now + 100.0
    fleet.change(dataclasses.replace(fleet.items["t0"], born=1_700_000))
    fleet.run_for(0.1)
    known = owner.state.dispatch.dispatchers["status"].targets["t0"]
    assert known.consecutive_errors == 0
    assert known.open_until < fleet.now


def test_retries_stay_within_the_budget_over_all_entries():
    # Every target fails every request. Without a budget each request would be
    # sent twice, and impatient callers would raise the rate further.
    fleet = routed_fleet.create_fleet(targets=8)
    fleet.script = lambda effect: (
        0.01,
        events.AttemptAnswered(effect.attempt, 500),
    )
    names = list(fleet.nodes)
    for index in range(1000):
        at = fleet.now + index * 0.02
        fleet.at(at, fleet.request, names[index % 3])
    fleet.run_for(25.0)
    sends = sorted(at for sent in fleet.sends.values() for at, _, _ in sent)
    bounds = owner_of(fleet).state.dispatch.bounds
    for start in range(15):
        since = sends[0] + start
        window = [a for a in sends if since <= a < since + 10.0]
        requests = 500
        allowed = bounds.retry_share * requests + bounds.retry_slack
        assert len(window) - requests <= allowed


def test_a_refusal_tells_whether_the_request_ran(fleet):
    fleet.script = lambda _effect: (5.0, None)
    calls = [fleet.request() for _ in range(40)]
    fleet.run_for(1.2)
    responses = [fleet.response(call) for call in calls]
    assert all(response is not None for response in responses)
    sent = {s[2].call for sends in fleet.sends.values() for s in sends}
    for call, (kind, refusal) in zip(calls, responses, strict=True):
        assert kind == "refused"
        truly_not_run = refusal.outcome is NOT_RUN
        assert truly_not_run == (call not in sent)
        if truly_not_run:
            assert refusal.status == 503
            assert refusal.retry_after > 0
