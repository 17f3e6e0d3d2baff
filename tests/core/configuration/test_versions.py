"""Stateful test of patches under failures.

Whatever the order of patches and failures, active versions only increase, each
version has one content, and no reported outcome contradicts the history.
"""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from tests.core.configuration import operators as helpers

from agateshelf.core.configuration import const
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results
from bench import fleet as fleets

NAMES = fleets.entry_names(5)
SETTLE_SECONDS = 60.0

entries = strategies.sampled_from(NAMES)


class Versions(stateful.RuleBasedStateMachine):
    """Operators and a fleet with failures of the store, network and entries."""

    def __init__(self):
        super().__init__()
        self.fleet = fleets.Fleet(
            random.Random(1), store=helpers.LaggingStore()
        )
        for name in NAMES:
            self.fleet.start(name, NAMES)
        self.fleet.run_for(5.0)
        self.operators = helpers.Operators(self.fleet)
        self.patch_ids = {}
        self.seen = {}
        self.patch_ids[1] = "patch-1"
        self.operators.accept(NAMES[0], 0)

    @stateful.rule(entry=entries, behind=strategies.integers(0, 1))
    def submit(self, entry, behind):
        """Submit a patch for the active version of an entry or the previous."""
        version = self.fleet.nodes[entry].state.cfg.version
        base = max(0, version - behind)
        operation = self.operators.submit(entry, base)
        self.patch_ids[operation] = f"patch-{operation}"

    @stateful.rule(entry=entries, data=strategies.data())
    def submit_again(self, entry, data):
        """Resubmit an earlier patch, possibly to another entry."""
        if not self.patch_ids:
            return
        earlier = data.draw(strategies.sampled_from(sorted(self.patch_ids)))
        version = self.fleet.nodes[entry].state.cfg.version
        patch_id = self.patch_ids[earlier]
        operation = self.operators.submit(entry, version, patch_id=patch_id)
        self.patch_ids[operation] = patch_id

    @stateful.rule(seconds=strategies.sampled_from([0.003, 0.007, 0.011, 3.0]))
    def pass_time(self, seconds):
        self.fleet.run_for(seconds)

    @stateful.rule()
    def pass_answer_timeout(self):
        self.fleet.run_for(const.PATCH_ANSWER_SECONDS + 1.0)

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self.fleet.lose_store_answers = count

    @stateful.rule(entry=entries, steps=strategies.integers(3, 7))
    def cut_off(self, entry, steps):
        """Cut off the store between the steps of a patch."""
        self.fleet.resume(self.fleet.nodes[entry])
        self.fleet.store_unreachable_from.discard(entry)
        self.fleet.store.unavailable = False
        self.fleet.store.past = None
        self.submit(entry, 0)
        self.fleet.run_for(self.fleet.store.latency * steps)
        self.fleet.lose_store_answers = 1
        self.fleet.run_for(self.fleet.store.latency * 2)
        self.fleet.store.unavailable = True
        self.fleet.run_for(const.PATCH_ANSWER_SECONDS + 1.0)

    @stateful.rule(away=strategies.booleans())
    def set_store_outage(self, away):
        self.fleet.store.unavailable = away

    @stateful.rule(away=strategies.sets(entries))
    def set_store_unreachable(self, away):
        self.fleet.store_unreachable_from = away

    @stateful.rule(lag=strategies.booleans())
    def set_stale_reads(self, lag):
        store = self.fleet.store
        store.past = store.backend.snapshot() if lag else None

    @stateful.rule(side=strategies.sets(entries))
    def partition(self, side):
        self.fleet.partitioned = lambda a, b: (a in side) != (b in side)

    @stateful.rule(entry=entries)
    def pause_or_resume(self, entry):
        node = self.fleet.nodes[entry]
        if node.paused:
            self.fleet.resume(node)
        else:
            self.fleet.pause(node)

    @stateful.rule(entry=entries)
    def restart(self, entry):
        self.fleet.start(entry, NAMES)

    @stateful.invariant()
    def versions_only_increase(self):
        for node in self.fleet.nodes.values():
            order = [version for _, version in node.adopted]
            assert order == sorted(set(order))

    @stateful.invariant()
    def each_version_has_one_content(self):
        for node in self.fleet.nodes.values():
            active = node.state.configuration.active
            if active is not None:
                assert active.version == node.state.cfg.version
                digest = self.seen.setdefault(active.version, active.digest)
                assert digest == active.digest

    def teardown(self):
        """End all failures; then all entries agree with the history."""
        fleet = self.fleet
        fleet.store.unavailable = False
        fleet.store.past = None
        fleet.store_unreachable_from = set()
        fleet.lose_store_answers = 0
        fleet.partitioned = lambda _a, _b: False
        for node in fleet.nodes.values():
            fleet.resume(node)
        fleet.run_for(SETTLE_SECONDS)
        self.versions_only_increase()
        self.each_version_has_one_content()
        self.check_against_history()

    def check_against_history(self):
        chain = read_history(self.fleet)
        version_of = {record.patch_id: record.version for record in chain}
        assert len(version_of) == len(chain)
        assert helpers.versions(self.fleet) == {len(chain)}
        sent = collections.Counter(self.patch_ids.values())
        for operation, patch_id in self.patch_ids.items():
            result = self.operators.result(operation)
            version = version_of.get(patch_id)
            check_answer(result, version, again=sent[patch_id] > 1)


def read_history(fleet):
    """Return the accepted records of the store's history, newest first."""
    keys = fleet.store.backend
    entry = keys.get(const.KEY_HEAD, now=fleet.now)
    if entry is None:
        return []
    head = records.decode_head(entry.value)
    found, _ = keys.range(const.KEY_HISTORY_PREFIX, now=fleet.now)
    decoded = [records.decode_history(e.value) for e in found]
    chain = records.accepted_history(head, decoded)
    assert [r.version for r in chain] == list(range(head.version, 0, -1))
    return chain


def check_answer(result, version, *, again):
    """Check the result reported to an operator against the history.

    A patch that was refused may be accepted when it is submitted again.
    """
    match result:
        case results.Accepted() | results.AlreadyAccepted():
            assert result.version == version
        case results.VersionConflict() | results.Refused():
            assert again or version is None
        case _:
            # The outcome is unknown, or the entry was replaced before it
            # answered: there is no claim to check.
            pass


Versions.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestVersions = Versions.TestCase
