"""Models of a validated route table, and the state of routing by it."""

import dataclasses


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
    """

    version: int
    routes: tuple[Route, ...]
    health_paths: dict[str, str]
    limits: Limits


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
    """

    table: RouteTable | None = None
    by_host: dict[str, tuple[Route, ...]] = dataclasses.field(
        default_factory=dict
    )
    credits: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    longest_timeouts: dict[str, float] = dataclasses.field(default_factory=dict)
