"""Models of a validated route table, and the state of routing by it."""

import collections
import dataclasses

from agateshelf.core.routes import const


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's share of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Its weight relative to the route's other shares.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and their policy.

    Attributes:
        name: Name, unique among the routes.
        host: Host of the requests.
        prefix: Path prefix; it begins and ends with a slash.
        shares: Services among which the requests are split.
        idempotent: Whether a request may run more than once.
        timeout: Longest time a caller waits for a response, in seconds.
        target_latency: Latency objective in seconds; a later answer is less
            useful.
        max_attempts: Largest number of attempts for one request.
        priority: Priority of the requests; 0 is the highest.
        public: Whether requests need no key although workspaces are configured.
        regions: Regions in which requests may be served; empty for any.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    timeout: float
    target_latency: float
    max_attempts: int
    priority: int
    public: bool = False
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose requests carry one of its keys.

    Attributes:
        name: Name, unique among the workspaces.
        key_digests: SHA-256 digests of its keys, in hexadecimal.
        priority: Rank of its requests, which goes before that of the route; 0
            is the highest.
        rate: Requests a second that it may send over all entries; 0 for no
            limit.
        burst: Requests that it may send at once beyond the rate.
        regions: Regions in which its requests may be served; empty for any.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Warmup:
    """How the targets of a service warm up after a start.

    Attributes:
        seconds: Time for which a target is cold after its start.
        rate: Requests a second that a cold target may get from all entries
            together.
    """

    seconds: float
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size limits and timeouts of callers' requests and connections.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_seconds: Timeout for reading a request once it has begun.
        idle_seconds: Time after which an idle connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes.

    Attributes:
        version: Number of the version; 0 means that none was ever read.
        routes: All routes.
        health_paths: Path of each service's health check, by service.
        limits: Limits on callers' requests and connections.
        warmups: How targets warm up, by service; services whose targets may get
            any number of requests while cold are left out.
        workspaces: All workspaces; None if the configuration has none, so that
            requests need no key.
        format: Format of the table, `const.TABLE_FORMAT`. A table that comes
            from an earlier build has a lower one, as it lacks some fields.
        revision: Position in the store's history at which it was written; 0 if
            that is not known, as it came through an earlier build.
    """

    version: int
    routes: tuple[Route, ...]
    health_paths: dict[str, str]
    limits: Limits
    warmups: dict[str, Warmup] = dataclasses.field(default_factory=dict)
    workspaces: tuple[Workspace, ...] | None = None
    format: int = 0
    revision: int = 0


@dataclasses.dataclass(slots=True)
class RoutesState:
    """The current route table and the state kept for its routes.

    Attributes:
        table: The route table; None until one was read.
        by_host: Its routes by host in lower case, the longest prefix first.
        credits: Credit of each share of a split route, by route name; the
            share with the most credit gets the next request.
        longest_timeouts: Longest timeout that callers announced, by route
            name; a caller that announces a shorter one is taken for a retry.
        earlier: Tables that were in force before, the latest last.
    """

    table: RouteTable | None = None
    by_host: dict[str, tuple[Route, ...]] = dataclasses.field(
        default_factory=dict
    )
    credits: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    longest_timeouts: dict[str, float] = dataclasses.field(default_factory=dict)
    earlier: collections.deque[RouteTable] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=const.MAX_EARLIER_TABLES
        )
    )
