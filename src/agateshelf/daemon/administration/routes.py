"""Routes of the administration API and the right that each requires."""

from collections import abc
import dataclasses
import http
import urllib.parse

from agateshelf.daemon.administration import changes
from agateshelf.daemon.administration import context
from agateshelf.daemon.administration import replies
from agateshelf.daemon.administration import reports
from agateshelf.daemon.callers import problems
from agateshelf.documents import teams

Handler = abc.Callable[[context.RequestContext], abc.Awaitable[problems.Reply]]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the API.

    Attributes:
        method: HTTP method.
        path: Path to match; one that ends in a slash is a prefix, which must
            be followed by something.
        right: Right that the principal needs.
        handler: Handles a request and returns its reply.
    """

    method: str
    path: str
    right: teams.Right
    handler: Handler

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route matches a request."""
        if method != self.method:
            return False
        if self.path.endswith("/"):
            return path.startswith(self.path) and path != self.path
        return path == self.path


async def _status(ctx: context.RequestContext) -> problems.Reply:
    return replies.json_reply(http.HTTPStatus.OK, reports.status(ctx.driver))


async def _targets(ctx: context.RequestContext) -> problems.Reply:
    rows = reports.targets(ctx.driver)
    return replies.json_reply(http.HTTPStatus.OK, rows)


ROUTES = (
    Route("GET", "/status", teams.Right.READ, _status),
    Route("GET", "/targets", teams.Right.READ, _targets),
    Route("GET", "/entries", teams.Right.READ, changes.entries),
    Route("GET", "/config", teams.Right.READ, changes.show),
    Route("PATCH", "/config", teams.Right.CHANGE, changes.patch),
    Route(
        "POST", "/config/republish", teams.Right.ADMINISTER, changes.republish
    ),
    Route("GET", "/config/history", teams.Right.READ, changes.history),
    Route("GET", "/config/patches/", teams.Right.READ, changes.lookup),
)


def find_route(
    routes: abc.Sequence[Route], method: str, path: str
) -> Route | None:
    """Return the first route that matches a request, or None."""
    for route in routes:
        if route.matches(method, path):
            return route
    return None


def split_request_target(target: bytes) -> tuple[str, abc.Mapping[str, str]]:
    """Split a request target into its path and decoded query."""
    parts = urllib.parse.urlsplit(target.decode("latin-1"))
    return parts.path, dict(urllib.parse.parse_qsl(parts.query))
