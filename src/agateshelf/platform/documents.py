"""Decodes items of the platform's store into models of the core.

Items may come from any writer, so each one is validated on its own: one that
is invalid or lacks a field counts as absent and does not affect the others.
"""

from collections import abc
import dataclasses
from typing import Annotated

import msgspec

from agateshelf import decoding
from agateshelf.core.directory import models as directory_models
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.routes import const as route_const
from agateshelf.core.routes import models as route_models
from agateshelf.core.target_notices import const as notice_const
from agateshelf.platform import const
from agateshelf.platform import fields
from agateshelf.platform import items as platform_items
from agateshelf.platform import tenants


class _Target(msgspec.Struct):
    """Registration of a target in the platform's format.

    Attributes:
        service: Name of the service.
        address: IP address and port.
        zone: Failure domain of the target.
        version: Version given by the target; not used.
        slots: Requests that the target runs at once.
        state: `ready` or `draining`; a target in another state counts as
            absent.
        warmup_left: Milliseconds of warm-up left at the time of the write.
        sequence: Number that grows with every heartbeat.
        born: Start of the target's process in Unix milliseconds; set only by
            targets that may restart under the same identifier.
    """

    service: fields.Name
    address: fields.Address
    zone: str
    version: str
    slots: fields.Positive
    state: str
    warmup_left: msgspec.Raw
    sequence: fields.Integer
    born: fields.Integer | None = None


class _Share(msgspec.Struct):
    service: fields.Name
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct):
    name: fields.Name
    host: fields.Name
    prefix: fields.Prefix
    kind: str
    timeout: fields.Milliseconds
    target_latency: fields.Milliseconds
    max_attempts: fields.Positive
    priority: fields.Integer = 0
    service: str | None = None
    traffic_split: list[_Share] = []
    public: bool = False
    allowed_regions: list[fields.Name] = []


class _Service(msgspec.Struct):
    """A service in the platform's format.

    Attributes:
        name: Name of the service.
        health_path: Path of the targets' health check.
        warmup: Seconds for which a target is cold after its start.
        warmup_per_s: Requests a second that a cold target tolerates; None for
            any number.
    """

    name: fields.Name
    health_path: str = "/health"
    warmup: fields.Seconds = 0.0
    warmup_per_s: fields.Rate | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: fields.Positive
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=fields.MAX_INTEGER)]
    header_timeout: fields.Milliseconds
    idle_timeout: fields.Milliseconds


