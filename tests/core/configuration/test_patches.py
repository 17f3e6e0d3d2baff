"""Tests of patches: one accepted patch per version, and correct outcomes."""

import pytest
from tests.core.configuration import operators as helpers

from agateshelf.core import events
from agateshelf.core.configuration import const
from agateshelf.core.configuration import results


def test_accepted_patch_becomes_active_on_all_entries(fleet, operators):
    assert operators.accept("entry-0", 0) == results.Accepted(1)
    assert operators.accept("entry-5", 1) == results.Accepted(2)
    assert helpers.versions(fleet) == {2}


@pytest.mark.parametrize("count", [2, 20])
def test_exactly_one_of_concurrent_patches_is_accepted(fleet, operators, count):
    operators.accept("entry-0", 0)
    operations = [operators.submit(f"entry-{n % 8}", 1) for n in range(count)]
    fleet.run_for(8.0)
    outcomes = [operators.result(operation) for operation in operations]
    assert outcomes.count(results.Accepted(2)) == 1
    assert outcomes.count(results.VersionConflict(2)) == count - 1
    assert helpers.versions(fleet) == {2}


def test_patch_for_outdated_version_reports_the_current_one(operators):
    operators.accept("entry-0", 0)
    operators.accept("entry-0", 1)
    assert operators.accept("entry-3", 1) == results.VersionConflict(2)


def test_patch_is_accepted_if_the_answer_to_its_swap_is_lost(fleet, operators):
    operators.accept("entry-0", 0)
    operation = operators.submit("entry-0", 1)
    # Part and history record are written by now; the swap of the head is next.
    fleet.run_for(fleet.store.latency * 5)
    fleet.lose_store_answers = 1
    fleet.run_for(12.0)
    assert fleet.lose_store_answers == 0
    assert operators.result(operation) == results.Accepted(2)
    assert helpers.versions(fleet) == {2}


def test_conflicting_patches_stay_exclusive_if_one_gets_no_answer(
    fleet, operators
):
    operators.accept("entry-0", 0)
    first = operators.submit("entry-0", 1)
    fleet.run_for(fleet.store.latency * 5)
    fleet.store_unreachable_from = {"entry-0"}
    second = operators.submit("entry-1", 1)
    fleet.run_for(1.0)
    fleet.store_unreachable_from = set()
    fleet.run_for(12.0)
    outcomes = {operators.result(first), operators.result(second)}
    assert outcomes == {results.Accepted(2), results.VersionConflict(2)}


def test_outcome_is_unknown_while_the_store_is_down_after_the_swap(
    fleet, operators
):
    operators.accept("entry-0", 0)
    operation = operators.submit("entry-0", 1, patch_id="lost")
    fleet.run_for(fleet.store.latency * 5)
    fleet.lose_store_answers = 1
    fleet.run_for(fleet.store.latency * 2)
    fleet.store.unavailable = True
    fleet.run_for(const.PATCH_ANSWER_SECONDS + 1)
    assert operators.result(operation) == results.OutcomeUnknown("lost")
    assert operators.lookup("entry-3", "lost") == results.OutcomeUnknown("lost")
    fleet.store.unavailable = False
    fleet.run_for(40.0)
    assert operators.lookup("entry-3", "lost") == results.Accepted(2)
    assert helpers.versions(fleet) == {2}


