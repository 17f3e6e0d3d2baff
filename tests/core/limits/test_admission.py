"""Tests of admission control."""

from tests.core.limits import harness

from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core.configuration import models
from agateshelf.core.limits import const
from agateshelf.core.outcomes import models as outcome_models


def reasons(emitted):
    return [effect.refusal.reason for effect in harness.refused(emitted)]


def test_calls_beyond_the_window_wait_and_go_when_one_ends():
    state = harness.create_state(harness.create_service())
    running = harness.fill(state)
    pool = state.limits.pools["lookups"]
    assert pool.in_flight == len(running) == 4
    emitted = harness.answer(state, running[0].attempt)
    assert [e.call for e in harness.started(emitted)] == [1004]


def test_full_queue_refuses_at_once_as_not_run():
    state = harness.create_state(harness.create_service(queue=1))
    harness.fill(state)
    (refusal,) = harness.refused(harness.arrive(state, 1, caller="filler"))
    assert refusal.refusal.reason == const.REASON_QUEUE_FULL
    assert refusal.refusal.status == const.STATUS_UNAVAILABLE
    assert refusal.refusal.outcome is outcome_models.Outcome.NOT_RUN
    assert refusal.refusal.retry_after > 0


def test_full_queue_rejects_the_newest_of_the_longest_flow():
    state = harness.create_state(harness.create_service(queue=3))
    harness.fill(state, caller="flood")
    harness.arrive(state, 1, caller="flood")
    harness.arrive(state, 2, caller="flood")
    emitted = harness.arrive(state, 3, caller="clerk")
    assert [effect.call for effect in harness.refused(emitted)] == [2]


def test_call_is_rejected_after_the_maximum_queueing_time():
    state = harness.create_state(harness.create_service())
    harness.fill(state)
    until = 1.0 + const.QUEUE_WAIT_SECONDS
    assert reasons(reducer.reduce(state, until - 0.01, events.Tick())) == []
    emitted = reducer.reduce(state, until, events.Tick())
    assert reasons(emitted) == [const.REASON_QUEUE_TOO_SLOW]


def test_standing_queue_shortens_the_wait():
    state = harness.create_state(harness.create_service(queue=64))
    running = harness.fill(state)
    now = 1.0
    call = 1
    while now < 1.5:
        now += 0.01
        attempt = running.pop(0)
        running += harness.started(harness.answer(state, attempt.attempt, now))
        for _ in range(2):
            running += harness.started(harness.arrive(state, call, now))
            call += 1
    pool = state.limits.pools["lookups"]
    waited = [
        now - t.arrived for t in pool.queue.flows[1]["lookups", "yard"].plain
    ]
    standing_wait = max(
        const.MIN_STANDING_QUEUE_WAIT_SECONDS,
        pool.median_latency * const.STANDING_QUEUE_WAIT_MEDIANS,
    )
    assert standing_wait < const.QUEUE_WAIT_SECONDS
    assert max(waited) <= standing_wait + 0.011


def test_call_that_cannot_be_answered_in_time_is_refused_on_arrival():
    state = harness.create_state(harness.create_service())
    (attempt,) = harness.started(harness.arrive(state, 1))
    harness.answer(state, attempt.attempt, 1.2)
    emitted = harness.arrive(state, 2, 1.3, timeout=0.1)
    assert reasons(emitted) == [const.REASON_DEADLINE_TOO_NEAR]
    assert harness.started(harness.arrive(state, 3, 1.3, timeout=0.3))


def test_caller_that_leaves_frees_its_place_in_the_queue():
    state = harness.create_state(harness.create_service(queue=1))
    harness.fill(state)
    waiting = next(iter(state.limits.tickets.values())).pool.queue
    assert waiting.length == 1
    reducer.reduce(state, 1.0, events.CallerDisconnected(1004))
    assert waiting.length == 0
    assert reasons(harness.arrive(state, 1)) == []


def test_background_calls_cannot_fill_the_entry():
    """Background calls must not use up the calls an entry holds.

    Otherwise urgent calls would be refused as "entry-full".
    """
    background = harness.create_service(
        "pulls", priority=models.Priority.BACKGROUND, queue=2000
    )
    urgent = harness.create_service("grades", priority=models.Priority.URGENT)
    state = harness.create_state(background, urgent)
    seen = set()
    for call in range(const.MAX_CALLS_PER_ENTRY):
        seen.update(reasons(harness.arrive(state, call, service="pulls")))
    assert seen == {const.REASON_ENTRY_FULL}
    assert harness.started(harness.arrive(state, 9999, service="grades"))


def test_urgent_calls_go_first_where_targets_are_shared():
    targets = harness.create_service().targets
    background = harness.create_service(
        "pulls", priority=models.Priority.BACKGROUND, targets=targets, queue=64
    )
    urgent = harness.create_service(
        "grades", priority=models.Priority.URGENT, targets=targets, queue=64
    )
    state = harness.create_state(background, urgent)
    running = harness.fill(state, service="pulls")
    for call in range(20):
        harness.arrive(state, call, caller="auditor", service="pulls")
    for call in range(100, 120):
        harness.arrive(state, call, caller="clerk", service="grades")
    order = []
    while running:
        attempt = running.pop(0).attempt
        begun = harness.started(harness.answer(state, attempt, 1.01))
        running += begun
        order += [effect.call for effect in begun]
    first = order[:20]
    assert sum(call >= 100 for call in first if call < 1000) >= 18
    assert any(call < 100 or call >= 1000 for call in first)


def test_waiting_calls_move_when_services_come_to_share_targets():
    state = harness.create_state(harness.create_service())
    running = harness.fill(state)
    shared = harness.create_service(
        "other", targets=harness.create_service().targets
    )
    harness.adopt(state, harness.create_service(), shared)
    pool = state.limits.pools["other"]
    assert pool is state.limits.pools["lookups"]
    assert pool.queue.length == 1
    assert len(running) == 4
