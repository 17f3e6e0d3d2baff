"""Validated configuration of the services, and the timer events."""

import dataclasses
import enum


class Priority(enum.IntEnum):
    """Priority class of a request; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class StoreOutagePolicy(enum.Enum):
    """Handling of non-idempotent requests while the store is unavailable."""

    REFUSE = "refuse"
    RUN_UNCLAIMED = "run-unclaimed"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One target of a service.

    Attributes:
        id: Identifier, unique in the system.
        address: `HOST:PORT`.
        failure_domain: Failure domain that it runs in.
        draining: Whether the operators exclude it from new requests.
    """

    id: str
    address: str
    failure_domain: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalMark:
    """Response header by which a target states that it did not run a request.

    Attributes:
        header: Name of the header, in lower case.
        value: Value that states it.
    """

    header: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerShare:
    """Share and rate limit of one caller at a service.

    Attributes:
        caller: Name of the caller.
        weight: Weight under overload, relative to the other callers.
        rate: Limit in calls per second over all entries together; None for no
            limit.
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
        priority: Priority class of its requests.
        timeout: Default deadline of a call, in seconds, for callers that send
            none.
        attempt_timeout: Timeout of one attempt, in seconds.
        refusal_marks: Response headers that reliably mean "did not run".
        probe_rate: Limit in probes per second over all entries together.
        probe_bytes: Limit in bytes per second for all those probes.
        retry_share: Limit of extra attempts, as a share of calls.
        slots: Initial concurrency limit of each target, in requests.
        queue: Limit of requests queued at an entry for a free target.
        callers: Shares and rate limits of callers.
        store_outage_policy: Handling of non-idempotent requests while the
            store is unavailable.
        claim_lifetime: Seconds for which a claim and its outcome are kept.
        poison_crashes: Number of target crashes after which a request is
            refused.
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
    store_outage_policy: StoreOutagePolicy
    claim_lifetime: float
    poison_crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration.

    Attributes:
        version: Version number; 0 if no configuration was ever read.
        services: Services by name.
    """

    version: int
    services: dict[str, Service]


def create_empty() -> Configuration:
    """Create the configuration of an entry that has not read one yet."""
    return Configuration(version=0, services={})


def find_service(cfg: Configuration, path: str) -> Service | None:
    """Return the service whose prefix is the longest match of the path."""
    found = None
    for service in cfg.services.values():
        if not path.startswith(service.prefix):
            continue
        if found is None or len(service.prefix) > len(found.prefix):
            found = service
    return found


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadDue:
    """The configuration head is due to be read or watched again (timer)."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class PullDue:
    """A content request to a peer has timed out (timer)."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class PatchStepDue:
    """The current step of a patch is due to be retried (timer)."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAnswerDue:
    """The operator of a patch is due an answer (timer)."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SurveyDue:
    """A survey is due to ask its next entries or to end (timer)."""

    operation: int


ConfigurationTimer = (
    StoreReadDue | PullDue | PatchStepDue | PatchAnswerDue | SurveyDue
)
