"""Real processes: targets that leave or ask for a pause.

Guards against entries that go by the store alone: it may say for long that a
target is ready that has told its callers otherwise.
"""

import pytest

from soak import faults
from soak import invariants
from soak import main

SECONDS = 9.0
COMINGS_AND_GOINGS = (
    (3.0, faults.KillEntry(1, 0.3)),
    (4.5, faults.StopEntry(3, 0.3)),
    (6.0, faults.KillEntry(0, 0.3)),
)


def run(directory, *timed):
    ordered = tuple(sorted(timed, key=lambda pair: pair[0]))
    plan = faults.Plan(0, 4, 8, SECONDS, ordered)
    history = main.run_plan(plan, directory, main.ROOT / "src")
    return history, invariants.find_violations(history)


def late_arrivals(history, window):
    """Return when requests came after all entries had to know.

    Entries that started shortly before are excused.
    """
    return [
        line["at"]
        for line in history.ledger
        if line["kind"] == "arrived"
        and line["by"] == f"t{window.index}"
        and window.begin + invariants.LEAVING_KNOWN_SECONDS < line["at"]
        and line["at"] < window.end
        and not any(
            other.kind in ("entry", "stop")
            and other.begin <= line["at"]
            and line["at"] <= other.end + invariants.SETTLING_SECONDS
            for other in history.fault_windows
        )
    ]


@pytest.mark.parametrize("others", [(), COMINGS_AND_GOINGS])
def test_leaving_targets_get_no_requests(others, tmp_path):
    # Probes may tell before any answer to a request does.
    leaving = (0.5, faults.SayLeaving(0, 2, SECONDS))
    history, violations = run(tmp_path, leaving, *others)
    windows = [w for w in history.fault_windows if w.kind == "target"]
    assert sorted(window.index for window in windows) == [0, 2]
    for window in windows:
        assert late_arrivals(history, window) == []
    assert violations == []


@pytest.mark.parametrize("count", [1, 4])
@pytest.mark.parametrize("others", [(), COMINGS_AND_GOINGS])
def test_a_pause_is_kept(count, others, tmp_path):
    pause = (0.5, faults.AskPause(0, count, 3.0, 6.0))
    history, violations = run(tmp_path, pause, *others)
    assert any(line["kind"] == "paused" for line in history.ledger)
    assert violations == []
