"""Real processes: requests that come late in planned stops.

Guards against incident LOST: entries that stopped passed them on, and broke
them off at the end of the grace period.
"""

import pytest

from soak import faults
from soak import invariants
from soak import late_requests
from soak import main

SECONDS = 8.0
ENTRIES = 3


@pytest.mark.parametrize("workspaces", [0, 2])
def test_stops_break_off_no_late_request(workspaces, tmp_path):
    sent_at = (0.1, 0.5, 2.05, 2.1, 2.2, 2.3, 2.4, 2.6)
    timed = (
        (0.5, faults.StopUnderLateRequests(0, 0.5, sent_at)),
        (1.0, faults.StopUnderLateRequests(1, 0.5, sent_at)),
        (2.0, faults.NewTable()),
    )
    plan = faults.Plan(0, ENTRIES, 6, SECONDS, timed, workspaces=workspaces)
    history = main.run_plan(plan, tmp_path, main.ROOT / "src")
    late = [
        call
        for call in history.calls
        if call.path.startswith(late_requests.LONG_PREFIX)
    ]
    # Each kind of end was seen: served, refused as not run.
    assert {200, 503} <= {call.status for call in late}
    assert invariants.find_violations(history) == []
