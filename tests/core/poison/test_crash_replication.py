"""Tests of the replication of crashes over all entries, in virtual time.

An entry that was away or starts holds all crashes within CATCH_UP_SECONDS of
its first contact, well before the platform counts its sends after 3 s.
"""

import pytest
from tests.core import crash_fleet
from tests.core import routed_fleet

from agateshelf.core import events
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import models
from agateshelf.core.poison import records

CATCH_UP_SECONDS = 2.0
DOMAINS = ("boston", "hartford", "portland", "providence")
SEEDS = range(1, 9)


def create_fleet(entries, seed=1):
    domains = [DOMAINS[number % len(DOMAINS)] for number in range(entries)]
    return crash_fleet.CrashFleet(
        crash_fleet.Ending.REFUSED, domains, targets=4, seed=seed
    )


def crash_targets(fleet, name):
    """Withhold the marked request at an entry, by crashes that it sees."""
    fleet.send_marked(name)
    fleet.run_for(1.0)
    assert fleet.withholds_marked(fleet.nodes[name])


def assert_all_withhold(fleet):
    unaware = [
        node.name
        for node in fleet.nodes.values()
        if not fleet.withholds_marked(node)
    ]
    assert unaware == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", [2, 3, 13])
def test_an_entry_that_restarts_catches_up(entries, seed):
    fleet = create_fleet(entries, seed)
    first, *_, last = fleet.nodes
    crash_targets(fleet, first)
    fleet.kill(last)
    fleet.run_for(0.3)
    fleet.restart(last)
    fleet.run_for(CATCH_UP_SECONDS)
    assert_all_withhold(fleet)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("away_seconds", [1.5, 5.0, 20.0])
@pytest.mark.parametrize("entries", [2, 3, 13])
def test_an_entry_that_was_cut_off_catches_up(entries, away_seconds, seed):
    fleet = create_fleet(entries, seed)
    first, *_, last = fleet.nodes
    fleet.nodes[last].partitioned = True
    crash_targets(fleet, first)
    fleet.run_for(away_seconds)
    fleet.nodes[last].partitioned = False
    fleet.run_for(CATCH_UP_SECONDS)
    assert_all_withhold(fleet)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("away_seconds", [1.5, 5.0, 20.0])
@pytest.mark.parametrize("entries", [4, 13])
def test_both_sides_of_a_partition_catch_up(entries, away_seconds, seed):
    fleet = create_fleet(entries, seed)
    names = list(fleet.nodes)
    fleet.side = set(names[: entries // 2])
    crash_targets(fleet, names[0])
    fleet.run_for(away_seconds)
    fleet.side = set()
    fleet.run_for(CATCH_UP_SECONDS)
    assert_all_withhold(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_entry_that_joins_catches_up(seed):
    fleet = create_fleet(13, seed)
    crash_targets(fleet, next(iter(fleet.nodes)))
    fleet.add("10.0.0.99:7000")
    fleet.run_for(CATCH_UP_SECONDS)
    assert_all_withhold(fleet)


def test_crashes_seen_on_both_sides_of_a_partition_add_up():
    fleet = create_fleet(4)
    names = list(fleet.nodes)
    route = routed_fleet.create_route(max_attempts=1)
    fleet.change(table=routed_fleet.create_table(2, route))
    fleet.run_for(1.0)
    fleet.side = set(names[:2])
    for name in (names[0], names[2]):
        fleet.send_marked(name)
        fleet.run_for(1.0)
    assert len(fleet.crashes) == 2
    assert not any(map(fleet.withholds_marked, fleet.nodes.values()))
    fleet.side = set()
    fleet.run_for(CATCH_UP_SECONDS)
    assert_all_withhold(fleet)


def test_without_crashes_no_reports_are_sent():
    fleet = create_fleet(13)
    for name in fleet.nodes:
        fleet.request(name)
    fleet.run_for(20.0)
    assert fleet.messages["CrashReports"] == 0


def test_the_cost_of_a_crash_is_a_message_to_each_entry():
    fleet = create_fleet(13)
    crash_targets(fleet, next(iter(fleet.nodes)))
    fleet.run_for(20.0)
    others = len(fleet.nodes) - 1
    # Pings that cross the reports carry the old digest, and are answered with
    # all crashes once more.
    assert fleet.messages["CrashReports"] <= 2 * len(fleet.crashes) * others
    per_entry = fleet.report_bytes / len(fleet.nodes)
    assert per_entry <= 200 * len(fleet.crashes)


def test_crashes_expire_everywhere_and_cause_no_more_messages():
    fleet = create_fleet(3)
    crash_targets(fleet, next(iter(fleet.nodes)))
    fleet.run_for(602.0)
    before = fleet.messages["CrashReports"]
    fleet.run_for(60.0)
    assert fleet.messages["CrashReports"] == before
    for node in fleet.nodes.values():
        assert records.digest(node.state, fleet.now) == 0
        assert not node.state.poison.suspects


def test_entries_agree_on_a_request_with_more_crashes_than_are_kept():
    # Entries that kept different crashes would report the rest without end.
    fleet = create_fleet(4)
    names = list(fleet.nodes)
    for number in range(3 * const.MAX_CRASHES_PER_SUSPECT):
        node = fleet.nodes[names[number % len(names)]]
        report = messages.CrashReport(
            b"f", f"t{number}", number, "", models.Status.CONFIRMED, 600.0
        )
        message = messages.CrashReports((report,), complete=True)
        fleet.post(node, events.PeerMessageReceived("10.0.0.98:1", message))
    fleet.run_for(30.0)
    digests = {
        records.digest(node.state, fleet.now) for node in fleet.nodes.values()
    }
    assert len(digests) == 1
    before = fleet.messages["CrashReports"]
    fleet.run_for(30.0)
    assert fleet.messages["CrashReports"] == before


def test_entries_with_more_crashes_than_fit_do_not_flood_each_other(
    monkeypatch,
):
    monkeypatch.setattr(const, "MAX_SUSPECTS", 10)
    fleet = create_fleet(4)
    names = list(fleet.nodes)
    for number in range(80):
        node = fleet.nodes[names[number % len(names)]]
        report = messages.CrashReport(
            b"f%d" % number, "t", 1, "", models.Status.CONFIRMED, 600.0
        )
        message = messages.CrashReports((report,), complete=True)
        fleet.post(node, events.PeerMessageReceived("10.0.0.98:1", message))
    fleet.run_for(30.0)
    before = fleet.messages["CrashReports"]
    fleet.run_for(30.0)
    assert fleet.messages["CrashReports"] == before


def test_a_report_of_an_unknown_status_is_ignored():
    fleet = create_fleet(2)
    node = next(iter(fleet.nodes.values()))
    for status in (-1, 7):
        report = messages.CrashReport(b"f", "t", 1, "", status, 600.0)
        message = messages.CrashReports((report,))
        fleet.post(node, events.PeerMessageReceived("10.0.0.98:1", message))
    assert not node.state.poison.suspects
