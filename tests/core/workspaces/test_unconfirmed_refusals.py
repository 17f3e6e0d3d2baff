"""Requests for what only newer routes have, at entries without these routes.

Guards against 404 and 401 for routes and keys that have been in force for
longer than a change may take, by entries that don't know how old theirs are.
"""

import pytest
from tests.core.feed import linked_fleet

from agateshelf.core import events
from agateshelf.core import positions
from agateshelf.core.feed import messages
from agateshelf.core.feed import models

NEWS = (messages.FeedHeartbeat, messages.FeedUpdate)
FINAL = (401, 404)
# Time within which any request here has its response.
RESPONSE_SECONDS = 1.2


class NewsFleet(linked_fleet.LinkedFleet):
    """A fleet in which news of routes is late at some entries.

    Attributes:
        late: Seconds by which all news is late, by recipient.
        stale: Entries whose stale reads of routes show those before.
        compacted: Whether the store has dropped its history.
    """

    def __init__(self, seconds=5.0):
        self.late = {}
        self.stale = set()
        self.compacted = False
        self.before = None
        self.stale_reads = set()
        self.lease = seconds
        super().__init__(9)

    def post(self, node, event):
        answer = getattr(event, "answer", None)
        is_stale = (node.name, getattr(event, "request", 0)) in self.stale_reads
        if is_stale and isinstance(answer, models.Snapshot) and answer.table:
            event = events.FeedAnswered(event.request, self.before)
            self.stale_reads.discard((node.name, event.request))
        if self.compacted and isinstance(answer, models.Changes):
            event = events.FeedAnswered(event.request, models.HistoryGone())
        self.seconds = self.lease
        super().post(node, event)

    def apply(self, node, effect):
        if getattr(effect, "stale", False) and node.name in self.stale:
            self.stale_reads.add((node.name, effect.request))
        super().apply(node, effect)

    def _deliver(self, sender, peer, message):
        seconds = self.late.get(peer, 0.0)
        if seconds and isinstance(message, NEWS):
            deliver = super()._deliver
            self.at(self.now + seconds, deliver, sender, peer, message)
            return
        super()._deliver(sender, peer, message)

    def write_next(self):
        """Write the next version; stale reads show the one before."""
        self.before = models.Snapshot(self.revision, self._stored_table())
        version = self.table.version + 1
        self.write_version(version)
        return version

    def ask(self, name, version):
        """Request a route, with a key, that only a version has."""
        first = self.request(
            name,
            path=f"/version-{version}/1",
            key_digest=linked_fleet.digest_of(f"key-{version}"),
        )
        second = self.request(
            name, key_digest=linked_fleet.digest_of(f"key-{version}")
        )
        return [first, second]


def refuse_finally(fleet, call):
    kind, refusal = fleet.response(call)
    return kind == "refused" and refusal.status in FINAL


def readers(fleet):
    return [n for n, node in fleet.nodes.items() if node.state.feed.is_reader]


def late_news(fleet, name):
    fleet.late[name] = 4.0


def lost_readers(fleet, name):
    for reader in readers(fleet):
        if reader != name:
            fleet.nodes[reader].alive = False
    late_news(fleet, name)


def only_peers(fleet, name):
    fleet.turned_away = {name}
    late_news(fleet, name)


def started_late(fleet, name):
    only_peers(fleet, name)
    fleet.at(fleet.now + 1.5, fleet.restart, name)


def stale_start(fleet, name):
    fleet.stale = {name}
    late_news(fleet, name)
    fleet.at(fleet.now + 2.3, fleet.restart, name)


def compacted(fleet, name):
    fleet.compacted = True
    late_news(fleet, name)


def restored(fleet, name):
    # The store's copy is one version old; the operator repeats the change.
    era = positions.era_of(fleet.revision) + 1
    fleet.revision = positions.position_of(era, fleet.revision)
    late_news(fleet, name)


SHAPES = [
    late_news,
    lost_readers,
    only_peers,
    started_late,
    stale_start,
    compacted,
    restored,
]


@pytest.mark.parametrize("lease", [5.0, None])
@pytest.mark.parametrize("shape", SHAPES)
def test_late_entries_refuse_no_new_route_or_key_for_good(shape, lease):
    fleet = NewsFleet(lease)
    name = next(n for n in reversed(fleet.nodes) if n not in readers(fleet))
    shape(fleet, name)
    version = fleet.write_next()
    fleet.run_for(linked_fleet.IN_FORCE_SECONDS)
    calls = []
    for _ in range(12):
        calls += fleet.ask(name, version)
        fleet.run_for(0.1)
    fleet.run_for(RESPONSE_SECONDS)
    assert all(fleet.response(call) for call in calls)
    assert not [call for call in calls if refuse_finally(fleet, call)]


@pytest.mark.parametrize("lease", [5.0, None])
def test_informed_entries_refuse_what_no_version_has_at_once(lease):
    fleet = NewsFleet(lease)
    for name in fleet.nodes:
        unknown = fleet.ask(name, 99)
        fleet.run_for(0.1)
        assert all(refuse_finally(fleet, call) for call in unknown)


def test_an_entry_that_is_cut_off_refuses_nothing_for_good():
    fleet = NewsFleet()
    name = list(fleet.nodes)[-1]
    node = fleet.nodes[name]
    node.partitioned = node.store_silent = True
    fleet.run_for(linked_fleet.IN_FORCE_SECONDS)
    calls = fleet.ask(name, 99)
    fleet.run_for(RESPONSE_SECONDS)
    for call in calls:
        _, refusal = fleet.response(call)
        assert refusal.status == 503
        assert refusal.retry_after


def test_entries_that_wait_for_news_ask_few_others():
    fleet = NewsFleet()
    name = list(fleet.nodes)[-1]
    fleet.kinds.clear()
    calls = []
    for _ in range(200):
        calls += fleet.ask(name, 99)
        fleet.run_for(0.01)
    fleet.run_for(RESPONSE_SECONDS)
    assert all(refuse_finally(fleet, call) for call in calls)
    assert fleet.kinds["FeedRequest"] < 40
