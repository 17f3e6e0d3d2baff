"""A hypothesis state machine of callers, entries and faults.

After each step, the responses to callers are compared with the targets' ledger
of executed requests.
"""

from unittest import mock

from hypothesis import strategies as st
import hypothesis.stateful

from agateshelf.core.claims import const
from bench import bookings_world

ENTRIES = 3
LIFETIME_SECONDS = 60.0
# Callers must not resend a key after its lifetime, so they stop well before.
RESEND_WITHIN_SECONDS = 40.0

# Small enough for a few bookings to make an entry seal a head as a segment.
MAX_HEAD_BYTES = 400

CLEAN = bookings_world.Violations(0, 0, 0, 0)


class BookingMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Bookings, duplicates and faults in any order."""

    @hypothesis.stateful.initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed):
        service = bookings_world.create_service(claim_lifetime=LIFETIME_SECONDS)
        self.world = bookings_world.World(ENTRIES, seed, service=service)
        self.sent = []
        self.head_size_patch = mock.patch.object(
            const, "MAX_HEAD_BYTES", MAX_HEAD_BYTES
        )
        self.head_size_patch.start()

    def teardown(self):
        if hasattr(self, "head_size_patch"):
            self.head_size_patch.stop()

    def entry(self, index):
        live = self.world.live()
        return live[index % len(live)]

    @hypothesis.stateful.rule(
        index=st.integers(0, ENTRIES - 1),
        count=st.sampled_from([1, 2, 30]),
    )
    def book(self, index, count):
        for _ in range(count):
            key = f"k{len(self.sent)}"
            booking = self.world.book(key, self.entry(index))
            self.sent.append((booking, self.world.now))

    @hypothesis.stateful.rule(
        index=st.integers(0, ENTRIES - 1), back=st.integers(1, 40)
    )
    def resend(self, index, back):
        if not self.sent:
            return
        booking, began = self.sent[-min(back, len(self.sent))]
        if self.world.now - began <= RESEND_WITHIN_SECONDS:
            self.world.send(booking, self.entry(index))

    @hypothesis.stateful.rule(
        seconds=st.sampled_from(
            [0.002, 0.005, 0.03, 0.3, 1.0, 5.0, 30.0, 200.0]
        )
    )
    def fast_forward(self, seconds):
        self.world.run(self.world.now + seconds)

    @hypothesis.stateful.rule(unavailable=st.booleans())
    def set_store_outage(self, unavailable):
        self.world.store_unavailable = unavailable

    @hypothesis.stateful.rule(
        count=st.integers(1, 4), late_share=st.sampled_from([0.0, 1.0])
    )
    def lose_store_answers(self, count, late_share):
        self.world.unanswered_writes = count
        self.world.faults.late_store_writes = late_share

    @hypothesis.stateful.rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_peer_messages(self, share):
        self.world.faults.lost_peer_messages = share

    @hypothesis.stateful.rule(share=st.sampled_from([0.0, 0.5]))
    def cut_answers(self, share):
        self.world.faults.truncated_answers = share

    @hypothesis.stateful.rule(share=st.sampled_from([0.0, 0.5]))
    def silence_targets(self, share):
        self.world.faults.unanswered = share

    @hypothesis.stateful.rule(share=st.sampled_from([0.0, 0.5]))
    def refuse_at_targets(self, share):
        self.world.faults.refused = share

    @hypothesis.stateful.rule(
        index=st.integers(0, ENTRIES - 1),
        seconds=st.sampled_from([0.1, 1.0, 8.0, 30.0, 200.0]),
    )
    def pause(self, index, seconds):
        self.world.pause(self.entry(index), seconds)

    @hypothesis.stateful.rule(index=st.integers(0, ENTRIES - 1))
    def replace(self, index):
        self.world.replace(self.entry(index))

    @hypothesis.stateful.invariant()
    def every_response_matches_the_ledger(self):
        if hasattr(self, "world"):
            assert bookings_world.count_violations(self.world) == CLEAN
