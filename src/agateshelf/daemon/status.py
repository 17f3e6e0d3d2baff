"""HTTP server for readiness checks, Prometheus metrics and state reports."""

import dataclasses
import http
import importlib
from typing import Any

import h11
import msgspec

from agateshelf.core.membership import builds
from agateshelf.core.poison import persistence
from agateshelf.daemon import clock
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.callers import writing
from agateshelf.documents import settings

_PATH_READY = "/ready"
_PATH_METRICS = "/metrics"
_PATH_STATE = "/state"
_TEXT_HEADERS = (
    (b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),
)
_JSON_HEADERS = ((b"content-type", b"application/json"),)


@dataclasses.dataclass(slots=True)
class StatusServer:
    """Serves readiness, metrics and reports of the entry's state.

    Attributes:
        driver: The driver that it reports on.
        limits: Limits of connections and requests.
    """

    driver: daemon_driver.Driver
    limits: settings.Limits

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it is closed."""
        conn = reading.CallerConnection(
            sock, reading.create_protocol(), address[0], self.limits
        )
        try:
            await self._serve_requests(conn)
        except (OSError, h11.ProtocolError, reading.BadRequestError):
            self.driver.metrics.count("status.broken_connections")

    async def _serve_requests(self, conn: reading.CallerConnection) -> None:
        while True:
            request = await reading.read_request(conn)
            if request is None:
                return
            await writing.write_buffered(
                conn,
                self._reply_to(request),
                head_only=request.method == b"HEAD",
                close=False,
            )
            if conn.protocol.our_state is not h11.DONE:
                return
            conn.protocol.start_next_cycle()

    def _reply_to(self, request: messages.Request) -> problems.Reply:
        path = request.path.partition(b"?")[0].decode("latin-1")
        if path == _PATH_READY:
            ready = is_ready(self.driver)
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            if ready:
                status = http.HTTPStatus.OK
            return _reply(status, b"ready\n" if ready else b"not ready\n")
        if path == _PATH_METRICS:
            # Imported here since it is large and used only for Prometheus.
            exposition = importlib.import_module("agateshelf.daemon.exposition")
            text: bytes = exposition.text_of(
                self.driver.metrics, builds.running(self.driver.state)
            )
            return _reply(http.HTTPStatus.OK, text)
        if path == _PATH_STATE and self.driver.state.feed.enabled:
            # Imported on use: operators ask rarely, and memory is scarce.
            module = importlib.import_module("agateshelf.daemon.state_report")
            report = module.report_of(self.driver.state, clock.now())
            body = msgspec.json.encode(report)
            return _reply(http.HTTPStatus.OK, body, _JSON_HEADERS)
        return _reply(http.HTTPStatus.NOT_FOUND, b"no such path\n")


def is_ready(driver: daemon_driver.Driver) -> bool:
    """Return whether the entry can serve callers.

    It needs a configuration, or routes and at least one target, and must not be
    stopping.
    """
    state = driver.state
    if not driver.ready:
        return False
    if state.feed.enabled:
        if state.routes.table is None or not state.directory.targets:
            return False
        return not persistence.awaits_first_load(state)
    return state.version > 0


def _reply(
    status: http.HTTPStatus,
    body: bytes,
    headers: messages.Headers = _TEXT_HEADERS,
) -> problems.Reply:
    return problems.Reply(status, status.phrase.encode(), headers, body)
