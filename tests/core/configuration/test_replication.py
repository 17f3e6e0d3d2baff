"""Tests of replication: versions reach all entries and never decrease."""

import copy
import random
import zlib

import msgspec
from tests.core.configuration import operators as helpers

from agateshelf.core import events
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content
from agateshelf.core.configuration import messages
from agateshelf.core.configuration import models
from agateshelf.core.configuration import records
from agateshelf.core.configuration import results


def test_only_watchers_send_requests_to_the_store(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.store_calls.clear()
    fleet.run_for(120.0)
    assert len(fleet.store_calls) == const.WATCHER_COUNT
    assert sum(fleet.store_calls.values()) < 120.0


def test_watchers_find_a_head_written_by_another_process(fleet, operators):
    operators.accept("entry-0", 0)
    entry = fleet.store.backend.get(const.KEY_HEAD, now=fleet.now)
    head = records.decode_head(entry.value)
    new = content.create_content(2, [content.Part("services/a", b"2")])
    keys = fleet.store.backend
    key = records.part_key(new.manifest["services/a"])
    keys.put(key, b"2", if_version=0, now=fleet.now)
    value = records.encode_head(records.next_head(head, new, "by-hand"))
    keys.put(const.KEY_HEAD, value, if_version=entry.version, now=fleet.now)
    fleet.run_for(const.WATCH_SECONDS + 5.0)
    assert helpers.versions(fleet) == {2}


def test_new_entry_gets_configuration_from_peers_during_an_outage(
    fleet, operators
):
    operators.accept("entry-0", 0)
    fleet.begin_outage()
    fleet.run_for(300.0)
    assert helpers.versions(fleet) == {1}
    node = fleet.start("entry-8", ["entry-2"])
    fleet.run_for(5.0)
    assert node.state.cfg.version == 1
    assert node.state.configuration.active.parts


def test_new_entry_has_no_version_if_no_peer_has_one(fleet):
    fleet.begin_outage()
    node = fleet.start("entry-8", ["entry-2"])
    fleet.run_for(60.0)
    assert node.state.cfg.version == 0


def test_store_requests_stay_bounded_after_an_outage(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.begin_outage()
    fleet.store_calls.clear()
    fleet.run_for(600.0)
    assert sum(fleet.store_calls.values()) < 300
    fleet.store.unavailable = False
    fleet.store_calls.clear()
    fleet.run_for(60.0)
    assert sum(fleet.store_calls.values()) < 60.0


def test_all_entries_replaced_during_an_outage_keep_the_version(
    fleet, operators
):
    operators.accept("entry-0", 0)
    fleet.begin_outage()
    names = sorted(fleet.nodes)
    for name in names:
        fleet.nodes[name].alive = False
        fleet.start(name, [n for n in names if n != name][:3])
        fleet.run_for(5.0)
    assert helpers.versions(fleet) == {1}


def roll_back(fleet, saved):
    """Roll the store back to a saved state."""
    fleet.store.backend = saved


def test_rolled_back_store_does_not_lower_the_active_version(fleet, operators):
    operators.accept("entry-0", 0)
    saved = copy.deepcopy(fleet.store.backend)
    operators.accept("entry-0", 1)
    roll_back(fleet, saved)
    fleet.run_for(60.0)
    assert helpers.versions(fleet) == {2}
    assert fleet.counts["configuration.store_lower"]
    operation = operators.submit("entry-3", 2)
    fleet.run_for(const.PATCH_ANSWER_SECONDS + 1)
    assert "lower than the active" in operators.result(operation).detail
    node = fleet.start("entry-9", ["entry-2"])
    fleet.run_for(30.0)
    assert node.state.cfg.version == 2


def test_republish_restores_the_active_version_in_the_store(fleet, operators):
    operators.accept("entry-0", 0)
    saved = copy.deepcopy(fleet.store.backend)
    operators.accept("entry-0", 1)
    roll_back(fleet, saved)
    republish = events.RepublishRequested
    answer = operators.query("entry-3", republish, "again", "ann", "lost", 1.0)
    assert answer.result == results.Accepted(2)
    assert operators.accept("entry-5", 2) == results.Accepted(3)
    assert helpers.versions(fleet) == {3}


def test_republish_is_refused_if_the_head_is_not_lower(operators):
    operators.accept("entry-0", 0)
    republish = events.RepublishRequested
    answer = operators.query("entry-3", republish, "again", "ann", "why", 1.0)
    assert isinstance(answer.result, results.Refused)


def test_healed_partition_converges_to_the_highest_version(fleet, operators):
    operators.accept("entry-0", 0)
    side = {"entry-0", "entry-1", "entry-2"}
    fleet.partitioned = lambda a, b: (a in side) != (b in side)
    fleet.store_unreachable_from = set(fleet.nodes) - side
    operators.accept("entry-0", 1)
    fleet.run_for(60.0)
    assert helpers.versions(fleet) == {1, 2}
    fleet.partitioned = lambda _a, _b: False
    fleet.run_for(30.0)
    assert helpers.versions(fleet) == {2}


def test_paused_watcher_does_not_overwrite_newer_versions(fleet, operators):
    operators.accept("entry-0", 0)
    paused = fleet.nodes["entry-0"]
    operators.submit("entry-0", 1)
    fleet.run_for(fleet.store.latency * 3)
    fleet.pause(paused)
    for base in (1, 2):
        operators.accept("entry-4", base)
    fleet.resume(paused)
    fleet.run_for(60.0)
    assert helpers.versions(fleet) == {3}
    assert operators.lookup("entry-0", "patch-4") == results.Accepted(3)


def test_version_that_fails_validation_is_not_activated(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.invalid_versions = {("entry-3", 2)}
    operators.accept("entry-0", 1)
    assert fleet.nodes["entry-3"].state.cfg.version == 1
    assert fleet.counts["configuration.invalid"] == 1
    operators.accept("entry-0", 2)
    assert fleet.nodes["entry-3"].state.cfg.version == 3


# Encoded changes to a content whose only part is services/a with the value 9.
CHANGES = b"\x92\x90\x91\x82\xa4name\xaaservices/a\xa5value\xc4\x019"


def test_late_validation_does_not_lower_the_active_version(fleet, operators):
    operators.accept("entry-0", 0)
    operators.accept("entry-0", 1)
    outdated = events.ConfigurationRead(models.Configuration(1, {}))
    fleet.post(fleet.nodes["entry-0"], outdated)
    assert fleet.nodes["entry-0"].state.cfg.version == 2


def chunk_for(node, peer, **changes):
    """Return a chunk that answers the current content request of an entry."""
    fresh = content.create_content(9, [content.Part("services/a", b"9")])
    chunk = messages.ContentChunk(
        number=node.state.configuration.pull.serial,
        version=9,
        digest=fresh.digest,
        base_version=0,
        chunk=0,
        chunks=1,
        data=zlib.compress(CHANGES),
    )
    return events.PeerMessageReceived(
        peer, msgspec.structs.replace(chunk, **changes)
    )


def test_content_with_wrong_digest_is_ignored(fleet, operators):
    operators.accept("entry-0", 0)
    node = fleet.nodes["entry-0"]
    faults = (
        {"digest": "0"},
        {"data": b"\xff"},
        {"data": zlib.compress(CHANGES[:-1])},
        {"base_version": 7},
    )
    for changes in faults:
        fleet.post(node, events.PeerVersionReported("entry-1", 9))
        fleet.post(node, chunk_for(node, "entry-1", **changes))
        fleet.run_for(0.0)
        assert node.state.cfg.version == 1
    fleet.post(node, events.PeerVersionReported("entry-1", 9))
    fleet.post(node, chunk_for(node, "entry-2"))
    fleet.run_for(0.0)
    assert node.state.cfg.version == 1
    fleet.post(node, chunk_for(node, "entry-1"))
    fleet.run_for(0.0)
    assert node.state.cfg.version == 9


def test_large_content_is_transferred_in_chunks(fleet, operators):
    letters = random.Random(1).choices("0123456789abcdef", k=200_000)
    value = "".join(letters)
    operators.submit("entry-0", 0, value=value)
    fleet.run_for(8.0)
    assert helpers.versions(fleet) == {1}
    active = fleet.nodes["entry-7"].state.configuration.active
    assert active.parts["services/a"].value == value.encode()
