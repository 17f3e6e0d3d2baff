"""Exchanges: calls whose callers wait for their final word."""

import dataclasses

import curio

from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.targets import answers


@dataclasses.dataclass(slots=True)
class Exchange:
    """One caller's request and, in time, its final word.

    Attributes:
        request: The request.
        word: The answer or the refusal.
        decided: Set once the final word is known.
    """

    request: messages.Request
    word: answers.Answer | outcome_models.Refusal | None = None
    decided: curio.Event = dataclasses.field(default_factory=curio.Event)


@dataclasses.dataclass(slots=True)
class Exchanges:
    """All open exchanges by call number."""

    open: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    last_call: int = 0

    def begin(self, request: messages.Request) -> tuple[int, Exchange]:
        """Register a request; return its call number and exchange."""
        self.last_call += 1
        exchange = Exchange(request)
        self.open[self.last_call] = exchange
        return self.last_call, exchange

    def request_of(self, call: int) -> messages.Request | None:
        """Return the request of a call that is still open."""
        exchange = self.open.get(call)
        return exchange.request if exchange else None

    async def deliver(self, call: int, answer: answers.Answer | None) -> None:
        """Hand the answer to the caller's task."""
        exchange = self.open.pop(call, None)
        if exchange is None or answer is None:
            return
        exchange.word = answer
        await exchange.decided.set()

    async def refuse(self, call: int, refusal: outcome_models.Refusal) -> None:
        """Hand a refusal to the caller's task."""
        exchange = self.open.pop(call, None)
        if exchange is None:
            return
        exchange.word = refusal
        await exchange.decided.set()
