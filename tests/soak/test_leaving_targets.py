"""Real processes: targets that leave unannounced, and odd entries among them.

Guards against incident DRAIN: requests reached targets that had left, as their
removals were held back after a reset of connections or as there were many, and
as an entry that could not be read ended the task that reads them all.
"""

import pytest

from soak import faults
from soak import invariants
from soak import main

SECONDS = 14.0
ENTRIES = 4


def run(tmp_path, *timed):
    plan = faults.Plan(0, ENTRIES, 8, SECONDS, timed)
    return main.run_plan(plan, tmp_path, main.ROOT / "src")


@pytest.mark.parametrize(
    "rounds",
    [((2,), (4,)), ((2, 3), (4, 5)), ((2, 3, 4, 5, 6, 7),)],
    ids=["one", "one of each service", "most"],
)
def test_targets_that_leave_beside_resets_get_no_late_requests(
    rounds, tmp_path
):
    # One entry of each failure domain reads the store: mostly these two.
    timed = [
        (0.5 + 7.5 * number, faults.LeaveTogether(targets, 1 + number, 0.2))
        for number, targets in enumerate(rounds)
    ]
    history = run(tmp_path, *timed)
    left = {line["by"] for line in history.ledger if line["kind"] == "left"}
    assert left == {f"t{number}" for targets in rounds for number in targets}
    assert invariants.find_violations(history) == []


def test_odd_entries_hide_no_target_that_leaves(tmp_path):
    odd = [
        (0.2 * number, faults.WriteOddEntry(oddity, SECONDS - 2.0))
        for number, oddity in enumerate(faults.Oddity)
    ]
    history = run(
        tmp_path,
        *odd,
        (3.0, faults.DrainTarget(3, 0.5)),
        (4.0, faults.LeaveTogether((2, 5), None, 0.5)),
    )
    assert any(call.status == 200 for call in history.calls)
    assert invariants.find_violations(history) == []
