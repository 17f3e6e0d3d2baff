"""Run the state machine of bookings for long, with fresh seeds."""

import sys

import click
import hypothesis
import hypothesis.stateful
from tests.core.claims import machine

_EXAMPLES = 2000
_STEPS = 60


@click.command()
@click.option("--examples", default=_EXAMPLES, help="Runs of the machine.")
@click.option("--steps", default=_STEPS, help="Steps of each run.")
def main(examples: int, steps: int) -> None:
    """Look for a booking that is doubled, lost or told wrongly."""
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
    print(f"{examples} runs of at most {steps} steps: every word was true")


if __name__ == "__main__":
    sys.exit(main())
