"""Operators' requests that are processed by the reducer."""

import dataclasses

import curio

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.daemon import posting

Result = effects.AnswerPatch | effects.AnswerHistory | effects.AnswerSurvey


@dataclasses.dataclass(slots=True)
class Operations:
    """Matches results to the operators' requests that await them.

    Attributes:
        pending: Queue for the result of each pending request, by number.
        last_number: Number of the latest request.
    """

    pending: dict[int, curio.Queue] = dataclasses.field(default_factory=dict)
    last_number: int = 0

    def next_number(self) -> int:
        """Return a new request number, unique in this process."""
        self.last_number += 1
        return self.last_number

    async def execute(
        self, event: events.OperatorRequest, post: posting.Post
    ) -> Result:
        """Post a request and return its result; the core limits the wait."""
        queue = curio.Queue()
        self.pending[event.operation] = queue
        try:
            await post(event)
            result: Result = await queue.get()
        finally:
            self.pending.pop(event.operation, None)
        return result

    async def resolve(self, effect: Result) -> None:
        """Pass a result to the task that awaits it, if it still does."""
        queue = self.pending.get(effect.operation)
        if queue is not None:
            await queue.put(effect)
