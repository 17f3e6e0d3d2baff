"""Structured logs: one JSON line for each decision, never blocking.

Standard output may be a pipe whose reader has stopped; a line that does not
fit is left out and counted. A bucket bounds the volume under load; in a
shortage, lines that tell of trouble go before those that tell of success.
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
# Lines that only lines of trouble may use.
RESERVED_LINES = 300.0
_OF_SUCCESS = frozenset({"attempt.started", "attempt.answered"})
_TOLD_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class NoteLog:
    """Writes notes to a file descriptor that does not block.

    Attributes:
        node: Name of the entry, on each line.
        descriptor: Where to write.
        tokens: Lines that may be written at once.
        refilled: Time the tokens were counted.
        left_out: Lines left out since the last one that said so.
        told_at: Time it was last said.
        rest: End of a line that did not fit.
    """

    node: str
    descriptor: int
    tokens: float = BURST_LINES
    refilled: float = 0.0
    left_out: int = 0
    told_at: float = 0.0
    rest: bytes = b""

    def write(self, note: effects.LogEvent) -> None:
        """Write one note, or count it as left out."""
        now = clock.now()
        if not self._take(now, note.event):
            self.left_out += 1
            return
        if self.left_out and now - self.told_at > _TOLD_SECONDS:
            self._tell_left_out(now)
        self._put(self._line(note))

    def _take(self, now: float, event: str) -> bool:
        gained = (now - self.refilled) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.refilled = now
        least = RESERVED_LINES if event in _OF_SUCCESS else 0.0
        if self.tokens < least + 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _tell_left_out(self, now: float) -> None:
        told = effects.LogEvent(
            "log.left_out", details=(("lines", self.left_out),)
        )
        self.left_out = 0
        self.told_at = now
        self._put(self._line(told))

    def _line(self, note: effects.LogEvent) -> bytes:
        fields: dict[str, object] = {
            "t": round(clock.wall(), 4),
            "node": self.node,
            "event": note.event,
        }
        if note.request_id:
            fields["request"] = note.request_id
        fields.update(note.details)
        return msgspec.json.encode(fields) + b"\n"

    def _put(self, line: bytes) -> None:
        data = self.rest + line
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # The reader is slow, or gone; the next line that can be written
            # tells how many were left out.
            self.left_out += 1
            return
        # A line that has begun is ended before another one begins.
        self.rest = data[written:]


def create_note_log(node: str) -> NoteLog:
    """Create the log of an entry on standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return NoteLog(node, descriptor, refilled=clock.now())


class NoteHandler(logbook.Handler):  # type: ignore[misc]
    """Puts the daemon's own log sentences among the notes."""

    def __init__(self, log: NoteLog, level: str) -> None:
        super().__init__(level=level)
        self.log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record as a note."""
        self.log.write(
            effects.LogEvent(
                f"log.{record.channel}",
                details=(
                    ("level", record.level_name.lower()),
                    ("message", record.message),
                ),
            )
        )
