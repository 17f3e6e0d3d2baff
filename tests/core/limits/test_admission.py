"""Tests of admission control."""

from tests.core.limits import scenes

from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core.configuration import models
from agateshelf.core.limits import const
from agateshelf.core.outcomes import models as outcome_models


def reasons(done):
    return [effect.refusal.reason for effect in scenes.refused(done)]


def test_calls_beyond_the_window_wait_and_go_when_one_ends():
    state = scenes.create_state(scenes.create_service())
    running = scenes.fill(state)
    pool = state.limits.pools["lookups"]
    assert pool.in_flight == len(running) == 4
    done = scenes.answer(state, running[0].attempt)
    assert [e.call for e in scenes.started(done)] == [1004]


def test_full_queue_refuses_at_once_as_not_run():
    state = scenes.create_state(scenes.create_service(queue=1))
    scenes.fill(state)
    (refusal,) = scenes.refused(scenes.arrive(state, 1, caller="filler"))
    assert refusal.refusal.reason == const.REASON_QUEUE_FULL
    assert refusal.refusal.status == const.STATUS_UNAVAILABLE
    assert refusal.refusal.outcome is outcome_models.Outcome.NOT_RUN
    assert refusal.refusal.retry_after > 0


def test_full_queue_rejects_the_newest_of_the_longest_flow():
    state = scenes.create_state(scenes.create_service(queue=3))
    scenes.fill(state, caller="flood")
    scenes.arrive(state, 1, caller="flood")
    scenes.arrive(state, 2, caller="flood")
    done = scenes.arrive(state, 3, caller="clerk")
    assert [effect.call for effect in scenes.refused(done)] == [2]


def test_call_is_rejected_after_the_maximum_queueing_time():
    state = scenes.create_state(scenes.create_service())
    scenes.fill(state)
    ends = 1.0 + const.CALM_WAIT_SECONDS
    assert reasons(reducer.reduce(state, ends - 0.01, events.Tick())) == []
    done = reducer.reduce(state, ends, events.Tick())
    assert reasons(done) == [const.REASON_WAITED]


def test_standing_queue_shortens_the_wait():
    state = scenes.create_state(scenes.create_service(queue=64))
    running = scenes.fill(state)
    now = 1.0
    call = 1
    while now < 1.5:
        now += 0.01
        attempt = running.pop(0)
        running += scenes.started(scenes.answer(state, attempt.attempt, now))
        for _ in range(2):
            running += scenes.started(scenes.arrive(state, call, now))
            call += 1
    pool = state.limits.pools["lookups"]
    waited = [
        now - t.arrived for t in pool.queue.classes[1]["lookups", "yard"].plain
    ]
    busy = max(
        const.BUSY_WAIT_LEAST_SECONDS, pool.median * const.BUSY_WAIT_MEDIANS
    )
    assert busy < const.CALM_WAIT_SECONDS
    assert max(waited) <= busy + 0.011


def test_call_that_cannot_be_answered_in_time_is_refused_on_arrival():
    state = scenes.create_state(scenes.create_service())
    (attempt,) = scenes.started(scenes.arrive(state, 1))
    scenes.answer(state, attempt.attempt, 1.2)
    done = scenes.arrive(state, 2, 1.3, timeout=0.1)
    assert reasons(done) == [const.REASON_TOO_LATE]
    assert scenes.started(scenes.arrive(state, 3, 1.3, timeout=0.3))


def test_caller_that_leaves_frees_its_place_in_the_queue():
    state = scenes.create_state(scenes.create_service(queue=1))
    scenes.fill(state)
    waiting = next(iter(state.limits.tickets.values())).pool.queue
    assert waiting.length == 1
    reducer.reduce(state, 1.0, events.CallerDisconnected(1004))
    assert waiting.length == 0
    assert reasons(scenes.arrive(state, 1)) == []


def test_background_calls_cannot_fill_the_entry():
    """Background calls must not use up the calls an entry holds.

    Otherwise urgent calls would be refused as "entry-full".
    """
    background = scenes.create_service(
        "pulls", priority=models.Priority.BACKGROUND, queue=2000
    )
    urgent = scenes.create_service("grades", priority=models.Priority.URGENT)
    state = scenes.create_state(background, urgent)
    seen = set()
    for call in range(const.MOST_CALLS_PER_ENTRY):
        seen.update(reasons(scenes.arrive(state, call, service="pulls")))
    assert seen == {const.REASON_ENTRY_FULL}
    assert scenes.started(scenes.arrive(state, 9999, service="grades"))


def test_urgent_calls_go_first_where_targets_are_shared():
    targets = scenes.create_service().targets
    background = scenes.create_service(
        "pulls", priority=models.Priority.BACKGROUND, targets=targets, queue=64
    )
    urgent = scenes.create_service(
        "grades", priority=models.Priority.URGENT, targets=targets, queue=64
    )
    state = scenes.create_state(background, urgent)
    running = scenes.fill(state, service="pulls")
    for call in range(20):
        scenes.arrive(state, call, caller="auditor", service="pulls")
    for call in range(100, 120):
        scenes.arrive(state, call, caller="clerk", service="grades")
    order = []
    while running:
        attempt = running.pop(0).attempt
        begun = scenes.started(scenes.answer(state, attempt, 1.01))
        running += begun
        order += [effect.call for effect in begun]
    first = order[:20]
    assert sum(call >= 100 for call in first if call < 1000) >= 18
    assert any(call < 100 or call >= 1000 for call in first)


def test_waiting_calls_move_when_services_come_to_share_targets():
    state = scenes.create_state(scenes.create_service())
    running = scenes.fill(state)
    shared = scenes.create_service(
        "other", targets=scenes.create_service().targets
    )
    scenes.adopt(state, scenes.create_service(), shared)
    pool = state.limits.pools["other"]
    assert pool is state.limits.pools["lookups"]
    assert pool.queue.length == 1
    assert len(running) == 4
