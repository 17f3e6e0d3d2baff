"""HTTP server of the administration API."""

from collections import abc
import dataclasses
import http
from typing import Any

import h11
import logbook

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon import status as daemon_status
from agateshelf.daemon.administration import authorization
from agateshelf.daemon.administration import context
from agateshelf.daemon.administration import replies
from agateshelf.daemon.administration import routes
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.callers import writing
from agateshelf.documents import settings
from agateshelf.documents import teams

_log = logbook.Logger("administration")


@dataclasses.dataclass(slots=True)
class AdministrationServer:
    """Serves the administration API.

    Attributes:
        driver: Driver of this entry.
        limits: Limits of connections and requests.
        operator_digests: SHA-256 digests of the tokens in the settings.
    """

    driver: daemon_driver.Driver
    limits: settings.Limits
    operator_digests: abc.Sequence[str] = ()

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve the requests of one connection until it closes."""
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        conn = reading.CallerConnection(sock, protocol, address[0], self.limits)
        try:
            await self._serve_requests(conn)
        except (OSError, h11.ProtocolError):
            self.driver.metrics.count("administration.broken_connections")

    async def _serve_requests(self, conn: reading.CallerConnection) -> None:
        while True:
            try:
                request = await reading.read_request(conn)
            except reading.BadRequestError as exc:
                reply = problems.bad_request_reply(
                    exc.status, exc.reason, exc.detail
                )
                await writing.write_buffered(
                    conn, reply, head_only=False, close=True
                )
                await writing.linger(conn)
                return
            if request is None:
                return
            reply = await self._reply_to(request)
            await writing.write_buffered(
                conn,
                reply,
                head_only=request.method == b"HEAD",
                close=False,
            )
            if conn.protocol.our_state is not h11.DONE:
                return
            conn.protocol.start_next_cycle()

    async def _reply_to(self, request: messages.Request) -> problems.Reply:
        path, query = routes.split_request_target(request.path)
        unauthenticated_reply = self._unauthenticated_reply(path)
        if unauthenticated_reply is not None:
            return unauthenticated_reply
        principal = authorization.authenticate(
            request.headers, self.operator_digests, self._teams()
        )
        if principal is None:
            self.driver.metrics.count("administration.unknown_tokens")
            return replies.error_reply(
                http.HTTPStatus.UNAUTHORIZED, "a valid bearer token is required"
            )
        method = request.method.decode("ascii")
        route = routes.find_route(routes.ROUTES, method, path)
        if route is None:
            return replies.error_reply(
                http.HTTPStatus.NOT_FOUND, "no such path"
            )
        if not principal.has_right(route.right):
            return replies.error_reply(
                http.HTTPStatus.FORBIDDEN,
                f"the right {route.right} is required, but the token has the "
                f"right {principal.right}",
            )
        path_suffix = path[len(route.path) :]
        ctx = context.RequestContext(
            self.driver, principal, request, path_suffix, query
        )
        return await route.handler(ctx)

    def _unauthenticated_reply(self, path: str) -> problems.Reply | None:
        if path == "/health":
            return replies.json_reply(http.HTTPStatus.OK, {"health": "ok"})
        if path != "/ready":
            return None
        ready = daemon_status.is_ready(self.driver)
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if ready:
            status = http.HTTPStatus.OK
        return replies.json_reply(status, {"ready": ready})

    def _teams(self) -> abc.Mapping[str, teams.TeamDocument]:
        document = self.driver.document
        return document.teams if document is not None else {}
