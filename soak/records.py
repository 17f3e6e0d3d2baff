"""History of a run: callers' requests, faults and the targets' ledger.

Invariants are checked on it after the run.
"""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request and its outcome. Times are Unix times in seconds.

    Attributes:
        id: Request identifier.
        path: Request path.
        repeatable: Whether it may run more than once.
        entry: Number of the entry it was sent to.
        process: Process identifier of that entry.
        sent: When its last byte was sent.
        timeout: Timeout of its route, in seconds.
        ended: When the response was complete or the connection was closed; None
            if neither was observed.
        status: Status of the response; None without a complete response.
        own: Whether a response with status 200 is complete and was produced for
            this request.
        left: Whether the caller disconnected without waiting for a response.
        retry_after: Whether the response has a `Retry-After` header.
    """

    id: str
    path: str
    repeatable: bool
    entry: int
    process: int
    sent: float
    timeout: float
    ended: float | None = None
    status: int | None = None
    own: bool = False
    left: bool = False
    retry_after: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """Time in which a fault was active. Times are Unix times in seconds.

    Attributes:
        what: `entry` for a pause or kill of an entry, `stop` for its stop by
            SIGTERM, `link` for a fault of its links; `target` or `store` for
            any fault of these.
        index: Number of the entry or target; -1 for all.
        begin: When the fault began.
        end: When it was over.
    """

    what: str
    index: int
    begin: float
    end: float


@dataclasses.dataclass(slots=True)
class Record:
    """All observations of a run. Times are Unix times in seconds.

    Attributes:
        calls: The callers' requests, in the order in which they were sent.
        disturbances: Faults that excuse violations, in the order of their ends.
        tables: When the store acknowledged each version of the route table.
        ends: Entries that exited unexpectedly, too late or with an error.
        runs: Lines of the targets' ledger.
        calm_from: When the last fault was over.
        over: When the callers were stopped.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    tables: dict[int, float] = dataclasses.field(default_factory=dict)
    ends: list[str] = dataclasses.field(default_factory=list)
    runs: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    calm_from: float = 0.0
    over: float = 0.0
