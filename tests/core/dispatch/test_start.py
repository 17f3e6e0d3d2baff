"""A fleet that starts at once, in virtual time.

Guards against entries that each had all targets probed: an entry that has just
started sees itself as the owner of all services.
"""

import collections

import pytest
from tests.core import routed_fleet


class StartingFleet(routed_fleet.RoutedFleet):
    """A fleet that counts the probes of each target."""

    def __init__(self, entries, targets):
        domains = ("boston", "hartford", "portland", "providence")
        super().__init__([domains[n % 4] for n in range(entries)])
        self.probed = collections.Counter()
        for index in range(targets):
            name = f"t{index}"
            self.items[name] = routed_fleet.create_target(
                name,
                address=f"10.9.{index}.1:80",
                failure_domain=domains[index % 4],
            )

    def _probe(self, node, effect):
        self.probed[effect.target] += 1
        super()._probe(node, effect)


@pytest.mark.parametrize("entries", [13, 60])
def test_probes_at_the_start_do_not_grow_with_the_fleet(entries):
    fleet = StartingFleet(entries, targets=8)
    for node in fleet.nodes.values():
        # The store answers before the other processes listen.
        node.partitioned = True
    fleet.start()
    fleet.run_for(0.5)
    for node in fleet.nodes.values():
        node.partitioned = False
    fleet.run_for(3.5)
    # One sampler a failure domain, ten probes a second.
    assert max(fleet.probed.values()) <= 4.0 * 10 * 1.3


def test_a_lone_entry_samples_soon():
    fleet = StartingFleet(1, targets=4)
    fleet.start()
    fleet.run_for(3.0)
    assert min(fleet.probed.values()) >= 5
