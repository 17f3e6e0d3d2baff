"""Property tests of the limits with random sequences of events."""

import collections
import math

import hypothesis
from hypothesis import strategies as st
from tests.core.limits import harness

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import timers
from agateshelf.core.limits import const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.retries import const as retry_const

QUEUE = 5
SHARE = 0.1
LIMIT_REASONS = {
    const.REASON_RATE_EXCEEDED,
    const.REASON_QUEUE_FULL,
    const.REASON_QUEUE_TOO_SLOW,
    const.REASON_DEADLINE_TOO_NEAR,
    const.REASON_ENTRY_FULL,
}

LOADS = st.sampled_from([None, harness.CALM, harness.CONGESTED])
STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from("abc"), st.floats(0.01, 3)),
    st.tuples(st.just("arrive"), st.sampled_from("abc"), st.floats(0.01, 3)),
    st.tuples(st.just("answer"), st.integers(0, 50), LOADS),
    st.tuples(st.just("refuse"), st.integers(0, 50), LOADS),
    st.tuples(st.just("fail"), st.integers(0, 50), st.booleans()),
    st.tuples(st.just("leave"), st.integers(0, 50), st.none()),
    st.tuples(st.just("pass"), st.floats(0.001, 0.3), st.none()),
)


class Entry:
    """Drives one reducer and checks every effect."""

    def __init__(self):
        service = harness.create_service(
            queue=QUEUE, retry_share=SHARE, attempt_timeout=1.0
        )
        self.state = harness.create_state(service)
        self.pool = self.state.limits.pools["lookups"]
        self.now = 1.0
        self.deadlines = {}
        self.final_responses = collections.Counter()
        self.left = set()
        self.running = {}
        self.sent = set()
        self.started = 0

    def reduce(self, event):
        emitted = reducer.reduce(self.state, self.now, event)
        for effect in emitted:
            self.check(effect)
        if any(isinstance(e, effects.StartAttempt) for e in emitted):
            most = math.ceil(max(const.MIN_WINDOW, self.pool.window))
            retried = self.started - len(self.sent)
            assert self.pool.in_flight <= most + retried
        assert self.pool.queue.length <= QUEUE
        assert self.pool.in_flight == len(self.running)

    def check(self, effect):
        match effect:
            case effects.StartAttempt():
                self.started += 1
                self.sent.add(effect.call)
                self.running[effect.attempt] = effect.call
                left = self.deadlines[effect.call] - self.now
                assert 0 < effect.timeout <= left
            case effects.CancelAttempt():
                self.running.pop(effect.attempt, None)
            case effects.DeliverAnswer():
                self.end(effect.call)
            case effects.Refuse():
                self.end(effect.call)
                if effect.refusal.reason in LIMIT_REASONS:
                    assert effect.call not in self.sent
                    outcome = effect.refusal.outcome
                    assert outcome is outcome_models.Outcome.NOT_RUN
                    assert effect.refusal.retry_after > 0

    def end(self, call):
        self.final_responses[call] += 1
        assert self.now <= self.deadlines[call] + 1e-9

    def pick(self, number):
        if not self.running:
            return None
        attempts = sorted(self.running)
        attempt = attempts[number % len(attempts)]
        del self.running[attempt]
        return attempt

    def advance(self, until):
        while True:
            at = timers.next_at(self.state.timers)
            if at is None or at > until:
                break
            self.now = max(self.now, at)
            self.reduce(events.Tick())
        self.now = until

    def step(self, kind, first, second):
        match kind:
            case "arrive":
                call = len(self.deadlines) + 1
                self.deadlines[call] = self.now + second
                self.reduce(
                    events.RequestArrived(
                        call, first, "GET", "/lookups/1", timeout=second
                    )
                )
            case "pass":
                self.advance(self.now + first)
            case "leave":
                open_calls = sorted(self.state.calls.calls)
                if open_calls:
                    call = open_calls[first % len(open_calls)]
                    self.left.add(call)
                    self.reduce(events.CallerDisconnected(call))
            case _:
                self.end_attempt(kind, first, second)

    def end_attempt(self, kind, number, detail):
        attempt = self.pick(number)
        if attempt is None:
            return
        match kind:
            case "answer":
                event = events.AttemptAnswered(attempt, 200, load=detail)
            case "refuse":
                event = events.AttemptAnswered(
                    attempt, 503, (harness.MARK,), load=detail
                )
            case "fail":
                event = events.AttemptFailed(
                    attempt,
                    outcome_models.FailureKind.RESET,
                    any_byte_sent=detail,
                )
        self.reduce(event)


@hypothesis.given(st.lists(STEPS, max_size=120))
@hypothesis.settings(max_examples=150)
def test_limits_hold_on_any_sequence(steps):
    entry = Entry()
    for step in steps:
        entry.step(*step)
    entry.advance(entry.now + 10)
    for call in entry.deadlines:
        assert entry.final_responses[call] == (0 if call in entry.left else 1)
    extra = entry.started - len(entry.sent)
    earned = SHARE * len(entry.sent) + 1e-9
    assert extra <= max(retry_const.INITIAL_TOKENS, earned)
    assert not entry.state.limits.tickets
    assert entry.pool.in_flight == entry.pool.passing == 0
    assert entry.pool.claiming == entry.pool.queue.length == 0
