"""Data classes of one configuration version, already validated."""

import dataclasses
import enum


class Priority(enum.IntEnum):
    """Class of a request; a lower number goes first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class StoreAwayPolicy(enum.Enum):
    """What happens to a non-idempotent request while the store is away."""

    REFUSE = "refuse"
    RUN_UNCLAIMED = "run-unclaimed"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One target of a service.

    Attributes:
        id: Name, unique in the system.
        address: `HOST:PORT`.
        failure_domain: Where it runs.
        draining: Whether the operators let it have no new request.
    """

    id: str
    address: str
    failure_domain: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalMark:
    """An answer header by which a target says that it did not run a request."""

    header: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerShare:
    """How much one caller may take of a service.

    Attributes:
        caller: Name of the caller.
        weight: Share under overload, against the other callers' weights.
        rate: Calls a second over all entries together; None is no limit.
    """

    caller: str
    weight: float
    rate: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service and its policy.

    Attributes:
        name: Name, unique in the system.
        team: Team that owns the service.
        prefix: Path prefix of its requests.
        targets: Targets listed by the operators.
        non_idempotent: Methods whose requests may run at most once.
        priority: Class of its requests.
        timeout: Seconds a caller waits when it names no deadline.
        attempt_timeout: Seconds one attempt may take.
        refusal_marks: Marks that truly say "did not run".
        probe_rate: Probes a second that all entries together may send.
        probe_bytes: Bytes a second that all those probes may take.
        retry_share: Extra attempts as a share of calls.
        slots: Requests a target works on at once; the limit's first guess.
        queue: Requests an entry holds at most for want of a free target.
        callers: Shares of callers.
        store_away: What non-idempotent requests get while the store is away.
        claim_lifetime: Seconds a claim and its outcome are remembered.
        poison_crashes: Crashes after which a request is refused.
    """

    name: str
    team: str
    prefix: str
    targets: tuple[Target, ...]
    non_idempotent: frozenset[str]
    priority: Priority
    timeout: float
    attempt_timeout: float
    refusal_marks: tuple[RefusalMark, ...]
    probe_rate: float
    probe_bytes: float
    retry_share: float
    slots: int
    queue: int
    callers: tuple[CallerShare, ...]
    store_away: StoreAwayPolicy
    claim_lifetime: float
    poison_crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration, whole.

    Attributes:
        version: Number of the version; 0 means none was ever read.
        services: Services by name.
    """

    version: int
    services: dict[str, Service]


def create_empty() -> Configuration:
    """Create the configuration of an entry that has read none yet."""
    return Configuration(version=0, services={})


def service_of(cfg: Configuration, path: str) -> Service | None:
    """Return the service with the longest prefix of the path."""
    found = None
    for service in cfg.services.values():
        if not path.startswith(service.prefix):
            continue
        if found is None or len(service.prefix) > len(found.prefix):
            found = service
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadDue:
    """The store is to be asked for the head again (timer)."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class PullDue:
    """A peer asked for content should have answered by now (timer)."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class PatchStepDue:
    """A patch's unanswered step is to be tried again (timer)."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAnswerDue:
    """An operator has waited long enough for the store (timer)."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SurveyDue:
    """A survey asks its next entries or ends (timer)."""

    operation: int


ConfigurationTimer = (
    StoreReadDue | PullDue | PatchStepDue | PatchAnswerDue | SurveyDue
)
