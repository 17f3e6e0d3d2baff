"""Real processes: a crashing request, repeated while entries come and go.

Guards against incident BUDGET: the request was sent on through entries that did
not recognise its crashes, or had not learned of them.
"""

import pytest

from soak import faults
from soak import invariants
from soak import main

SECONDS = 12.0


def create_plan(ending, callers):
    """Create a plan in which each entry is away once."""
    entries = (
        (2.0, faults.BreakLink("peers", 0, faults.Mode.SILENT, 2.0)),
        (3.0, faults.KillEntry(1, 0.3)),
        (4.0, faults.PauseEntry(2, 1.0)),
        (5.0, faults.StopEntry(3, 0.3)),
    )
    request = faults.CrashingRequest(0, SECONDS, ending, callers)
    return faults.Plan(0, 4, 8, SECONDS, ((0.0, request), *entries))


@pytest.mark.parametrize("ending", list(faults.CrashEnding))
def test_a_crashing_request_is_withheld_by_all_entries(ending, tmp_path):
    plan = create_plan(ending, callers=1)
    history = main.run_plan(plan, tmp_path, main.ROOT / "src")
    assert invariants.find_violations(history) == []


def test_a_crashing_request_of_many_callers_is_withheld(tmp_path):
    plan = create_plan(faults.CrashEnding.REBORN, faults.MAX_CRASHING_CALLERS)
    history = main.run_plan(plan, tmp_path, main.ROOT / "src")
    assert invariants.find_violations(history) == []
