"""Real processes: a crashing request, repeated while entries come and go.

Guards against incident BUDGET: the request was sent on through entries that did
not recognise its crashes, or had not learned of them.
"""

import pytest

from soak import faults
from soak import invariants
from soak import main

SECONDS = 12.0


def create_plan(ending):
    """Create a plan in which each entry is away once."""
    entries = (
        (2.0, faults.BreakLink("peers", 0, faults.Mode.SILENT, 2.0)),
        (3.0, faults.KillEntry(1, 0.3)),
        (4.0, faults.PauseEntry(2, 1.0)),
        (5.0, faults.StopEntry(3, 0.3)),
    )
    request = faults.CrashingRequest(0, SECONDS, ending)
    return faults.Plan(0, 4, 8, SECONDS, ((0.0, request), *entries))


@pytest.mark.parametrize("ending", list(faults.CrashEnding))
def test_a_crashing_request_is_withheld_by_all_entries(ending, tmp_path):
    history = main.run_plan(create_plan(ending), tmp_path, main.ROOT / "src")
    assert invariants.find_violations(history) == []
