"""The server that operators and the balancer talk to."""

from collections import abc
import dataclasses
from typing import Any

import h11
import msgspec

from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.administration import models
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.callers import writing
from agateshelf.documents import settings

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503
_JSON = ((b"content-type", b"application/json"),)


@dataclasses.dataclass(slots=True)
class AdministrationServer:
    """Serves the administration API.

    Attributes:
        driver: The driver it reports on.
        limits: What connections and requests may take.
    """

    driver: daemon_driver.Driver
    limits: settings.Limits

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
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
                reply = problems.malformed(exc.status, exc.reason, exc.detail)
                await writing.write_reply(
                    conn, reply, head_only=False, close=True
                )
                return
            if request is None:
                return
            reply = self._reply_to(request)
            await writing.write_reply(
                conn,
                reply,
                head_only=request.method == b"HEAD",
                close=False,
            )
            if conn.protocol.our_state is not h11.DONE:
                return
            conn.protocol.start_next_cycle()

    def _reply_to(self, request: messages.Request) -> problems.Reply:
        match request.path:
            case b"/health":
                return _json_reply(_STATUS_OK, {"health": "ok"})
            case b"/ready":
                return self._readiness()
            case b"/status":
                return _json_reply(_STATUS_OK, self._status())
            case b"/targets":
                return _json_reply(_STATUS_OK, list(self._targets()))
            case _:
                fault = models.Fault("no such path")
                return _json_reply(_STATUS_NOT_FOUND, fault)

    def _readiness(self) -> problems.Reply:
        ready = self.driver.ready and self.driver.state.cfg.version > 0
        status = _STATUS_OK if ready else _STATUS_UNAVAILABLE
        return _json_reply(status, {"ready": ready})

    def _status(self) -> models.Status:
        state = self.driver.state
        return models.Status(
            entry=state.identity.entry,
            failure_domain=state.identity.failure_domain,
            ready=self.driver.ready,
            version=state.cfg.version,
            calls_in_flight=len(state.calls.calls),
            counts=self.driver.metrics.counts,
        )

    def _targets(self) -> abc.Iterator[models.TargetStatus]:
        for service, views in self.driver.state.routing.services.items():
            for view in views.values():
                yield models.TargetStatus(
                    service=service,
                    target=view.target.id,
                    address=view.target.address,
                    failure_domain=view.target.failure_domain,
                    in_flight=view.in_flight,
                    draining=view.draining,
                )


def _json_reply(status: int, value: object) -> problems.Reply:
    reason = b"OK" if status == _STATUS_OK else b""
    return problems.Reply(status, reason, _JSON, msgspec.json.encode(value))
