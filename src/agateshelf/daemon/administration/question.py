"""One request to the administration API, with whoever asks."""

from collections import abc
import dataclasses

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.administration import authorization


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One request to the administration API.

    Attributes:
        driver: The driver of this entry.
        speaker: Whoever asks.
        request: The request.
        rest: What of the path follows the route.
        query: The decoded query.
    """

    driver: daemon_driver.Driver
    speaker: authorization.Speaker
    request: messages.Request
    rest: str
    query: abc.Mapping[str, str]
