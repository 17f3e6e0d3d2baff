"""Tests of hedging: idempotent calls only, another target, within budget."""

import hypothesis
from hypothesis import strategies as st
from tests.core.routing import conftest

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.hedging import const
from agateshelf.core.outcomes import models as outcome_models

DUE = 1.0 + const.INITIAL_DELAY_SECONDS + 0.001


def create_entry(**changes):
    return conftest.Entry("e0", conftest.create_configuration(**changes))


def test_late_call_is_hedged_on_another_target_and_the_loser_cancelled():
    entry = create_entry()
    (first,) = conftest.started(entry.arrive(1.0))
    (second,) = conftest.started(entry.post(DUE, events.Tick()))
    assert second.target != first.target
    emitted = entry.answer(DUE + 0.01, second)
    assert effects.CancelAttempt(first.attempt) in emitted
    assert effects.DeliverAnswer(1, second.attempt) in emitted


def test_error_of_a_hedge_does_not_end_the_first_attempt():
    entry = create_entry()
    (first,) = conftest.started(entry.arrive(1.0))
    (second,) = conftest.started(entry.post(DUE, events.Tick()))
    assert not any(
        isinstance(e, effects.DeliverAnswer | effects.CancelAttempt)
        for e in entry.answer(DUE + 0.01, second, status=500)
    )
    emitted = entry.answer(DUE + 0.02, first)
    assert effects.DeliverAnswer(1, first.attempt) in emitted


def test_call_that_a_previous_hop_retries_is_not_hedged():
    entry = create_entry()
    entry.arrive(1.0, no_retry=True)
    assert not conftest.started(entry.post(DUE, events.Tick()))


def test_call_without_budget_is_not_hedged():
    entry = create_entry(retry_share=0.0)
    entry.arrive(1.0)
    assert not conftest.started(entry.post(DUE, events.Tick()))


def test_no_hedge_goes_to_a_target_without_a_free_slot():
    entry = create_entry(targets=2)
    for _ in range(4):
        entry.arrive(1.0)
    assert not conftest.started(entry.post(DUE, events.Tick()))


def test_hedges_stay_within_the_share_of_calls():
    entry = create_entry(targets=40)
    hedges = 0
    calls = 1000
    now = 1.0
    for _ in range(calls):
        (first,) = conftest.started(entry.arrive(now))
        now += 0.5
        hedges += len(conftest.started(entry.post(now, events.Tick())))
        entry.answer(now, first)
    assert 0 < hedges <= 0.05 * calls + 10


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["get", "post", "answer", "error", "drain", "fail", "tick", "told"]
        ),
        st.integers(0, 5),
    ),
    max_size=60,
)


@hypothesis.given(_STEPS)
def test_no_sequence_doubles_a_call_or_sends_to_a_leaving_target(steps):
    entry = create_entry(targets=4)
    running = {}
    leaving = set()
    now = 1.0
    for kind, n in steps:
        now += 0.02
        attempt = list(running.values())[n % len(running)] if running else None
        emitted = _step(entry, now, kind, n, attempt, leaving)
        if attempt is not None and kind in ("answer", "error", "drain", "fail"):
            running.pop(attempt.attempt, None)
        _check(entry, emitted, running, leaving)


def _step(entry, now, kind, n, attempt, leaving):
    match kind:
        case "get" | "post":
            return entry.arrive(now, kind.upper())
        case "told":
            leaving.add(f"lookups-{n}")
            return entry.receive_draining(now, f"lookups-{n}")
        case "answer" if attempt:
            return entry.answer(now, attempt)
        case "error" if attempt:
            return entry.answer(now, attempt, status=500)
        case "drain" if attempt:
            leaving.add(attempt.target)
            return entry.answer(now, attempt, draining=True)
        case "fail" if attempt:
            failed = events.AttemptFailed(
                attempt.attempt,
                outcome_models.FailureKind.RESET,
                any_byte_sent=True,
            )
            return entry.post(now, failed)
    return entry.post(now, events.Tick())


def _check(entry, emitted, running, leaving):
    for effect in emitted:
        if isinstance(effect, effects.CancelAttempt):
            running.pop(effect.attempt, None)
        if not isinstance(effect, effects.StartAttempt):
            continue
        assert effect.target not in leaving
        call = entry.state.calls.calls[effect.call]
        others = [a for a in running.values() if a.call == effect.call]
        assert call.idempotent or not others
        running[effect.attempt] = effect
