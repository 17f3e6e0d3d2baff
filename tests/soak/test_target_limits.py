"""Real processes: targets that name limits, while entries come and go.

Guards against incident LIMIT: entries did not read the limits, so that a target
in need got many times what it had named.
"""

import pytest

from soak import faults
from soak import invariants
from soak import main

SECONDS = 12.0


def create_plan(count, rate, *others):
    """Create a plan in which lookup targets name a limit all the time."""
    limits = faults.NameLimits(0, count, rate, SECONDS)
    return faults.Plan(0, 4, 8, SECONDS, ((0.0, limits), *others))


def find_violations(plan, directory):
    history = main.run_plan(plan, directory, main.ROOT / "src")
    assert history.named_limits
    return invariants.find_violations(history)


@pytest.mark.parametrize(("count", "rate"), [(3, 1.0), (4, 3.0)])
def test_targets_get_what_they_named(count, rate, tmp_path):
    assert find_violations(create_plan(count, rate), tmp_path) == []


def test_limits_hold_while_entries_come_and_go(tmp_path):
    others = (
        (3.0, faults.BreakLink("peers", 0, faults.Mode.SILENT, 4.0)),
        (4.0, faults.KillEntry(1, 0.3)),
        (6.0, faults.PauseEntry(2, 1.0)),
        (7.0, faults.StopEntry(3, 0.3)),
    )
    assert find_violations(create_plan(4, 2.0, *others), tmp_path) == []
