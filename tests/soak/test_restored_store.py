"""Real processes: the store comes back from an older copy.

Guards against entries that go by revisions alone: these go back then and are
given out again, so that all later registrations would be taken for old ones.
"""

from soak import faults
from soak import invariants
from soak import main

SECONDS = 14.0
# A watch and a check every 0.8 s for each of two readers, and what follows from
# changes; far below what endless reads would take.
MAX_STORE_CALLS = 900


def create_plan():
    """Create a plan in which the store forgets changes of both writers."""
    planned = (
        (1.0, faults.RestoreStore(5.0)),
        (2.0, faults.NewTable()),
        (2.5, faults.DrainTarget(1, 0.5)),
        (5.0, faults.DrainTarget(0, 0.5)),
        (9.0, faults.NewTable()),
        (9.0, faults.DrainTarget(2, 0.5)),
    )
    return faults.Plan(0, 3, 8, SECONDS, planned)


def test_entries_follow_a_store_that_was_restored(tmp_path):
    plan = create_plan()
    history = main.run_plan(plan, tmp_path, main.ROOT / "src")
    assert invariants.find_violations(history) == []
    assert history.store_calls <= MAX_STORE_CALLS
