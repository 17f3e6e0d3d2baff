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
        try:
            answer = await http.fetch(self.address, request, timeout)
            await post(read_list(answer))
        except (http.PlatformError, msgspec.MsgspecError, ValueError):
            await post(events.InstancesNotListed())


def read_list(answer: http.PlatformAnswer) -> events.InstancesListed:
    """Return the list that an answer holds.

    Raises:
        msgspec.MsgspecError: The body is not what the protocol says.
        ValueError: It is no answer, or a role is not known.
    """
    if answer.status != _OK:
        raise ValueError(f"status {answer.status}")
    body = msgspec.json.decode(answer.body, type=_Body)
    return events.InstancesListed(tuple(map(_instance, body.instances)))


def _instance(row: _Row) -> models.Instance:
    return models.Instance(
        id=row.id,
        role=models.Role(row.role),
        address=row.address,
        failure_domain=row.failure_domain,
        leaving=row.state == _LEAVING,
    )
