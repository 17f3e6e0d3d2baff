"""Tests of the adaptive concurrency limits."""

from tests.core.limits import scenes

from agateshelf.core.limits import const


def run_calls(state, count, load, seconds=0.01):
    """Keep the window full while targets report the given load."""
    running = scenes.fill(state)
    now = 1.0
    for call in range(count):
        now += seconds
        attempt = running.pop(0)
        done = scenes.answer(state, attempt.attempt, now, load=load)
        running += scenes.started(done)
        running += scenes.started(scenes.arrive(state, call, now))


def test_limits_shrink_while_targets_queue():
    state = scenes.create_state(scenes.create_service(slots=4))
    run_calls(state, 200, scenes.CONGESTED)
    pool = state.limits.pools["lookups"]
    assert pool.window < 1
    assert pool.in_flight == 1


def test_limits_grow_while_targets_are_not_congested():
    state = scenes.create_state(scenes.create_service())
    before = state.limits.pools["lookups"].window
    run_calls(state, 100, scenes.CALM)
    after = state.limits.pools["lookups"].window
    assert before < after <= 2 * 2 * const.MOST_LIMIT_FACTOR


def test_limits_do_not_change_while_they_are_not_reached():
    state = scenes.create_state(scenes.create_service(slots=2))
    before = state.limits.pools["lookups"].window
    for call in range(100):
        (attempt,) = scenes.started(scenes.arrive(state, call))
        scenes.answer(state, attempt.attempt, 1.0, load=scenes.CALM)
    assert state.limits.pools["lookups"].window == before


def test_slow_answers_without_load_shrink_the_limit():
    state = scenes.create_state(scenes.create_service(slots=4))
    for call in range(50):
        (attempt,) = scenes.started(scenes.arrive(state, call))
        scenes.answer(state, attempt.attempt, 1.01)
    before = state.limits.pools["lookups"].window
    (attempt,) = scenes.started(scenes.arrive(state, 99))
    scenes.answer(state, attempt.attempt, 1.5)
    assert state.limits.pools["lookups"].window < before
