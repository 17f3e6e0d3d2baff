"""What is seen of a soak from outside: callers' words and disturbances."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller and what became of it. Times are Unix seconds.

    Attributes:
        id: Its identifier.
        path: Its path.
        repeatable: Whether it may run more than once.
        entry: Number of the entry it was sent to.
        process: Process of that entry.
        sent: When its last byte was sent.
        timeout: Seconds that its route allows.
        ended: When it was answered or its connection ended.
        status: Status of the answer; None without a whole one.
        own: Whether the answer is whole and made for it.
        left: Whether its caller left before.
        retry_after: Whether a refusal said when to come back.
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
    """A time in which something was not as usual.

    Attributes:
        what: `entry`, `stop` and `link` of an entry, `target`, or `store`.
        index: Number of the entry or target; -1 for all.
        begin: When it began.
        end: When it was over.
    """

    what: str
    index: int
    begin: float
    end: float


@dataclasses.dataclass(slots=True)
class Record:
    """All that a soak saw.

    Attributes:
        calls: The callers' requests.
        disturbances: What the soak did.
        tables: When each version of the routes was acknowledged.
        ends: What is wrong with how processes ended.
        runs: Lines of the targets' ledger.
        calm_from: When the last fault was over.
        over: When the soak ended.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    tables: dict[int, float] = dataclasses.field(default_factory=dict)
    ends: list[str] = dataclasses.field(default_factory=list)
    runs: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    calm_from: float = 0.0
    over: float = 0.0
