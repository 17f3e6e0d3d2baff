"""Operators' questions on their way through the reducer and back."""

import dataclasses

import curio

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.daemon import posting

Answer = effects.AnswerPatch | effects.AnswerHistory | effects.AnswerSurvey


@dataclasses.dataclass(slots=True)
class Operations:
    """Questions that wait for their answer, by number.

    Attributes:
        waiting: A queue for each question.
        last: Number of the latest question.
    """

    waiting: dict[int, curio.Queue] = dataclasses.field(default_factory=dict)
    last: int = 0

    def next_number(self) -> int:
        """Return a number for a question, unique in this process."""
        self.last += 1
        return self.last

    async def ask(
        self, event: events.OperatorRequest, post: posting.Post
    ) -> Answer:
        """Post a question and return its answer; the core bounds the wait."""
        queue = curio.Queue()
        self.waiting[event.operation] = queue
        try:
            await post(event)
            answer: Answer = await queue.get()
        finally:
            self.waiting.pop(event.operation, None)
        return answer

    async def answer(self, effect: Answer) -> None:
        """Hand an answer to whoever waits for it."""
        queue = self.waiting.get(effect.operation)
        if queue is not None:
            await queue.put(effect)
