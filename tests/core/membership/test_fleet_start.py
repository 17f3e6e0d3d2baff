"""A large fleet that starts at once: when do all entries know each other?

Guards against incident SHORT: owners and counters didn't answer entries that
they had not heard of, for many seconds after a start.
"""

import random

import pytest
from tests.core import routed_fleet

from agateshelf.core import events
from agateshelf.core.membership import messages
from agateshelf.core.membership import models

ENTRIES = 100
SEEDS = 3
START_SECONDS = 0.5


class StartingFleet(routed_fleet.RoutedFleet):
    """A fleet whose first messages on each connection take longer.

    Attributes:
        connect_seconds: Delay of the first message from one entry to another.
        lost_share: Share of the pages of a state sync that are lost.
        connected: Pairs of entries that have exchanged a message.
    """

    def __init__(self, connect_seconds, lost_share=0.0, seed=1):
        super().__init__([f"domain-{n % 3}" for n in range(ENTRIES)], seed)
        self.connect_seconds = connect_seconds
        self.lost_share = lost_share
        self.rng = random.Random(seed)
        self.connected = set()
        self.items["t0"] = routed_fleet.create_target("t0")
        for node in self.nodes.values():
            node.alive = False

    def start_together(self):
        """Start all entries within half a second, the seeds first."""
        seeds = tuple(
            models.Seed(name, name) for name in list(self.nodes)[:SEEDS]
        )
        for number, node in enumerate(self.nodes.values()):
            at = self.now + START_SECONDS * number / ENTRIES
            self.at(at, self._boot, node, seeds)

    def _boot(self, node, seeds):
        node.alive = True
        started = events.Started(
            1,
            node.name,
            seeds,
            has_store=False,
            has_feed=True,
            unix_time=self.now,
        )
        self.post(node, started)

    def _deliver(self, sender, peer, message):
        is_page = isinstance(message, messages.SyncPage)
        if is_page and self.rng.random() < self.lost_share:
            return
        if (sender.name, peer) in self.connected:
            super()._deliver(sender, peer, message)
            return
        self.connected.add((sender.name, peer))
        at = self.now + self.connect_seconds
        self.at(at, super()._deliver, sender, peer, message)

    def known(self):
        """Return how many others each entry believes to be live."""
        return [
            sum(
                one.status is models.Status.LIVE
                for one in node.state.membership.members.values()
            )
            for node in self.nodes.values()
        ]


# The users' bounds: a machine that starts has caught up after 6 s, and what was
# lost is served again 15 s after the fault.
@pytest.mark.parametrize(("lost_share", "seconds"), [(0.0, 6.0), (0.5, 15.0)])
@pytest.mark.parametrize("connect_seconds", [0.002, 0.08, 0.2])
def test_entries_that_start_together_know_each_other_soon(
    connect_seconds, lost_share, seconds
):
    fleet = StartingFleet(connect_seconds, lost_share)
    fleet.start_together()
    fleet.run_for(START_SECONDS + seconds)
    assert min(fleet.known()) == ENTRIES - 1