class _Configuration(msgspec.Struct):
    version: fields.Positive
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[msgspec.Raw] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The latest readable configuration, and what is wrong with the latest.

    Attributes:
        table: The routes; None without any that can be read.
        revision: Revision of the latest one, readable or not; 0 without any.
        problem: What could not be read of it, for the log; empty if all could.
    """

    table: route_models.RouteTable | None
    revision: int
    problem: str


_UNREADABLE = "unreadable as a whole"
_target_decoder = msgspec.json.Decoder(_Target)
_milliseconds_decoder = msgspec.json.Decoder(fields.Milliseconds)
_configuration_decoder = msgspec.json.Decoder(_Configuration)


def decode_targets(
    items: abc.Iterable[platform_items.Item],
) -> tuple[directory_models.Item, ...]:
    """Decode registrations; an invalid one becomes a removal."""
    return tuple(_decode_target(item) for item in items)


def _decode_target(item: platform_items.Item) -> directory_models.Item:
    identifier = item.key.removeprefix(const.PREFIX_TARGETS)
    removal = directory_models.Removal(identifier, item.revision)
    data = platform_items.decode_value(item)
    if data is None:
        return removal
    try:
        decoded = _target_decoder.decode(data)
    except decoding.ERRORS:
        return removal
    if decoded.state not in (const.STATE_READY, const.STATE_DRAINING):
        return removal
    if not fields.is_endpoint(decoded.address):
        return removal
    return directory_models.Registration(
        id=identifier,
        service=decoded.service,
        address=decoded.address,
        failure_domain=decoded.zone,
        slots=decoded.slots,
        draining=decoded.state == const.STATE_DRAINING,
        warmup=_to_warmup(decoded.warmup_left),
        born=decoded.born,
        revision=item.revision,
        sequence=decoded.sequence,
    )


def _to_warmup(value: msgspec.Raw) -> float:
    """Return the seconds of a warm-up; an invalid one removes no target."""
    try:
        milliseconds = _milliseconds_decoder.decode(value)
    except decoding.ERRORS:
        return notice_const.INVALID_WARMUP
    return milliseconds / const.MILLISECONDS_PER_SECOND


def decode_route_table(
    items: abc.Iterable[platform_items.Item],
) -> route_models.RouteTable | None:
    """Decode the latest readable routes; None without any."""
    return decode_configuration(items).table


def decode_configuration(
    items: abc.Iterable[platform_items.Item],
) -> Configuration:
    """Decode the latest readable configuration, and say what is wrong."""
    table: route_models.RouteTable | None = None
    problem = ""
    revision = 0
    for item in items:
        if item.key != const.KEY_ROUTES or item.tombstone:
            continue
        if item.revision < revision:
            continue
        revision = item.revision
        decoded = _decode_table(item)
        problem = _UNREADABLE
        if decoded is not None:
            table, bad_tenants = decoded
            problem = _describe(bad_tenants)
    return Configuration(table, revision, problem)


def _describe(bad_tenants: tuple[str, ...]) -> str:
    if not bad_tenants:
        return ""
    summary = tenants.summarize(bad_tenants)
    return f"{len(bad_tenants)} unreadable tenants left out: {summary}"


def decode_evacuations(
    items: abc.Iterable[platform_items.Item],
) -> tuple[evacuation_models.Change, ...]:
    """Decode requested and withdrawn evacuations.

    A key that exists requests one, whatever its value: it is safer to send
    nothing than to miss what the operator meant.
    """
    return tuple(
        evacuation_models.Change(
            item.key.removeprefix(const.PREFIX_EVACUATIONS),
            item.revision,
            evacuated=not item.tombstone,
        )
        for item in items
        if _is_evacuation(item)
    )


def find_unreadable_evacuations(
    items: abc.Iterable[platform_items.Item],
) -> list[platform_items.Item]:
    """Return the evacuations whose value is not a JSON object."""
    return [
        item
        for item in items
        if _is_evacuation(item) and not item.tombstone and not _is_object(item)
    ]


def _is_evacuation(item: platform_items.Item) -> bool:
    prefix = const.PREFIX_EVACUATIONS
    return item.key.startswith(prefix) and item.key != prefix


def _is_object(item: platform_items.Item) -> bool:
    data = platform_items.decode_value(item)
    if data is None:
        return False
    try:
        msgspec.json.decode(data, type=dict)
    except decoding.ERRORS:
        return False
    return True


def _decode_table(
    item: platform_items.Item,
) -> tuple[route_models.RouteTable, tuple[str, ...]] | None:
    """Return routes, and the tenants that were left out; None if unreadable."""
    data = platform_items.decode_value(item)
    if data is None:
        return None
    try:
        decoded = _configuration_decoder.decode(data)
    except decoding.ERRORS:
        return None
    workspaces: tuple[route_models.Workspace, ...] | None = None
    bad_tenants: tuple[str, ...] = ()
    if decoded.tenants is not None:
        workspaces, bad_tenants = tenants.decode(decoded.tenants)
    limits = route_models.Limits(
        header_bytes=decoded.limits.max_header_bytes,
        body_bytes=decoded.limits.max_body_bytes,
        header_seconds=decoded.limits.header_timeout
        / const.MILLISECONDS_PER_SECOND,
        idle_seconds=decoded.limits.idle_timeout
        / const.MILLISECONDS_PER_SECOND,
    )
    table = route_models.RouteTable(
        version=decoded.version,
        routes=tuple(_to_route(route) for route in decoded.routes),
        health_paths={s.name: s.health_path for s in decoded.services},
        limits=limits,
        warmups={
            service.name: route_models.Warmup(
                service.warmup, service.warmup_per_s
            )
            for service in decoded.services
            if service.warmup_per_s is not None and service.warmup > 0
        },
        workspaces=workspaces,
        format=route_const.TABLE_FORMAT,
        revision=item.revision,
    )
    return table, bad_tenants


def _to_route(route: _Route) -> route_models.Route:
    shares = tuple(
        route_models.Share(share.service, share.weight)
        for share in route.traffic_split
        if share.weight > 0
    )
    if not shares:
        shares = (route_models.Share(route.service or "", 1.0),)
    return route_models.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        shares=shares,
        idempotent=route.kind == const.KIND_IDEMPOTENT,
        timeout=route.timeout / const.MILLISECONDS_PER_SECOND,
        target_latency=route.target_latency / const.MILLISECONDS_PER_SECOND,
        max_attempts=route.max_attempts,
        priority=route.priority,
        public=route.public,
        regions=tuple(route.allowed_regions),
    )
