"""Services of so many targets that several owners share them.

Guards against an owner that falls behind: on `scale-1` of the cooperative's
grown deployment all entries took the two owners for silent.
"""

import collections
import dataclasses

import pytest
from tests.core import routed_fleet

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import owners
from agateshelf.core.dispatch import pools

DOMAINS = ("boston", "hartford", "portland", "providence")


def create_fleet(targets, entries=12):
    fleet = routed_fleet.RoutedFleet([DOMAINS[n % 4] for n in range(entries)])
    for index in range(targets):
        name = f"t{index}"
        fleet.items[name] = routed_fleet.create_target(
            name,
            address=f"10.9.{index}.1:80",
            failure_domain=DOMAINS[index % 4],
        )
    fleet.start()
    fleet.run_for(8.0)
    return fleet


def any_state(fleet):
    return next(n for n in fleet.nodes.values() if n.alive).state


@pytest.mark.parametrize(
    ("targets", "count"), [(0, 1), (32, 1), (33, 2), (64, 2), (65, 4)]
)
def test_a_pool_has_a_bounded_number_of_targets(targets, count):
    fleet = create_fleet(targets, entries=1)
    state = any_state(fleet)
    names = pools.names_of(state, "status")
    assert len(names) == count
    found = [t for name in names for t in pools.targets_in(state, name)]
    assert sorted(found) == sorted(fleet.items)


def test_a_small_service_is_its_own_pool():
    fleet = create_fleet(8, entries=1)
    assert pools.names_of(any_state(fleet), "status") == ["status"]
    assert pools.choose(any_state(fleet), "status") == "status"


def test_all_entries_agree_on_distinct_owners():
    fleet = create_fleet(100)
    names = pools.names_of(any_state(fleet), "status")
    chosen = {
        name: {
            owners.owner_ranking(node.state, name)[0]
            for node in fleet.nodes.values()
        }
        for name in names
    }
    assert all(len(entries) == 1 for entries in chosen.values())
    assert len(set.union(*chosen.values())) == len(names) == 4


def test_requests_reach_the_targets_of_all_pools_within_their_slots():
    fleet = create_fleet(100)
    fleet.run_seconds = 0.2
    for number in range(600):
        name = list(fleet.nodes)[number % 12]
        fleet.at(fleet.now + number / 300, fleet.request, name)
    fleet.run_for(4.0)
    answered = [
        response
        for node in fleet.nodes.values()
        for response in node.responses.values()
    ]
    assert len(answered) == 600
    assert all(kind == "answer" for kind, _ in answered)
    used = [target for target, sends in fleet.sends.items() if sends]
    assert len(used) > 60
    for sends in fleet.sends.values():
        times = [at for at, _, _ in sends]
        for at in times:
            assert sum(at - 0.2 < other <= at for other in times) <= 2


def test_each_target_is_probed_by_one_sampler():
    fleet = create_fleet(100)
    probed = collections.Counter()
    probe = fleet._probe

    def count(node, effect):
        probed[effect.target] += 1
        probe(node, effect)

    fleet._probe = count
    fleet.run_for(2.0)
    assert len(probed) == 100
    assert max(probed.values()) <= 2.0 / const.PROBE_INTERVAL_SECONDS * 1.3


def test_a_service_that_grows_is_divided_and_goes_on():
    fleet = create_fleet(30)
    for index in range(30, 50):
        fleet.change(
            routed_fleet.create_target(
                f"t{index}", address=f"10.9.{index}.1:80"
            )
        )
        calls = [fleet.request(name) for name in fleet.nodes]
        fleet.run_for(0.5)
        assert all(fleet.response(call)[0] == "answer" for call in calls)
    assert len(pools.names_of(any_state(fleet), "status")) == 2
    fleet.run_for(5.0)
    probes = sum(node.probes for node in fleet.nodes.values())
    fleet.run_for(1.0)
    more = sum(node.probes for node in fleet.nodes.values()) - probes
    assert more <= 50 / const.PROBE_INTERVAL_SECONDS * 1.3


def test_a_lost_owner_of_a_pool_is_replaced():
    fleet = create_fleet(100)
    name = pools.names_of(any_state(fleet), "status")[0]
    owner = owners.owner_ranking(any_state(fleet), name)[0]
    fleet.kill(owner)
    alive = [n.name for n in fleet.nodes.values() if n.alive]
    calls = [fleet.request(one) for one in alive for _ in range(4)]
    fleet.run_for(1.0)
    assert all(fleet.response(call)[0] == "answer" for call in calls)


def test_a_drained_target_gets_nothing_from_its_pool():
    fleet = create_fleet(100)
    fleet.change(dataclasses.replace(fleet.items["t0"], draining=True))
    fleet.run_for(1.0)
    began = fleet.now
    for name in fleet.nodes:
        for _ in range(10):
            fleet.request(name)
    fleet.run_for(1.0)
    assert not [at for at, _, _ in fleet.sends["t0"] if at > began]
