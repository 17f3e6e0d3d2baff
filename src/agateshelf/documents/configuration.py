"""Schema of the configuration, and its conversion to parts and core models."""

from collections import abc
from typing import Annotated
from typing import Any
from typing import Self

import msgspec
import pydantic

from agateshelf import decoding
from agateshelf import exceptions
from agateshelf.core.configuration import content
from agateshelf.core.configuration import models
from agateshelf.documents import check
from agateshelf.documents import teams as team_documents

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9\-]{0,62}$")]
Method = Annotated[str, pydantic.Field(pattern=r"^[A-Z]+$")]
Rate = Annotated[float, pydantic.Field(ge=0)]

_SECTIONS = ("services", "teams")
_DEFAULT_NON_IDEMPOTENT = ("POST", "PATCH")


_Address = Annotated[
    str, pydantic.Field(pattern=r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$")
]
_Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]


class TargetDocument(check.Document):
    """A target of a service."""

    id: Name
    address: _Address
    failure_domain: str
    draining: bool = False


class RefusalMarkDocument(check.Document):
    """Response header by which a target states that it did not run a request.

    Attributes:
        header: Name of the header, in any case.
        value: Value that states it.
    """

    header: str
    value: str


class CallerDocument(check.Document):
    """Share and rate limit of one caller at a service.

    Attributes:
        weight: Weight under overload, relative to the other callers.
        rate: Limit in calls per second over all entries; None for no limit.
    """

    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    rate: Rate | None = None


class ServiceDocument(check.Document):
    """A service and its policy; durations in seconds, rates per second."""

    team: Name
    prefix: Annotated[str, pydantic.Field(pattern="^/")]
    targets: tuple[TargetDocument, ...] = ()
    non_idempotent: tuple[Method, ...] = _DEFAULT_NON_IDEMPOTENT
    priority: Annotated[
        str, pydantic.Field(pattern="^(urgent|normal|background)$")
    ] = "normal"
    timeout: _Seconds = 5.0
    attempt_timeout: _Seconds = 2.0
    refusal_marks: tuple[RefusalMarkDocument, ...] = ()
    probe_rate: Rate = 20.0
    probe_bytes: Rate = 20000.0
    retry_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.05
    slots: Annotated[int, pydantic.Field(ge=1)] = 2
    queue: Annotated[int, pydantic.Field(ge=0)] = 64
    callers: dict[Name, CallerDocument] = {}
    store_away: Annotated[
        str, pydantic.Field(pattern="^(refuse|run-unclaimed)$")
    ] = "refuse"
    claim_lifetime: _Seconds = 600.0
    poison_crashes: Annotated[int, pydantic.Field(ge=1)] = 2

    @pydantic.model_validator(mode="after")
    def check_target_ids(self) -> Self:
        """Reject duplicate target identifiers."""
        ids = [target.id for target in self.targets]
        if len(ids) != len(set(ids)):
            raise ValueError("target ids must be unique within a service")
        return self


class ConfigurationDocument(check.Document):
    """One complete version of the configuration."""

    version: Annotated[int, pydantic.Field(ge=1)]
    services: dict[Name, ServiceDocument] = {}
    teams: dict[Name, team_documents.TeamDocument] = {}

    @pydantic.model_validator(mode="after")
    def check_prefixes(self) -> Self:
        """Reject services with the same prefix."""
        prefixes = [service.prefix for service in self.services.values()]
        if len(prefixes) != len(set(prefixes)):
            raise ValueError("service prefixes must be unique")
        return self

    @pydantic.model_validator(mode="after")
    def check_teams(self) -> Self:
        """Reject services of unlisted teams, and a lack of administrators.

        Without any token with the right `administer` nobody could change the
        teams again. A configuration without teams is valid.
        """
        if not self.teams:
            return self
        for name, service in self.services.items():
            if service.team not in self.teams:
                raise ValueError(f"team of service {name} is not listed")
        if not team_documents.has_administrator(self.teams):
            raise ValueError("at least one token needs the right administer")
        return self


def to_parts(document: abc.Mapping[str, Any]) -> tuple[content.Part, ...]:
    """Split a decoded document into one part for each service and team."""
    parts = []
    for section in _SECTIONS:
        for name, value in document.get(section, {}).items():
            encoded = msgspec.json.encode(value, order="sorted")
            parts.append(content.Part(f"{section}/{name}", encoded))
    return tuple(parts)


def from_parts(
    version: int, parts: abc.Iterable[content.Part]
) -> dict[str, Any]:
    """Assemble a decoded document from the parts of a version.

    Raises:
        DocumentError: A part is not JSON, or its section is unknown.
    """
    document: dict[str, Any] = {"version": version}
    for section in _SECTIONS:
        document[section] = {}
    for part in parts:
        section, _, name = part.name.partition("/")
        if section not in _SECTIONS:
            raise exceptions.DocumentError(f"/{section}", "unknown section")
        try:
            document[section][name] = msgspec.json.decode(part.value)
        except decoding.ERRORS:
            raise exceptions.DocumentError(
                f"/{part.name}", "must be valid JSON"
            ) from None
    return document


def read_parts(
    version: int, parts: abc.Iterable[content.Part]
) -> ConfigurationDocument:
    """Assemble and validate the document of a version.

    Raises:
        DocumentError: The parts are not a valid configuration.
    """
    return check.check_value(ConfigurationDocument, from_parts(version, parts))


def to_core(document: ConfigurationDocument) -> models.Configuration:
    """Convert a validated configuration to the models of the core."""
    services = {
        name: _to_service(name, service)
        for name, service in document.services.items()
    }
    return models.Configuration(document.version, services)


def _to_service(name: str, document: ServiceDocument) -> models.Service:
    return models.Service(
        name=name,
        team=document.team,
        prefix=document.prefix,
        targets=tuple(_to_target(target) for target in document.targets),
        non_idempotent=frozenset(document.non_idempotent),
        priority=models.Priority[document.priority.upper()],
        timeout=document.timeout,
        attempt_timeout=document.attempt_timeout,
        refusal_marks=tuple(
            _to_refusal_mark(mark) for mark in document.refusal_marks
        ),
        probe_rate=document.probe_rate,
        probe_bytes=document.probe_bytes,
        retry_share=document.retry_share,
        slots=document.slots,
        queue=document.queue,
        callers=tuple(
            models.CallerShare(caller, share.weight, share.rate)
            for caller, share in document.callers.items()
        ),
        store_outage_policy=models.StoreOutagePolicy(document.store_away),
        claim_lifetime=document.claim_lifetime,
        poison_crashes=document.poison_crashes,
    )


def _to_target(document: TargetDocument) -> models.Target:
    return models.Target(
        document.id,
        document.address,
        document.failure_domain,
        document.draining,
    )


def _to_refusal_mark(document: RefusalMarkDocument) -> models.RefusalMark:
    return models.RefusalMark(document.header.lower(), document.value)