def test_patch_is_refused_if_the_store_is_down_from_the_start(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.store.unavailable = True
    operation = operators.submit("entry-0", 1)
    fleet.run_for(const.PATCH_ANSWER_SECONDS + 1)
    assert isinstance(operators.result(operation), results.Refused)
    fleet.store.unavailable = False
    fleet.run_for(60.0)
    assert helpers.versions(fleet) == {1}


def test_resubmitted_patch_is_reported_as_already_accepted(fleet, operators):
    operators.accept("entry-0", 0)
    operators.submit("entry-0", 1, patch_id="same")
    fleet.run_for(8.0)
    for entry in ("entry-0", "entry-4"):
        again = operators.submit(entry, 1, patch_id="same")
        fleet.run_for(8.0)
        assert operators.result(again) == results.AlreadyAccepted(2)
    assert helpers.versions(fleet) == {2}


def test_patch_submitted_twice_concurrently_is_applied_once(fleet, operators):
    operators.accept("entry-0", 0)
    operations = [
        operators.submit(entry, 1, patch_id="same")
        for entry in ("entry-0", "entry-4")
    ]
    fleet.run_for(8.0)
    accepted = (results.Accepted(2), results.AlreadyAccepted(2))
    assert all(
        operators.result(operation) in accepted for operation in operations
    )
    assert helpers.versions(fleet) == {2}


def test_stale_reads_after_a_conflict_are_retried_with_backoff(
    fleet, operators
):
    operators.accept("entry-0", 0)
    fleet.store = helpers.LaggingStore(backend=fleet.store.backend)
    operations = [operators.submit(f"entry-{n}", 1) for n in (0, 1)]
    fleet.run_for(fleet.store.latency * 5)
    fleet.store.past = fleet.store.backend.snapshot()
    fleet.store_calls.clear()
    fleet.run_for(4.0)
    assert sum(fleet.store_calls.values()) < 24
    fleet.store.past = None
    fleet.run_for(8.0)
    outcomes = {operators.result(operation) for operation in operations}
    assert outcomes == {results.Accepted(2), results.VersionConflict(2)}


def test_lookup_reports_only_what_the_store_proves(fleet, operators):
    operators.accept("entry-0", 0)
    for name in ("one", "two"):
        operators.submit(f"entry-{len(name)}", 1, patch_id=name)
    operators.submit("entry-6", 1, patch_id="other")
    fleet.run_for(8.0)
    outcomes = [operators.lookup("entry-7", n) for n in ("one", "two", "other")]
    assert outcomes.count(results.Accepted(2)) == 1
    assert (
        sum(isinstance(outcome, results.Refused) for outcome in outcomes) == 2
    )
    unknown = operators.lookup("entry-7", "never")
    assert unknown == results.NotFound("never")


def test_outcome_is_unknown_if_the_entry_died_before_the_swap(fleet, operators):
    operators.accept("entry-0", 0)
    operators.submit("entry-0", 1, patch_id="half")
    # The history record is written by now, but the head is not swapped.
    fleet.run_for(fleet.store.latency * 5)
    fleet.nodes["entry-0"].alive = False
    fleet.store.unavailable = True
    fleet.run_for(1.0)
    fleet.store.unavailable = False
    assert operators.lookup("entry-3", "half") == results.OutcomeUnknown("half")
    operators.accept("entry-4", 1)
    outcome = operators.lookup("entry-3", "half")
    assert isinstance(outcome, results.Refused)


def test_history_lists_only_accepted_patches_newest_first(fleet, operators):
    operators.accept("entry-0", 0)
    for n in range(4):
        operators.submit(f"entry-{n}", 1)
    fleet.run_for(8.0)
    operators.accept("entry-5", 2)
    answer = operators.query("entry-7", events.HistoryRequested, 10)
    assert [record.version for record in answer.records] == [3, 2, 1]
    assert answer.records[0].author == "ann"
    assert answer.records[0].reason == "because"


def test_survey_reports_versions_and_silent_entries(fleet, operators):
    operators.accept("entry-0", 0)
    fleet.pause(fleet.nodes["entry-3"])
    answer = operators.query("entry-1", events.SurveyRequested)
    assert answer.silent == ("entry-3",)
    assert {row.version for row in answer.versions} == {1}
    assert len(answer.versions) == 7


def test_oversized_policy_is_refused_immediately(operators):
    value = "x" * (const.MAX_PART_BYTES + 1)
    operation = operators.submit("entry-0", 0, value=value)
    assert isinstance(operators.result(operation), results.Refused)
