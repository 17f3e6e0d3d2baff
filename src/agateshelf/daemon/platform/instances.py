"""Client of the platform's list of instances."""

from collections import abc
import dataclasses

import curio
import msgspec

from agateshelf.core import events
from agateshelf.core.membership import models
from agateshelf.daemon.platform import http

_OK = 200
_LEAVING = "leaving"

Post = abc.Callable[[events.Event], abc.Awaitable[None]]


class _Row(msgspec.Struct):
    id: str
    role: str
    address: str
    failure_domain: str = ""
    state: str = "live"


class _Body(msgspec.Struct):
    instances: list[_Row]


@dataclasses.dataclass(slots=True)
class InstancesClient:
    """Reads the list of instances.

    Attributes:
        address: `HOST:PORT` of the list.
    """

    address: str

    async def ask(self, timeout: float, post: Post) -> None:
        """Read the list; it is posted as an event."""
        await curio.spawn(self._ask, timeout, post, daemon=True)

    async def _ask(self, timeout: float, post: Post) -> None:
        request = http.PlatformRequest("GET", "/v1/instances")
        fetched = await http.fetch(self.address, request, timeout)
        listed = fetched.map(read_list).value_or(None)
        await post(listed or events.InstancesNotListed())


def read_list(answer: http.PlatformAnswer) -> events.InstancesListed | None:
    """Return the list that an answer holds; None if it is not a list."""
    if answer.status != _OK:
        return None
    try:
        body = msgspec.json.decode(answer.body, type=_Body)
        instances = tuple(map(_instance, body.instances))
    except (msgspec.MsgspecError, ValueError):
        return None
    return events.InstancesListed(instances)


def _instance(row: _Row) -> models.Instance:
    return models.Instance(
        id=row.id,
        role=models.Role(row.role),
        address=row.address,
        failure_domain=row.failure_domain,
        leaving=row.state == _LEAVING,
    )
