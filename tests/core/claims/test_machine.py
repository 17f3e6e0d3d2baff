"""Runs the hypothesis state machine of bookings with fixed seeds."""

import hypothesis
import hypothesis.stateful
from tests.core.claims import machine

SETTINGS = hypothesis.settings(
    hypothesis.settings.get_profile("ci"),
    max_examples=150,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_no_booking_runs_twice_is_lost_or_misreported():
    hypothesis.stateful.run_state_machine_as_test(
        machine.BookingMachine, settings=SETTINGS
    )
