"""Tests of the adaptive concurrency limits."""

from tests.core.limits import harness

from agateshelf.core.limits import const


def run_calls(state, count, load, seconds=0.01):
    """Keep the window full while targets report the given load."""
    running = harness.fill(state)
    now = 1.0
    for call in range(count):
        now += seconds
        attempt = running.pop(0)
        emitted = harness.answer(state, attempt.attempt, now, load=load)
        running += harness.started(emitted)
        running += harness.started(harness.arrive(state, call, now))


def test_limits_shrink_while_targets_queue():
    state = harness.create_state(harness.create_service(slots=4))
    run_calls(state, 200, harness.CONGESTED)
    pool = state.limits.pools["lookups"]
    assert pool.window < 1
    assert pool.in_flight == 1


def test_limits_grow_while_targets_are_not_congested():
    state = harness.create_state(harness.create_service())
    before = state.limits.pools["lookups"].window
    run_calls(state, 100, harness.CALM)
    after = state.limits.pools["lookups"].window
    assert before < after <= 2 * 2 * const.MAX_LIMIT_FACTOR


def test_limits_do_not_change_while_they_are_not_reached():
    state = harness.create_state(harness.create_service(slots=2))
    before = state.limits.pools["lookups"].window
    for call in range(100):
        (attempt,) = harness.started(harness.arrive(state, call))
        harness.answer(state, attempt.attempt, 1.0, load=harness.CALM)
    assert state.limits.pools["lookups"].window == before


def test_slow_answers_without_load_shrink_the_limit():
    state = harness.create_state(harness.create_service(slots=4))
    for call in range(50):
        (attempt,) = harness.started(harness.arrive(state, call))
        harness.answer(state, attempt.attempt, 1.01)
    before = state.limits.pools["lookups"].window
    (attempt,) = harness.started(harness.arrive(state, 99))
    harness.answer(state, attempt.attempt, 1.5)
    assert state.limits.pools["lookups"].window < before
