"""Decodes the tenants of the configuration, each one on its own.

A tenant that can't be read is left out, with its keys. The others stay in
force: otherwise one slip would keep keys served that the same configuration
withdraws.
"""

from collections import abc
import hashlib
from typing import Annotated

import msgspec

from agateshelf import decoding
from agateshelf.core.routes import models as route_models
from agateshelf.platform import fields

# Unreadable tenants that are named in the log.
_MAX_NAMED = 10


class _Tenant(msgspec.Struct):
    name: fields.Name
    api_keys: list[str] = []
    priority: fields.Integer = 0
    rate_per_s: fields.Rate | None = None
    burst: fields.Rate | None = None
    allowed_regions: list[fields.Name] = []


class _Named(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(max_length=200)]


_tenant_decoder = msgspec.json.Decoder(_Tenant)
_name_decoder = msgspec.json.Decoder(_Named)


def decode(
    tenants: abc.Iterable[msgspec.Raw],
) -> tuple[tuple[route_models.Workspace, ...], tuple[str, ...]]:
    """Decode tenants; their keys are known by their digests alone.

    Returns:
        The workspaces, and a description of each tenant that was left out.
    """
    workspaces: list[route_models.Workspace] = []
    unreadable: list[str] = []
    for position, raw in enumerate(tenants):
        workspace = _decode_one(raw)
        if workspace is None:
            unreadable.append(_describe(raw, position))
        else:
            workspaces.append(workspace)
    return tuple(workspaces), tuple(unreadable)


def _decode_one(raw: msgspec.Raw) -> route_models.Workspace | None:
    try:
        tenant = _tenant_decoder.decode(raw)
    except decoding.ERRORS:
        return None
    return route_models.Workspace(
        name=tenant.name,
        key_digests=tuple(
            hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys
        ),
        priority=tenant.priority,
        rate=tenant.rate_per_s or 0.0,
        burst=tenant.burst or 0.0,
        regions=tuple(tenant.allowed_regions),
    )


def _describe(raw: msgspec.Raw, position: int) -> str:
    """Return a tenant's position, and its name if it has one.

    Nothing else of it is repeated: any other part may be a key.
    """
    try:
        name = _name_decoder.decode(raw).name
    except decoding.ERRORS:
        return str(position)
    return f"{position} {name!r}"


def summarize(unreadable: tuple[str, ...]) -> str:
    """Return the first unreadable tenants, for one line of the log."""
    named = ", ".join(unreadable[:_MAX_NAMED])
    more = len(unreadable) - _MAX_NAMED
    return f"{named} and {more} more" if more > 0 else named
