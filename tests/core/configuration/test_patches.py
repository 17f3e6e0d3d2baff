"""Tests of patches: one winner a version, and only truthful answers."""

import pytest
from tests.core.configuration import operators as helpers

from agateshelf.core import events
from agateshelf.core.configuration import const
from agateshelf.core.configuration import results


def test_a_patch_is_in_force_everywhere(fleet, operators):
    assert operators.accept("entry-0", 0) == results.Accepted(1)
    assert operators.accept("entry-5", 1) == results.Accepted(2)
    assert helpers.versions(fleet) == {2}


@pytest.mark.parametrize("count", [2, 20])
def test_of_racing_patches_exactly_one_wins(fleet, operators, count):
    operators.accept("entry-0", 0)
    racing = [operators.submit(f"entry-{n % 8}", 1) for n in range(count)]
    fleet.run_for(8.0)
    told = [operators.result(operation) for operation in racing]
    assert told.count(results.Accepted(2)) == 1
    assert told.count(results.VersionMoved(2)) == count - 1
    assert helpers.versions(fleet) == {2}


def test_a_patch_for_an_old_version_is_told_the_present_one(operators):
    operators.accept("entry-0", 0)
    operators.accept("entry-0", 1)
    assert operators.accept("entry-3", 1) == results.VersionMoved(2)


def test_the_answer_lost_after_the_write_is_accepted_truthfully(
    fleet, operators
):
    operators.accept("entry-0", 0)
    operation = operators.submit("entry-0", 1)
    # The swap of the head is the third write, after part and history.
    fleet.run_for(fleet.store.latency * 5)
    fleet.lose_store_answers = 1
    fleet.run_for(12.0)
    assert fleet.lose_store_answers == 0
    assert operators.result(operation) == results.Accepted(2)
    assert helpers.versions(fleet) == {2}


def test_a_loser_without_an_answer_is_not_told_it_won(fleet, operators):
    operators.accept("entry-0", 0)
    first = operators.submit("entry-0", 1)
    fleet.run_for(fleet.store.latency * 5)
    fleet.store_away_at = {"entry-0"}
    second = operators.submit("entry-1", 1)
    fleet.run_for(1.0)
    fleet.store_away_at = set()
    fleet.run_for(12.0)
    told = {operators.result(first), operators.result(second)}
    assert told == {results.Accepted(2), results.VersionMoved(2)}


def test_store_that_stays_away_after_the_swap_is_not_known_yet(
    fleet, operators
):
    operators.accept("entry-0", 0)
    operation = operators.submit("entry-0", 1, patch_id="lost")
    fleet.run_for(fleet.store.latency * 5)
    fleet.lose_store_answers = 1
    fleet.run_for(fleet.store.latency * 2)
    fleet.store.away = True
    fleet.run_for(const.PATCH_ANSWER_SECONDS + 1)
    assert operators.result(operation) == results.NotKnownYet("lost")
    assert operators.lookup("entry-3", "lost") == results.NotKnownYet("lost")
    fleet.store.away = False
    fleet.run_for(40.0)
    assert operators.lookup("entry-3", "lost") == results.Accepted(2)
    assert helpers.versions(fleet) == {2}


def test_store_away_from_the_start_refuses_and_changes_nothing(
    fleet, operators
):
    operators.accept("entry-0", 0)
    fleet.store.away = True
    operation = operators.submit("entry-0", 1)
    fleet.run_for(const.PATCH_ANSWER_SECONDS + 1)
    assert isinstance(operators.result(operation), results.Refused)
    fleet.store.away = False
    fleet.run_for(60.0)
    assert helpers.versions(fleet) == {1}


def test_the_same_patch_sent_again_is_recognised(fleet, operators):
    operators.accept("entry-0", 0)
    operators.submit("entry-0", 1, patch_id="same")
    fleet.run_for(8.0)
    for entry in ("entry-0", "entry-4"):
        again = operators.submit(entry, 1, patch_id="same")
        fleet.run_for(8.0)
        assert operators.result(again) == results.AlreadyAccepted(2)
    assert helpers.versions(fleet) == {2}


def test_the_same_patch_sent_twice_at_once_is_applied_once(fleet, operators):
    operators.accept("entry-0", 0)
    both = [
        operators.submit(entry, 1, patch_id="same")
        for entry in ("entry-0", "entry-4")
    ]
    fleet.run_for(8.0)
    accepted = (results.Accepted(2), results.AlreadyAccepted(2))
    assert all(operators.result(operation) in accepted for operation in both)
    assert helpers.versions(fleet) == {2}


def test_a_read_that_lags_behind_a_lost_race_is_not_hammered(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.store = helpers.LaggingStore(keys=fleet.store.keys)
    racing = [operators.submit(f"entry-{n}", 1) for n in (0, 1)]
    fleet.run_for(fleet.store.latency * 5)
    fleet.store.past = fleet.store.keys.snapshot()
    fleet.store_calls.clear()
    fleet.run_for(4.0)
    assert sum(fleet.store_calls.values()) < 24
    fleet.store.past = None
    fleet.run_for(8.0)
    told = {operators.result(operation) for operation in racing}
    assert told == {results.Accepted(2), results.VersionMoved(2)}


def test_a_lookup_proves_no_more_than_the_store_does(fleet, operators):
    operators.accept("entry-0", 0)
    for name in ("one", "two"):
        operators.submit(f"entry-{len(name)}", 1, patch_id=name)
    operators.submit("entry-6", 1, patch_id="other")
    fleet.run_for(8.0)
    told = [operators.lookup("entry-7", n) for n in ("one", "two", "other")]
    assert told.count(results.Accepted(2)) == 1
    assert sum(isinstance(t, results.Refused) for t in told) == 2
    unknown = operators.lookup("entry-7", "never")
    assert unknown == results.NotFound("never")


def test_a_patch_whose_entry_died_before_the_swap_is_not_known_yet(
    fleet, operators
):
    operators.accept("entry-0", 0)
    operators.submit("entry-0", 1, patch_id="half")
    # The history record is written by then, the head is not swapped.
    fleet.run_for(fleet.store.latency * 5)
    fleet.nodes["entry-0"].alive = False
    fleet.store.away = True
    fleet.run_for(1.0)
    fleet.store.away = False
    assert operators.lookup("entry-3", "half") == results.NotKnownYet("half")
    operators.accept("entry-4", 1)
    told = operators.lookup("entry-3", "half")
    assert isinstance(told, results.Refused)


def test_history_shows_winners_only_the_newest_first(fleet, operators):
    operators.accept("entry-0", 0)
    for n in range(4):
        operators.submit(f"entry-{n}", 1)
    fleet.run_for(8.0)
    operators.accept("entry-5", 2)
    answer = operators.ask("entry-7", events.HistoryRequested, 10)
    assert [record.version for record in answer.records] == [3, 2, 1]
    assert answer.records[0].author == "ann"
    assert answer.records[0].reason == "because"


def test_survey_tells_who_has_it_and_who_kept_silent(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.pause(fleet.nodes["entry-3"])
    answer = operators.ask("entry-1", events.SurveyRequested)
    assert answer.silent == ("entry-3",)
    assert {row.version for row in answer.versions} == {1}
    assert len(answer.versions) == 7


def test_too_large_a_policy_is_refused_at_once(operators):
    value = "x" * (const.MAX_PART_BYTES + 1)
    operation = operators.submit("entry-0", 0, value=value)
    assert isinstance(operators.result(operation), results.Refused)
