"""Gives the processor back in loops over what a peer sends.

A receive that finds bytes at once doesn't wait, so that a loop over the bytes
of a fast sender would never let another task run, nor end at its timeout.
"""

import dataclasses

import curio

# Steps without a wait after which the processor is given back. A step takes
# some 30 microseconds, and a request of another caller some 30 turns.
MAX_STEPS = 16


@dataclasses.dataclass(slots=True)
class Turn:
    """Counts the steps of a task since it last gave the processor back.

    Attributes:
        steps: Steps so far.
    """

    steps: int = 0

    async def step(self, weight: int = 1) -> None:
        """Count a step; let other tasks run if there were many.

        Args:
            weight: What the step costs, in simple steps.

        Raises:
            curio.TaskTimeout: The task's timeout has passed.
        """
        self.steps += weight
        if self.steps >= MAX_STEPS:
            self.steps = 0
            await curio.sleep(0)
