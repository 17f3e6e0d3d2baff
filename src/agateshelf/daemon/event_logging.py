"""Structured log of decisions: JSON lines on standard output.

Writing never blocks, since standard output may be a pipe whose reader has
stopped; a line that does not fit is dropped and counted. A token bucket bounds
the volume under load. Events of the normal course of an attempt can't use the
last tokens, so that in a shortage failures and refusals are still logged.
"""

import dataclasses
import os
import sys

import logbook
import msgspec

from agateshelf.core import effects
from agateshelf.daemon import clock

LINES_PER_SECOND = 200.0
BURST_LINES = 1000.0
# Tokens that routine events can't use.
RESERVED_LINES = 300.0
_ROUTINE_EVENTS = frozenset({"attempt.started", "attempt.answered"})
_REPORT_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class EventLog:
    """Writes log events to a non-blocking file descriptor.

    Attributes:
        node: Name of the entry, written in each line.
        descriptor: File descriptor of the output.
        tokens: Number of lines that may be written at once.
        refilled_at: Loop time at which `tokens` was last refilled.
        dropped: Number of lines dropped since they were last reported.
        reported_at: Loop time at which dropped lines were last reported.
        remainder: End of a line that was written in part.
    """

    node: str
    descriptor: int
    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0
    reported_at: float = 0.0
    remainder: bytes = b""

    def write(self, event: effects.LogEvent) -> None:
        """Write one event, or count it as dropped."""
        now = clock.now()
        if not self._take_token(now, event.event):
            self.dropped += 1
            return
        if self.dropped and now - self.reported_at > _REPORT_SECONDS:
            self._report_dropped(now)
        self._write_line(self._encode(event))

    def _take_token(self, now: float, event: str) -> bool:
        gained = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.refilled_at = now
        reserved = RESERVED_LINES if event in _ROUTINE_EVENTS else 0.0
        if self.tokens < reserved + 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _report_dropped(self, now: float) -> None:
        event = effects.LogEvent(
            "log.left_out", details=(("lines", self.dropped),)
        )
        self.dropped = 0
        self.reported_at = now
        self._write_line(self._encode(event))

    def _encode(self, event: effects.LogEvent) -> bytes:
        fields: dict[str, object] = {
            "t": round(clock.wall(), 4),
            "node": self.node,
            "event": event.event,
        }
        if event.request_id:
            fields["request"] = event.request_id
        fields.update(event.details)
        return msgspec.json.encode(fields) + b"\n"

    def _write_line(self, line: bytes) -> None:
        data = self.remainder + line
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # The reader is slow or gone. A later line that can be written
            # reports the number of dropped ones.
            self.dropped += 1
            return
        # A line written in part is completed before the next one.
        self.remainder = data[written:]


def create_event_log(node: str) -> EventLog:
    """Create the event log of an entry on standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return EventLog(node, descriptor, refilled_at=clock.now())


class EventLogHandler(logbook.Handler):  # type: ignore[misc]
    """Writes the log records of the daemon to the event log."""

    def __init__(self, log: EventLog, level: str) -> None:
        super().__init__(level=level)
        self.log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record as a log event."""
        self.log.write(
            effects.LogEvent(
                f"log.{record.channel}",
                details=(
                    ("level", record.level_name.lower()),
                    ("message", record.message),
                ),
            )
        )
