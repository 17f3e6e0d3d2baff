"""Runs the stateful test of bookings with random seeds and many examples.

The test suite runs the same state machine with fixed seeds and few examples.
"""

import sys

import click
import hypothesis
import hypothesis.stateful
from tests.core.claims import machine

_EXAMPLES = 2000
_STEPS = 60


@click.command()
@click.option(
    "--examples", default=_EXAMPLES, help="Number of runs of the state machine."
)
@click.option(
    "--steps", default=_STEPS, help="Maximum number of steps per run."
)
def main(examples: int, steps: int) -> None:
    """Search for bookings that run twice, are lost or get a false response."""
    settings = hypothesis.settings(
        derandomize=False,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.stateful.run_state_machine_as_test(
        machine.BookingMachine, settings=settings
    )
    print(f"{examples} runs of at most {steps} steps: no violations")


if __name__ == "__main__":
    sys.exit(main())
