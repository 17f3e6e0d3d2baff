"""State of running attempts.

The stage an attempt has reached determines the kind of its failure.
"""

import dataclasses
import enum
from typing import TYPE_CHECKING

from agateshelf import exceptions
from agateshelf.core import effects
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import pool

# Tracing is off by default, and its imports are large.
if TYPE_CHECKING:
    from opentelemetry import trace

FailureKind = outcome_models.FailureKind


class TooLateError(exceptions.AgateshelfError):
    """The deadline for sending the request passed; no byte was sent."""


class RelayRefusedError(exceptions.AgateshelfError):
    """The relay answered itself: it has no answer of the target.

    Attributes:
        reached_target: Whether it tried the target.
        may_have_run: Whether the target may have run the request.
    """

    def __init__(self, *, reached_target: bool, may_have_run: bool) -> None:
        """Record what the relay says."""
        super().__init__("the relay has no answer of the target")
        self.reached_target = reached_target
        self.may_have_run = may_have_run

    @property
    def kind(self) -> FailureKind:
        """Return the kind of failure for the entry that has the call."""
        if self.may_have_run:
            return FailureKind.RESET
        return FailureKind.CONNECT if self.reached_target else FailureKind.RELAY


class Stage(enum.Enum):
    """Stage an attempt has reached."""

    CONNECTING = "connecting"
    SENDING = "sending"
    WAITING = "waiting"
    READING = "reading"


class Interruption(enum.Enum):
    """Reason why this entry ended an attempt."""

    CANCELLED = "cancelled"
    TIMEOUT = "timeout"


_DISCONNECT_KINDS = {
    Stage.CONNECTING: FailureKind.CONNECT,
    Stage.SENDING: FailureKind.WRITE_CUT,
    Stage.WAITING: FailureKind.RESET,
    Stage.READING: FailureKind.ANSWER_CUT,
}


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt and the resources to release if it fails.

    Attributes:
        effect: The effect that started the attempt.
        request: The request to send.
        started_at: Loop time at which it was registered.
        request_id: Identifier of the request, which its target echoes; empty if
            it has none.
        stage: Stage it has reached.
        kept_connection: Whether it uses a kept-alive connection.
        opening: Why it opened a connection, if it did.
        conn: Its connection; None before there is one and after the answer
            or the pool has taken it over.
        reserved: Bytes of the answer reserved in the memory budget, until the
            answer takes them over.
        interruption: Reason why this entry ended it, if it did.
        span: Its span, if calls are traced.
    """

    effect: effects.StartAttempt
    request: messages.Request
    started_at: float
    request_id: bytes = b""
    stage: Stage = Stage.CONNECTING
    kept_connection: bool = False
    opening: pool.Opening | None = None
    conn: connection.TargetConnection | None = None
    reserved: int = 0
    interruption: Interruption | None = None
    span: "trace.Span | None" = None

    @property
    def any_byte_sent(self) -> bool:
        """Return whether any byte of the request may have been sent."""
        return self.stage is not Stage.CONNECTING

    def interrupt(self, reason: Interruption) -> None:
        """Shut down the connection, which wakes the task to end the attempt."""
        if self.interruption is not None:
            return
        self.interruption = reason
        if self.conn is not None:
            self.conn.interrupt()

    def disconnect_kind(self) -> FailureKind:
        """Return the kind of failure after an error of the connection."""
        match self.interruption:
            case Interruption.CANCELLED:
                return FailureKind.CANCELLED
            case Interruption.TIMEOUT if self.any_byte_sent:
                return FailureKind.TIMEOUT
            case _ if self.effect.relay:
                return FailureKind.RELAY
            case _:
                return _DISCONNECT_KINDS[self.stage]

    def protocol_error_kind(self) -> FailureKind:
        """Return the kind of failure after a protocol error of h11.

        h11 reports an answer that ends early as a protocol error as well.
        """
        peer_closed = (
            self.conn is not None and self.conn.protocol.trailing_data[1]
        )
        if peer_closed or self.interruption is not None:
            return self.disconnect_kind()
        return FailureKind.BAD_ANSWER
