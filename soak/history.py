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
        idempotent: Whether it may run more than once.
        entry: Number of the entry it was sent to.
        process_id: Identifier of that entry's process.
        sent_at: When its last byte was sent.
        timeout: Timeout of its route, in seconds.
        ended_at: When the response was complete or the connection was closed;
            None if neither was observed.
        status: Status of the response; None without a complete response.
        verified: Whether a response with status 200 is complete and was
            produced for this request.
        disconnected: Whether the caller disconnected without waiting for a
            response.
        has_retry_after: Whether the response has a `Retry-After` header.
        answered_by: Target that produced the response; empty for none.
        said_leaving: Whether that target said that it is leaving.
        workspace: Name of the caller's workspace; empty for none.
        key: Key that it sent; empty for none.
        line: Identifier of the pipelined requests it was sent with; empty for
            none.
        sent_at_once: Whether all of these were sent in one piece.
        unread: Whether the response to one ahead of it closed the connection,
            so that it counts as not read.
        answered_as: Identifier of the request to which its response belongs,
            if the response names one.
        surplus: Bytes on the connection after the last pipelined response.
    """

    id: str
    path: str
    idempotent: bool
    entry: int
    process_id: int
    sent_at: float
    timeout: float
    ended_at: float | None = None
    status: int | None = None
    verified: bool = False
    disconnected: bool = False
    has_retry_after: bool = False
    answered_by: str = ""
    said_leaving: bool = False
    workspace: str = ""
    key: str = ""
    line: str = ""
    sent_at_once: bool = True
    unread: bool = False
    answered_as: str = ""
    surplus: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FaultWindow:
    """Time in which a fault was active. Times are Unix times in seconds.

    Attributes:
        kind: `entry` for a pause or kill of an entry, `stop` for its stop by
            SIGTERM, `busy` while its loop is kept busy, `link` for a fault of
            its links, `cut` for a cut from all targets; `target` or `store` for
            any fault of these, and also `lapse` while the entries may know of
            no target, as all registrations had been deleted.
        index: Number of the entry or target; -1 for all.
        begin: When the fault began.
        end: When it was over.
    """

    kind: str
    index: int
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """A limit that a target named. Times are Unix times in seconds.

    Attributes:
        target: Name of the target.
        rate: Requests a second that it named.
        begin: When it began to name it.
        end: When it stopped.
    """

    target: str
    rate: float
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuation of a failure domain. Times are Unix times in seconds.

    Attributes:
        targets: Numbers of its targets.
        begin: When the store had acknowledged it.
        end: When it was about to be taken back.
    """

    targets: frozenset[int]
    begin: float
    end: float


@dataclasses.dataclass(slots=True)
class History:
    """All observations of a run. Times are Unix times in seconds.

    Attributes:
        calls: The callers' requests, in the order in which they were sent.
        fault_windows: Faults that excuse violations, in the order of their
            ends.
        table_written_at: When the store acknowledged each version of the route
            table, by version.
        named_limits: Limits that targets named.
        evacuations: Evacuations of failure domains.
        limited_workspace: Name of the workspace with a quota; empty for none.
        quotas: When the store acknowledged each quota of that workspace, and
            the quota; each one is lower than the one before.
        withdrawn_at: When the store acknowledged that a key is withdrawn, by
            key.
        files_with_keys: Names of logs and other files that contain a key.
        exit_errors: Sentences on entries that exited unexpectedly, too late or
            with an error.
        ledger: Lines of the targets' ledger.
        store_calls: Reads and watches of the store by the entries.
        loop_delays: When the soak's own loop was late, and by how many seconds.
        faults_over_at: When the last fault was over.
        ended_at: When the callers were stopped.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    fault_windows: list[FaultWindow] = dataclasses.field(default_factory=list)
    table_written_at: dict[int, float] = dataclasses.field(default_factory=dict)
    named_limits: list[NamedLimit] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    limited_workspace: str = ""
    quotas: list[tuple[float, Any]] = dataclasses.field(default_factory=list)
    withdrawn_at: dict[str, float] = dataclasses.field(default_factory=dict)
    files_with_keys: list[str] = dataclasses.field(default_factory=list)
    exit_errors: list[str] = dataclasses.field(default_factory=list)
    ledger: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    store_calls: int = 0
    loop_delays: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    faults_over_at: float = 0.0
    ended_at: float = 0.0
