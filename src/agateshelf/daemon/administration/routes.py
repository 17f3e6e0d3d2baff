"""Paths of the administration API and the right that each needs."""

from collections import abc
import dataclasses
import http
import urllib.parse

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.administration import authorization
from agateshelf.daemon.administration import replies
from agateshelf.daemon.administration import reports
from agateshelf.daemon.callers import problems
from agateshelf.documents import teams


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


Handler = abc.Callable[[Question], abc.Awaitable[problems.Reply]]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One path of the API.

    Attributes:
        method: HTTP method.
        path: The path; one that ends in a slash takes what follows.
        right: Right that the speaker needs.
        handler: Answers the question.
    """

    method: str
    path: str
    right: teams.Right
    handler: Handler

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route serves a request."""
        if method != self.method:
            return False
        if self.path.endswith("/"):
            return path.startswith(self.path) and path != self.path
        return path == self.path


async def _status(question: Question) -> problems.Reply:
    return replies.reply(http.HTTPStatus.OK, reports.status(question.driver))


async def _targets(question: Question) -> problems.Reply:
    rows = reports.targets(question.driver)
    return replies.reply(http.HTTPStatus.OK, rows)


ROUTES = (
    Route("GET", "/status", teams.Right.READ, _status),
    Route("GET", "/targets", teams.Right.READ, _targets),
)


def find(routes: abc.Sequence[Route], method: str, path: str) -> Route | None:
    """Return the route that serves a request."""
    for route in routes:
        if route.matches(method, path):
            return route
    return None


def split_target(target: bytes) -> tuple[str, abc.Mapping[str, str]]:
    """Return the path and the query of a request target."""
    parts = urllib.parse.urlsplit(target.decode("latin-1"))
    return parts.path, dict(urllib.parse.parse_qsl(parts.query))
