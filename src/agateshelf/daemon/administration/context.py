"""Context that handlers of the administration API receive."""

from collections import abc
import dataclasses

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.administration import authorization


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """An authorized request to the administration API.

    Attributes:
        driver: Driver of this entry.
        principal: Authenticated sender of the request.
        request: The request.
        path_suffix: Part of the path after the path of the route.
        query: Decoded parameters of the query.
    """

    driver: daemon_driver.Driver
    principal: authorization.Principal
    request: messages.Request
    path_suffix: str
    query: abc.Mapping[str, str]
