"""Tests of rate limits over several entries that lend to each other."""

import collections
import heapq

import hypothesis
from hypothesis import strategies as st
import pytest
from tests.core.limits import harness

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import timers
from agateshelf.core.configuration import models
from agateshelf.core.limits import const
from agateshelf.core.limits import models as limit_models
from agateshelf.core.limits import rates as limit_rates

RATE = 100.0
KEY = ("lookups", "yard")
NAMES = tuple(f"e{n}" for n in range(5))


class Entries:
    """Several reducers with separate clocks that exchange messages."""

    def __init__(self, delay=0.001, names=NAMES):
        share = models.CallerShare("yard", 1.0, RATE)
        service = harness.create_service(callers=(share,), queue=64)
        self.states = {
            name: harness.create_state(service, entry=name) for name in names
        }
        for state in self.states.values():
            harness.see_entries(state, names)
        self.offsets = {name: 10.0 * n for n, name in enumerate(names)}
        self.now = 1.0
        self.delay = delay
        self.lost = set()
        self.wire = []
        self.sent = 0
        self.calls = 0
        self.admitted = collections.Counter()
        self.refused = collections.Counter()
        self.most = 0.0

    def clock(self, name):
        return self.now + self.offsets[name]

    def reduce(self, name, event):
        state = self.states[name]
        for effect in reducer.reduce(state, self.clock(name), event):
            match effect:
                case effects.StartAttempt():
                    self.admitted[name] += 1
                    self.reduce(
                        name, events.AttemptAnswered(effect.attempt, 200)
                    )
                case effects.Refuse():
                    assert effect.refusal.reason == const.REASON_RATE_EXCEEDED
                    assert (
                        effect.refusal.status == const.STATUS_TOO_MANY_REQUESTS
                    )
                    self.refused[name] += 1
                case effects.SendToPeers():
                    for peer in effect.peers:
                        self.send(name, peer, effect.message)

    def send(self, name, peer, message):
        self.sent += 1
        if name in self.lost or peer in self.lost:
            return
        event = events.PeerMessageReceived(name, message)
        due = self.now + self.delay
        heapq.heappush(self.wire, (due, self.sent, peer, event))

    def call(self, name):
        self.calls += 1
        request = events.RequestArrived(self.calls, "yard", "GET", "/lookups/")
        self.reduce(name, request)
        self.check()

    def check(self):
        """Check that the allowances of all entries sum to at most the rate."""
        total = sum(
            limit_rates.allowance_of(
                state.limits.rates,
                state.limits.rates.limiters[KEY],
                self.clock(name),
            )
            for name, state in self.states.items()
        )
        self.most = max(self.most, total)
        assert total <= RATE * (1 + 1e-9)

    def advance(self, seconds):
        until = self.now + seconds
        while True:
            due = [(self.wire[0][0], None)] if self.wire else []
            for name, state in self.states.items():
                at = timers.next_at(state.timers)
                due.append((at - self.offsets[name], name))
            at, name = min(due, key=lambda item: item[0])
            if at > until:
                break
            self.now = max(self.now, at)
            if name is None:
                _, _, peer, event = heapq.heappop(self.wire)
                self.reduce(peer, event)
            else:
                self.reduce(name, events.Tick())
            self.check()
        self.now = until


def offer(entries, name, rate, seconds):
    before = entries.admitted[name]
    for _ in range(int(rate * seconds)):
        entries.call(name)
        entries.advance(1 / rate)
    return (entries.admitted[name] - before) / seconds


def test_entry_that_gets_all_calls_borrows_unused_rate():
    entries = Entries()
    offer(entries, "e0", 2 * RATE, 1.0)
    assert offer(entries, "e0", 2 * RATE, 2.0) >= 0.85 * RATE


def test_entry_without_contact_keeps_to_its_part():
    entries = Entries()
    entries.lost = set(NAMES)
    offer(entries, "e0", 2 * RATE, 1.0)
    admitted = offer(entries, "e0", 2 * RATE, 2.0)
    assert admitted == pytest.approx(RATE / len(NAMES), rel=0.1)


def test_admitted_calls_stay_within_the_rate_while_load_moves():
    entries = Entries()
    began = entries.now
    for name in NAMES * 2:
        offer(entries, name, 3 * RATE, 0.7)
    most = RATE * (entries.now - began + const.RATE_BURST_SECONDS)
    assert sum(entries.admitted.values()) <= most + len(NAMES)
    assert entries.most == pytest.approx(RATE)


def test_lender_gets_its_part_back_when_the_loan_expires():
    entries = Entries()
    offer(entries, "e0", 2 * RATE, 2.0)
    for _ in range(int(2 * RATE)):
        entries.call("e0")
        entries.call("e1")
        entries.advance(0.5 / RATE)
    before = entries.admitted["e1"]
    for _ in range(int(4 * RATE)):
        entries.call("e0")
        entries.call("e1")
        entries.advance(0.5 / RATE)
    assert (entries.admitted["e1"] - before) / 2 >= 0.3 * RATE


def test_late_reply_shortens_the_loan():
    entries = Entries(delay=0.3)
    offer(entries, "e0", 2 * RATE, 0.1)
    for _ in range(60):
        entries.advance(0.05)
        entries.check()
    assert entries.most == pytest.approx(RATE)


def test_lender_earns_nothing_for_the_time_of_a_loan():
    rates = limit_models.RatesState(peers=NAMES[1:])
    limiter = limit_models.RateLimiter(RATE, tokens=0.0, filled_at=0.9)
    limiter.lent["e1"] = [limit_models.Loan(RATE / len(NAMES), 1.0, 0.0)]
    limit_rates.refill(rates, limiter, 1.1)
    assert limiter.tokens == 0.0


def test_requests_for_loans_are_few():
    entries = Entries()
    offer(entries, "e0", 10 * RATE, 2.0)
    requests = 2.0 / const.LOAN_REQUEST_INTERVAL_SECONDS + 1
    assert entries.sent <= 2 * requests * (len(NAMES) - 1)


def test_unlisted_callers_share_the_default():
    shares = (
        models.CallerShare("yard", 1.0, None),
        models.CallerShare("default", 1.0, 4.0),
    )
    state = harness.create_state(harness.create_service(callers=shares))
    seen = [
        harness.refused(harness.arrive(state, call, caller=f"c{call}"))
        for call in range(3)
    ]
    assert [len(emitted) for emitted in seen] == [0, 1, 1]
    assert not harness.refused(harness.arrive(state, 9, caller="yard"))
    assert len(state.limits.rates.limiters) == 1


STEPS = st.one_of(
    st.tuples(st.just("calls"), st.sampled_from(NAMES), st.integers(1, 30)),
    st.tuples(st.just("pass"), st.floats(0.001, 1.2), st.none()),
    st.tuples(st.just("lose"), st.sets(st.sampled_from(NAMES)), st.none()),
    st.tuples(st.just("delay"), st.floats(0.0, 1.5), st.none()),
)


@hypothesis.given(st.lists(STEPS, max_size=40))
@hypothesis.settings(max_examples=60)
def test_entries_never_overspend_together(steps):
    entries = Entries()
    began = entries.now
    for kind, first, second in steps:
        match kind:
            case "calls":
                for _ in range(second):
                    entries.call(first)
                    entries.advance(0.002)
            case "pass":
                entries.advance(first)
            case "lose":
                entries.lost = first
            case "delay":
                entries.delay = first
    seconds = entries.now - began + const.RATE_BURST_SECONDS
    most = RATE * seconds + len(NAMES) * const.MIN_RATE_BURST
    assert sum(entries.admitted.values()) <= most
