"""What the platform's store holds, decoded into the product's types.

An item may come from any writer: whatever is missing, of another type or not
readable makes that one item count for nothing, never its neighbours.
"""

from collections import abc
from typing import Annotated

import msgspec

from agateshelf.core.directory import models as directory_models
from agateshelf.core.routes import models as route_models
from agateshelf.platform import const
from agateshelf.platform import items as platform_items

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
_Prefix = Annotated[str, msgspec.Meta(pattern="^/(.*/)?$")]


class _Target(msgspec.Struct):
    """A registration, as the platform spells it.

    `warmup_left` counts from the writing. `sequence` grows with every
    heartbeat and says nothing else. `born` is told only by targets that may
    start again under their identifier.
    """

    service: _Name
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    warmup_left: _Milliseconds
    sequence: int
    born: int | None = None


class _Share(msgspec.Struct):
    service: _Name
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct):
    name: _Name
    host: _Name
    prefix: _Prefix
    kind: str
    timeout: _Milliseconds
    target_latency: _Milliseconds
    max_attempts: Annotated[int, msgspec.Meta(ge=1)]
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Share] = []


class _Service(msgspec.Struct):
    name: _Name
    health_path: str = "/health"


class _Limits(msgspec.Struct):
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1)]
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)]
    header_timeout: _Milliseconds
    idle_timeout: _Milliseconds


class _Configuration(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=1)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


_target_decoder = msgspec.json.Decoder(_Target)
_configuration_decoder = msgspec.json.Decoder(_Configuration)


def decode_targets(
    items: abc.Iterable[platform_items.Item],
) -> tuple[directory_models.Item, ...]:
    """Return the registrations that items hold."""
    return tuple(_target_of(item) for item in items)


def _target_of(item: platform_items.Item) -> directory_models.Item:
    identifier = item.key.removeprefix(const.PREFIX_TARGETS)
    absent = directory_models.Removal(identifier, item.revision)
    data = platform_items.decode_value(item)
    if data is None:
        return absent
    try:
        read = _target_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeError):
        return absent
    if read.state not in (const.STATE_READY, const.STATE_DRAINING):
        return absent
    return directory_models.Registration(
        id=identifier,
        service=read.service,
        address=read.address,
        failure_domain=read.zone,
        slots=read.slots,
        draining=read.state == const.STATE_DRAINING,
        warmup=read.warmup_left / const.MILLISECONDS,
        born=read.born,
        revision=item.revision,
    )


def decode_route_table(
    items: abc.Iterable[platform_items.Item],
) -> route_models.RouteTable | None:
    """Return the newest routes that items hold; None if there are none."""
    table: route_models.RouteTable | None = None
    for item in items:
        if item.key != const.KEY_ROUTES:
            continue
        data = platform_items.decode_value(item)
        read = None if data is None else _read_table(data)
        if read is not None and (table is None or read.version > table.version):
            table = read
    return table


def _read_table(data: bytes) -> route_models.RouteTable | None:
    try:
        read = _configuration_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeError):
        return None
    limits = route_models.Limits(
        header_bytes=read.limits.max_header_bytes,
        body_bytes=read.limits.max_body_bytes,
        header_seconds=read.limits.header_timeout / const.MILLISECONDS,
        idle_seconds=read.limits.idle_timeout / const.MILLISECONDS,
    )
    return route_models.RouteTable(
        version=read.version,
        routes=tuple(_route_of(route) for route in read.routes),
        health_paths={s.name: s.health_path for s in read.services},
        limits=limits,
    )


def _route_of(route: _Route) -> route_models.Route:
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
        timeout=route.timeout / const.MILLISECONDS,
        target_latency=route.target_latency / const.MILLISECONDS,
        max_attempts=route.max_attempts,
        priority=route.priority,
    )
