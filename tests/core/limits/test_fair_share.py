"""Tests of fair shares and of calls that yield to others."""

from tests.core.limits import harness

from agateshelf.core import events
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import fair_share
from agateshelf.core.limits import models

QUEUES = events.TargetLoad(in_flight=2, queued=1, slots=2)


def over_share_after(uses):
    """Return the callers above their fair share.

    Args:
        uses: Weight, offered calls and admitted calls by caller.
    """
    pool = harness.create_state(harness.create_service()).limits.pools[
        "lookups"
    ]
    pool.fair_share.usage = {
        ("lookups", name): models.FlowUsage(weight, offered, passed)
        for name, (weight, offered, passed) in uses.items()
    }
    ticket = models.Ticket(
        1, harness.create_service(), "x", 1.0, False, 9.0, 1.0, pool
    )
    fair_share.count_offered(pool, ticket, 1.0)
    return {name for _, name in pool.fair_share.over_share}


def test_flood_above_its_fair_share_yields():
    uses = {f"c{n}": (1.0, 10, 10) for n in range(6)}
    assert over_share_after({**uses, "flood": (1.0, 200, 30)}) == {"flood"}


def test_weight_raises_the_fair_share():
    uses = {"light": (1.0, 40, 30), "heavy": (4.0, 130, 120)}
    assert over_share_after(uses) == {"light"}


def test_nobody_yields_in_an_overload_from_all_alike():
    uses = {f"c{n}": (1.0, 30, 10) for n in range(6)}
    assert over_share_after(uses) == set()


def test_nobody_yields_for_a_trickle():
    uses = {"tiny": (1.0, 2, 2), "a": (1.0, 200, 50), "b": (1.0, 200, 50)}
    assert over_share_after(uses) == set()


def test_memory_for_callers_is_bounded():
    state = harness.create_state(harness.create_service())
    for call in range(2 * const.MAX_CALLERS):
        harness.arrive(state, call, caller=f"c{call}")
    uses = state.limits.pools["lookups"].fair_share.usage
    assert len(uses) == const.MAX_CALLERS


def create_shared():
    targets = harness.create_service().targets
    grades = harness.create_service(
        "grades",
        priority=configuration_models.Priority.URGENT,
        targets=targets,
        slots=4,
    )
    pulls = harness.create_service(
        "pulls",
        priority=configuration_models.Priority.BACKGROUND,
        targets=targets,
    )
    return harness.create_state(grades, pulls)


def run_grades(state, load, count=100):
    """Run urgent calls one by one; each response reports the given load."""
    for call in range(count):
        emitted = harness.arrive(state, 1000 + call, 1.0, service="grades")
        (attempt,) = harness.started(emitted)
        harness.answer(state, attempt.attempt, 1.01, load=load)


def test_background_calls_wait_while_targets_queue():
    state = create_shared()
    run_grades(state, QUEUES)
    running = harness.started(harness.arrive(state, 1, 1.1, service="grades"))
    assert harness.started(harness.arrive(state, 2, 1.1, service="pulls")) == []
    assert harness.started(harness.arrive(state, 3, 1.1, service="grades"))
    assert len(running) == 1


def test_background_calls_go_while_no_target_queues():
    state = create_shared()
    run_grades(state, harness.CALM)
    harness.arrive(state, 1, 1.1, service="grades")
    assert harness.started(harness.arrive(state, 2, 1.1, service="pulls"))


def test_background_calls_go_again_when_no_urgent_ones_come():
    state = create_shared()
    run_grades(state, QUEUES)
    later = 1.1 + const.CLASS_ACTIVE_SECONDS
    for call in range(2):
        emitted = harness.arrive(state, call, later, service="pulls")
        assert harness.started(emitted)
    assert state.limits.pools["pulls"].yield_share < 1


def test_flooding_caller_waits_where_others_go():
    state = harness.create_state(harness.create_service(slots=4))
    pool = state.limits.pools["lookups"]
    pool.yield_share = const.MIN_YIELD_SHARE
    pool.fair_share.over_share = frozenset({("lookups", "flood")})
    pool.fair_share.period_started = 1.0
    assert harness.started(harness.arrive(state, 1, caller="clerk"))
    assert not harness.started(harness.arrive(state, 2, caller="flood"))
    assert harness.started(harness.arrive(state, 3, caller="clerk"))


def test_yielding_calls_get_their_room_back():
    state = create_shared()
    run_grades(state, QUEUES)
    run_grades(state, harness.CALM)
    assert state.limits.pools["pulls"].yield_share == 1.0
