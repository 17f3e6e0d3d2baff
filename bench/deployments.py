"""The two deployments that the benches simulate, and their configurations."""

from collections import abc
import dataclasses

from agateshelf.core.configuration import models

MEAN_SERVICE_SECONDS = 0.010
ENTRIES = 14
REFUSAL_MARK = models.RefusalMark("request-outcome", "not-run")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Size and kind of one service.

    Attributes:
        name: Name of the service.
        targets: Number of its targets.
        write_share: Share of its calls that are non-idempotent, from 0 to 1.
        priority: Priority of its requests.
    """

    name: str
    targets: int
    write_share: float
    priority: models.Priority


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size of one deployment.

    Attributes:
        name: Name of the deployment.
        domains: Names of its failure domains.
        latency: One-way latency between failure domains, in seconds.
        slots: Requests that each target works on at once.
        services: Its services.
    """

    name: str
    domains: tuple[str, ...]
    latency: float
    slots: int
    services: tuple[ServiceSpec, ...]

    def domain_of(self, index: int) -> str:
        """Return the failure domain of an instance: round robin by index."""
        return self.domains[index % len(self.domains)]


HARBORLINE = Deployment(
    "harborline",
    ("boston", "hartford", "portland", "providence"),
    0.0015,
    2,
    (
        ServiceSpec("lookups", 8, 0.0, models.Priority.URGENT),
        ServiceSpec("bookings", 8, 0.7, models.Priority.URGENT),
        ServiceSpec("feeds", 12, 0.0, models.Priority.BACKGROUND),
    ),
)
TSAGAAN = Deployment(
    "tsagaan",
    ("west", "centre", "east"),
    0.0005,
    3,
    (
        ServiceSpec("grades", 9, 0.0, models.Priority.URGENT),
        ServiceSpec("payouts", 6, 0.7, models.Priority.URGENT),
        ServiceSpec("records", 17, 0.0, models.Priority.BACKGROUND),
    ),
)
DEPLOYMENTS = (HARBORLINE, TSAGAAN)


def create_configuration(
    deployment: Deployment,
    change: abc.Callable[[models.Service], models.Service] = lambda s: s,
) -> models.Configuration:
    """Create a deployment's configuration; `change` adapts each service."""
    services = {}
    for spec in deployment.services:
        services[spec.name] = change(_create_service(deployment, spec))
    return models.Configuration(1, services)


def _create_service(
    deployment: Deployment, spec: ServiceSpec
) -> models.Service:
    targets = tuple(
        models.Target(
            f"{spec.name}-{n}",
            f"{spec.name}-{n}:1",
            deployment.domain_of(n),
        )
        for n in range(spec.targets)
    )
    return models.Service(
        name=spec.name,
        team=deployment.name,
        prefix=f"/{spec.name}/",
        targets=targets,
        non_idempotent=frozenset({"POST"}),
        priority=spec.priority,
        timeout=2.0,
        attempt_timeout=1.0,
        refusal_marks=(REFUSAL_MARK,),
        probe_rate=20.0,
        probe_bytes=20000.0,
        retry_share=0.05,
        slots=deployment.slots,
        queue=64,
        callers=(),
        store_outage_policy=models.StoreOutagePolicy.RUN_UNCLAIMED,
        claim_lifetime=600.0,
        poison_crashes=2,
    )
