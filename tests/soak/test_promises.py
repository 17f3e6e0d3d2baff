"""The checks of the soak, on records made by hand."""

import pytest

from soak import faults
from soak import promises
from soak import records


def call(name, **changes):
    values = {
        "id": name,
        "path": f"/book/{name}",
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


def run(name, at=100.05, kind="run", by="t0"):
    return {"at": at, "by": by, "kind": kind, "id": name}


def record(*calls, runs=(), tables=None, disturbances=(), calm_from=190.0):
    return records.Record(
        calls=list(calls),
        runs=list(runs),
        tables=tables or {1: 50.0},
        disturbances=list(disturbances),
        calm_from=calm_from,
        over=200.0,
    )


MARKER = {"path": "/m2/x", "repeatable": True}

BROKEN = {
    "doubled": record(call("a"), runs=[run("a"), run("a")]),
    "untrue": record(
        call("a", status=503, retry_after=True), runs=[run("a", 103.0)]
    ),
    "foreign": record(call("a", own=False)),
    "held": record(call("a", status=None, ended=None)),
    "cut after it was read": record(call("a", status=None, ended=100.3)),
    "cut while it ran": record(
        call("a", status=None, ended=100.1), runs=[run("a")]
    ),
    "drained": record(
        call("a", sent=104.0, ended=104.1),
        runs=[run("", 101.0, "left"), run("a", 104.0)],
    ),
    "denied": record(call("a", status=404)),
    "reverted": record(
        call("a", **MARKER),
        call("b", **MARKER, sent=101.0, ended=101.1, status=404),
        tables={1: 50.0, 2: 100.0},
    ),
    "late table": record(
        call("a", **MARKER, status=404), tables={1: 50.0, 2: 97.0}
    ),
    "budget": record(
        *(call(f"c{n}", repeatable=True) for n in range(30)),
        runs=[run(f"c{n // 2}", kind="arrived") for n in range(60)],
    ),
    "not recovered": record(
        *(call(f"c{n}", status=502, sent=110.0) for n in range(10)),
        calm_from=90.0,
    ),
    "no time to come back": record(call("a", status=503)),
}


@pytest.mark.parametrize("name", sorted(BROKEN))
def test_a_broken_promise_is_found(name):
    assert promises.faults_of(BROKEN[name])


def test_a_good_record_has_no_fault():
    good = record(
        call("a"),
        call("b", status=503, retry_after=True),
        call("c", status=None, ended=100.05),
        call("d", **MARKER, sent=98.5, ended=98.6, status=404),
        runs=[run("a")],
        tables={1: 50.0, 2: 97.0},
    )
    assert promises.faults_of(good) == []


def test_a_paused_entry_owes_no_word():
    pause = records.Disturbance("entry", 0, 100.1, 104.0)
    silent = call("a", status=None, ended=None)
    assert promises.faults_of(record(silent, disturbances=[pause])) == []
    other = records.Disturbance("entry", 1, 100.1, 104.0)
    assert promises.faults_of(record(silent, disturbances=[other]))


def test_a_seed_always_gives_the_same_plan():
    assert faults.create_plan(7) == faults.create_plan(7)
    assert faults.create_plan(7) != faults.create_plan(8)
