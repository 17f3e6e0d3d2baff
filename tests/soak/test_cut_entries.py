"""Real processes: entries that are cut off from all targets.

Guards against incident RECOVER: they held or failed the requests of their
callers, though other entries reached every target.
"""

import pytest

from soak import faults
from soak import invariants
from soak import main

SECONDS = 10.0
CUTS = {
    "one": (0,),
    "three of four": (0, 1, 2),
}


@pytest.mark.parametrize("mode", [faults.Mode.SILENT, faults.Mode.RESET])
@pytest.mark.parametrize("entries", CUTS.values(), ids=CUTS.keys())
def test_callers_of_cut_entries_are_served(entries, mode, tmp_path):
    cut = faults.CutEntries(entries, mode, SECONDS - 0.5)
    plan = faults.Plan(0, 4, 8, SECONDS, ((0.0, cut),))
    history = main.run_plan(plan, tmp_path, main.ROOT / "src")
    assert invariants.find_violations(history) == []
