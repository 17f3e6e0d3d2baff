"""Tests of the invariant checks of the soak test, on handmade histories.

A check that finds nothing would let every soak test pass.
"""

import pytest

from soak import faults
from soak import promises
from soak import records


def create_call(request_id, **changes):
    values = {
        "id": request_id,
        "path": f"/book/{request_id}",
        "repeatable": False,
        "entry": 0,
        "process": 1,
        "sent": 100.0,
        "timeout": 1.0,
        "ended": 100.1,
        "status": 200,
        "own": True,
    }
    return records.Call(**{**values, **changes})


def ledger_line(request_id, at=100.05, kind="run", by="t0"):
    return {"at": at, "by": by, "kind": kind, "id": request_id}


def create_history(
    *calls, runs=(), tables=None, disturbances=(), calm_from=190.0
):
    return records.Record(
        calls=list(calls),
        runs=list(runs),
        tables=tables or {1: 50.0},
        disturbances=list(disturbances),
        calm_from=calm_from,
        over=200.0,
    )


VERSION_2_ROUTE = {"path": "/m2/x", "repeatable": True}

VIOLATIONS = {
    "duplicate run": create_history(
        create_call("a"), runs=[ledger_line("a"), ledger_line("a")]
    ),
    "false refusal": create_history(
        create_call("a", status=503, retry_after=True),
        runs=[ledger_line("a", 103.0)],
    ),
    "invalid response": create_history(create_call("a", own=False)),
    "late response": create_history(create_call("a", status=None, ended=None)),
    "connection lost after the request was read": create_history(
        create_call("a", status=None, ended=100.3)
    ),
    "connection lost while the request ran": create_history(
        create_call("a", status=None, ended=100.1), runs=[ledger_line("a")]
    ),
    "run after drain": create_history(
        create_call("a", sent=104.0, ended=104.1),
        runs=[ledger_line("", 101.0, "left"), ledger_line("a", 104.0)],
    ),
    "missing route": create_history(create_call("a", status=404)),
    "reverted table": create_history(
        create_call("a", **VERSION_2_ROUTE),
        create_call(
            "b", **VERSION_2_ROUTE, sent=101.0, ended=101.1, status=404
        ),
        tables={1: 50.0, 2: 100.0},
    ),
    "late table": create_history(
        create_call("a", **VERSION_2_ROUTE, status=404),
        tables={1: 50.0, 2: 97.0},
    ),
    "excess retries": create_history(
        *(create_call(f"c{n}", repeatable=True) for n in range(30)),
        runs=[ledger_line(f"c{n // 2}", kind="arrived") for n in range(60)],
    ),
    "missing recovery": create_history(
        *(create_call(f"c{n}", status=502, sent=110.0) for n in range(10)),
        calm_from=90.0,
    ),
    "missing Retry-After": create_history(create_call("a", status=503)),
}


@pytest.mark.parametrize("name", sorted(VIOLATIONS))
def test_a_violated_invariant_is_found(name):
    assert promises.faults_of(VIOLATIONS[name])


def test_a_valid_history_has_no_violation():
    history = create_history(
        create_call("a"),
        create_call("b", status=503, retry_after=True),
        create_call("c", status=None, ended=100.05),
        create_call("d", **VERSION_2_ROUTE, sent=98.5, ended=98.6, status=404),
        runs=[ledger_line("a")],
        tables={1: 50.0, 2: 97.0},
    )
    assert promises.faults_of(history) == []


def test_only_a_pause_of_its_own_entry_excuses_a_late_response():
    pause = records.Disturbance("entry", 0, 100.1, 104.0)
    late = create_call("a", status=None, ended=None)
    assert promises.faults_of(create_history(late, disturbances=[pause])) == []
    other_pause = records.Disturbance("entry", 1, 100.1, 104.0)
    assert promises.faults_of(create_history(late, disturbances=[other_pause]))


def test_a_seed_always_gives_the_same_plan():
    assert faults.create_plan(7) == faults.create_plan(7)
    assert faults.create_plan(7) != faults.create_plan(8)
