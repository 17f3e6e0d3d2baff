"""The record of what was sent, answered and run."""

import dataclasses
import json
import pathlib
import time
from typing import Any


@dataclasses.dataclass(slots=True)
class Record:
    """Lines of JSON, each with the seconds since the start.

    Attributes:
        path: File that is written at the end.
        rows: The lines so far.
    """

    path: pathlib.Path
    began: float = dataclasses.field(default_factory=time.monotonic)
    rows: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    def add(self, event: str, **details: Any) -> None:
        """Add a line."""
        at = round(time.monotonic() - self.began, 3)
        self.rows.append({"at": at, "event": event, **details})

    def count(self, event: str, **details: Any) -> int:
        """Return how many lines have an event and these details."""
        return sum(
            1
            for row in self.rows
            if row["event"] == event
            and all(row.get(name) == value for name, value in details.items())
        )

    def write(self) -> None:
        """Write the file."""
        lines = [json.dumps(row) for row in self.rows]
        self.path.write_text("\n".join([*lines, ""]))
