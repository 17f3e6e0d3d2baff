"""The server that callers talk to."""

import dataclasses
import hashlib
from typing import Any

import h11
import logbook

from agateshelf import const
from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.callers import writing
from agateshelf.daemon.targets import answers
from agateshelf.documents import settings

_log = logbook.Logger("callers")

_STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class CallerServer:
    """Takes callers' connections and serves their requests in order.

    Attributes:
        driver: Where requests are decided.
        limits: What connections and requests may take.
        via: Value this hop adds to `Via`.
        connections: Connections open now.
    """

    driver: daemon_driver.Driver
    limits: settings.Limits
    via: bytes
    connections: int = 0

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        conn = reading.CallerConnection(sock, protocol, address[0], self.limits)
        self.connections += 1
        try:
            await self._serve_requests(conn)
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            self.driver.metrics.count("callers.broken_connections")
        finally:
            self.connections -= 1

    async def _serve_requests(self, conn: reading.CallerConnection) -> None:
        if self.connections > self.limits.connections:
            await self._refuse_connection(conn)
            return
        while True:
            try:
                request = await reading.read_request(conn)
            except reading.BadRequestError as exc:
                await self._answer_malformed(conn, exc)
                return
            if request is None:
                return
            if not await self._serve_request(conn, request):
                return
            conn.protocol.start_next_cycle()

    async def _refuse_connection(self, conn: reading.CallerConnection) -> None:
        reply = problems.malformed(
            _STATUS_UNAVAILABLE,
            "too-many-connections",
            "This entry has no room for another connection.",
        )
        await writing.write_reply(conn, reply, head_only=False, close=True)

    async def _answer_malformed(
        self, conn: reading.CallerConnection, exc: reading.BadRequestError
    ) -> None:
        self.driver.metrics.count("callers.malformed")
        if conn.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = problems.malformed(exc.status, exc.reason, exc.detail)
        await writing.write_reply(conn, reply, head_only=False, close=True)

    async def _serve_request(
        self, conn: reading.CallerConnection, request: messages.Request
    ) -> bool:
        call, exchange = self.driver.exchanges.begin(request)
        await self.driver.post(_event_of(call, request))
        await exchange.decided.wait()
        head_only = request.method == b"HEAD"
        close = not self.driver.ready
        match exchange.word:
            case outcome_models.Refusal() as refusal:
                reply = problems.reply_of(refusal)
                await writing.write_reply(
                    conn, reply, head_only=head_only, close=close
                )
            case answers.Answer(source=None) as answer:
                await writing.write_answer(
                    conn, answer, self.via, head_only=head_only, close=close
                )
            case answers.Answer() as answer:
                await self._stream(conn, answer)
            case None:
                return False
        return conn.protocol.our_state is h11.DONE

    async def _stream(
        self, conn: reading.CallerConnection, answer: answers.Answer
    ) -> None:
        source = answer.source
        whole = False
        try:
            await writing.write_stream(conn, answer, self.via)
            whole = True
        finally:
            if source is not None:
                await self.driver.targets.finish_stream(source, whole=whole)
            await self.driver.post(
                events.StreamEnded(answer.attempt, whole=whole)
            )


def create_server(
    driver: daemon_driver.Driver, cfg: settings.Settings
) -> CallerServer:
    """Create the server towards callers."""
    return CallerServer(driver, cfg.limits, cfg.entry.encode())


def _event_of(call: int, request: messages.Request) -> events.RequestArrived:
    headers = request.headers
    key = messages.header(headers, const.HEADER_IDEMPOTENCY_KEY.encode())
    caller = messages.header(headers, const.HEADER_CALLER.encode())
    no_retry = messages.header(headers, const.HEADER_NO_RETRY.encode())
    return events.RequestArrived(
        call=call,
        caller=(caller or b"").decode("latin-1"),
        method=request.method.decode("ascii"),
        path=request.path.decode("latin-1"),
        idempotency_key=key.decode("latin-1") if key else None,
        timeout=_timeout_of(headers),
        no_retry=no_retry is not None,
        body_digest=hashlib.sha256(request.body).digest(),
    )


def _timeout_of(headers: messages.Headers) -> float | None:
    value = messages.header(headers, const.HEADER_TIMEOUT_MS.encode())
    if value is None or not value.isdigit():
        return None
    return int(value) / 1000.0
