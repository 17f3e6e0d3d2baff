"""One request to the administration API, with whoever asks."""

from collections import abc
import dataclasses

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.administration import authorization


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """One request to the administration API.

    Attributes:
        driver: The driver of this entry.
        principal: Whoever asks.
        request: The request.
        path_suffix: What of the path follows the route.
        query: The decoded query.
    """

    driver: daemon_driver.Driver
    principal: authorization.Principal
    request: messages.Request
    path_suffix: str
    query: abc.Mapping[str, str]
