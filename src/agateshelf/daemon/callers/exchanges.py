"""Exchanges: pairs of a caller's request and its final response.

They connect the driver, which decides responses, with the tasks of the callers'
connections, which write them.
"""

import dataclasses
from typing import TYPE_CHECKING

import curio

from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.callers import wait_group
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import attempts

# Tracing is off by default, and its imports are large.
if TYPE_CHECKING:
    from opentelemetry import trace


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request and, once known, its final response.

    Attributes:
        request: The request.
        response: The answer or refusal; None before it is known, or if the
            caller disconnected.
        decided: Set once the final response is known.
        accepts_attempt: Whether the caller's task can run an attempt itself,
            which saves spawning a task for it.
        span: The call's span, if calls are traced.
        offered: Attempt that the caller's task shall run next.
    """

    request: messages.Request
    response: answers.Answer | outcome_models.Refusal | None = None
    decided: curio.Event = dataclasses.field(default_factory=curio.Event)
    accepts_attempt: bool = False
    span: "trace.Span | None" = None
    offered: attempts.RunningAttempt | None = None

    def offer(self, running: attempts.RunningAttempt) -> bool:
        """Offer an attempt to the caller's task; return whether it accepts."""
        if not self.accepts_attempt:
            return False
        self.accepts_attempt = False
        self.offered = running
        return True

    def take_offered(self) -> attempts.RunningAttempt | None:
        """Return the offered attempt, if any, and accept no further one."""
        running = self.offered
        self.offered = None
        self.accepts_attempt = False
        return running


@dataclasses.dataclass(slots=True)
class Exchanges:
    """All open exchanges by call number.

    Attributes:
        open: Exchanges without a final response.
        last_call: Number of the latest call.
        in_flight: Counts open connections and exchanges. An exchange counts
            until its response is written, not only until it is decided.
    """

    open: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    last_call: int = 0
    in_flight: wait_group.WaitGroup = dataclasses.field(
        default_factory=wait_group.WaitGroup
    )

    def begin(self, request: messages.Request) -> tuple[int, Exchange]:
        """Register a request; return its call number and exchange."""
        self.last_call += 1
        exchange = Exchange(request)
        self.open[self.last_call] = exchange
        self.in_flight.add()
        return self.last_call, exchange

    async def end(self) -> None:
        """Mark one exchange as done: answered, or its caller disconnected."""
        await self.in_flight.done()

    async def deliver(self, call: int, answer: answers.Answer) -> bool:
        """Pass an answer to the caller's task.

        Returns:
            Whether the exchange was still open.
        """
        return await self._decide(call, answer)

    async def refuse(self, call: int, refusal: outcome_models.Refusal) -> None:
        """Pass a refusal to the caller's task."""
        await self._decide(call, refusal)

    async def abandon(self, call: int) -> bool:
        """End an exchange without a response, as its caller disconnected.

        Returns:
            Whether the exchange was still open.
        """
        return await self._decide(call, None)

    async def _decide(
        self,
        call: int,
        response: answers.Answer | outcome_models.Refusal | None,
    ) -> bool:
        exchange = self.open.pop(call, None)
        if exchange is None:
            return False
        exchange.response = response
        await exchange.decided.set()
        return True
