"""HTTP server for callers: accepts requests and writes their responses."""

import dataclasses
from typing import Any

import curio
import h11
import logbook
import msgspec

from agateshelf import const as agateshelf_const
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import models as route_models
from agateshelf.daemon import certificates
from agateshelf.daemon import clock
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.callers import calls
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import memory
from agateshelf.daemon.callers import pipelining
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.callers import watching
from agateshelf.daemon.callers import writing
from agateshelf.daemon.targets import answers
from agateshelf.documents import settings

_RELAY_TARGET = agateshelf_const.HEADER_RELAY_TARGET.encode()
_log = logbook.Logger("callers")

_CONNECTION_ERRORS = (
    OSError,
    h11.RemoteProtocolError,
    h11.LocalProtocolError,
    curio.TaskTimeout,
)


@dataclasses.dataclass(slots=True)
class CallerServer:
    """Serves callers' connections, the requests of each in order.

    Attributes:
        driver: Driver that requests are submitted to.
        limits: Limits of connections and requests.
        budget: Memory budget for buffered requests and answers.
        watcher: Enforces timeouts and detects disconnected callers.
        refusing: Number of connections over the limit being refused now.
        stopping: Whether connections are closed after their current request.
        accepts_new: Whether new connections may still send a first request
            while the server is stopping.
        is_relay: Whether it serves other entries, whose requests name a target.
        pipelines: Whether idempotent requests behind one that waits may begin.
    """

    driver: daemon_driver.Driver
    limits: settings.Limits
    budget: memory.Budget
    watcher: watching.Watcher
    refusing: int = 0
    stopping: bool = False
    accepts_new: bool = True
    is_relay: bool = False
    pipelines: bool = False

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve a connection until it is closed."""
        if len(self.watcher.connections) >= self.limits.connections:
            await self._refuse_connection(sock, address)
            return
        conn = reading.CallerConnection(
            sock,
            reading.create_protocol(),
            address[0],
            self.limits,
            self.budget,
        )
        if certificates.is_secure(sock):
            conn.scheme = b"https"
        self.watcher.add(conn)
        self.driver.exchanges.in_flight.add()
        try:
            await self._serve_requests(conn)
        except _CONNECTION_ERRORS:
            self.driver.metrics.count("callers.broken_connections")
            writing.reset_on_close(conn)
        finally:
            try:
                await pipelining.cancel_ahead(self.driver, conn)
            finally:
                conn.release()
                self.watcher.remove(conn)
                await self.driver.exchanges.in_flight.done()

    def adopt_limits(self, limits: route_models.Limits) -> None:
        """Apply the limits of the routes to all later requests."""
        self.limits = msgspec.structs.replace(
            self.limits,
            header_bytes=limits.header_bytes,
            request_body_bytes=limits.body_bytes,
            idle_seconds=limits.idle_seconds,
            request_seconds=limits.header_seconds,
        )

    async def stop(self) -> None:
        """Close idle connections now, others after their current request.

        New connections have a grace period to send their first request.
        """
        self.stopping = True
        for watched in list(self.watcher.connections.values()):
            conn = watched.conn
            if conn.phase is reading.Phase.IDLE and not conn.is_new:
                watching.shut_down(conn)
        await curio.spawn(self._close_new_connections, daemon=True)

    async def _close_new_connections(self) -> None:
        await curio.sleep(const.NEW_CONNECTION_GRACE_SECONDS)
        self.accepts_new = False
        for watched in list(self.watcher.connections.values()):
            if watched.conn.phase is reading.Phase.IDLE:
                watching.shut_down(watched.conn)

    async def _serve_requests(self, conn: reading.CallerConnection) -> None:
        while True:
            if conn.ahead:
                if conn.disconnected or not await self._serve_ahead(conn):
                    return
                continue
            if self.stopping and not (conn.is_new and self.accepts_new):
                conn.enter(reading.Phase.IDLE)
                watching.shut_down(conn)
            conn.limits = self.limits
            try:
                request = await reading.read_request(conn)
                if request is not None and self.is_relay:
                    _check_relay_target(request)
            except reading.BadRequestError as exc:
                await self._reject(conn, exc)
                return
            if request is None or conn.disconnected:
                certificates.send_close_notify(conn.sock)
                return
            conn.blocked = not self.pipelines
            begun = calls.begin(self.driver, request, conn.protocol)
            if not await self._serve_request(conn, begun, is_submitted=False):
                return

    async def _serve_ahead(self, conn: reading.CallerConnection) -> bool:
        """Answer the next request that began ahead of its turn.

        Returns:
            Whether the connection can be kept.
        """
        begun = conn.ahead.pop(0)
        conn.protocol = begun.protocol
        conn.reserved = begun.reserved
        answer = begun.exchange.response
        if isinstance(answer, answers.Answer) and answer.source is not None:
            # The target can't send on while its answer waits for its turn.
            answer.expires_at += clock.now() - begun.started_at
        return await self._serve_request(conn, begun, is_submitted=True)

    async def _refuse_connection(
        self, sock: Any, address: tuple[str, int]
    ) -> None:
        if self.refusing >= self.limits.connections:
            return
        conn = reading.CallerConnection(
            sock, reading.create_protocol(), address[0], self.limits
        )
        exc = reading.BadRequestError(
            const.STATUS_UNAVAILABLE,
            "too-many-connections",
            "This entry has reached its limit of connections.",
            const.RETRY_AFTER_SECONDS,
        )
        self.refusing += 1
        try:
            await self._reject(conn, exc)
        except _CONNECTION_ERRORS:
            self.driver.metrics.count("callers.broken_connections")
        finally:
            self.refusing -= 1

    async def _reject(
        self, conn: reading.CallerConnection, exc: reading.BadRequestError
    ) -> None:
        self.driver.metrics.count(f"callers.refused.{exc.reason}")
        if conn.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        conn.enter(reading.Phase.WRITING)
        reply = problems.not_run_reply(
            exc.status, exc.reason, exc.detail, exc.retry_after
        )
        await writing.write_buffered(conn, reply, head_only=False, close=True)
        await writing.linger(conn)

    async def _serve_request(
        self,
        conn: reading.CallerConnection,
        begun: calls.BegunCall,
        *,
        is_submitted: bool,
    ) -> bool:
        """Answer one request; return whether the connection can be kept.

        Args:
            conn: The connection.
            begun: The call of the request.
            is_submitted: Whether the call began ahead of its turn.
        """
        keep_alive = await self._answer(conn, begun, is_submitted=is_submitted)
        conn.release()
        if not keep_alive:
            await pipelining.cancel_ahead(self.driver, conn)
            await writing.linger(conn)
            return False
        if not conn.ahead:
            conn.protocol.start_next_cycle()
        return True

    async def _answer(
        self,
        conn: reading.CallerConnection,
        begun: calls.BegunCall,
        *,
        is_submitted: bool,
    ) -> bool:
        request = begun.exchange.request
        try:
            conn.call = begun.call
            conn.request = request
            conn.enter(reading.Phase.WAITING)
            if not is_submitted:
                await self._await_response(conn, begun)
            else:
                await pipelining.look_ahead(self.driver, conn, request)
                await begun.exchange.decided.wait()
            conn.call = None
            conn.enter(reading.Phase.WRITING)
            return await self._write(conn, request, begun.exchange.response)
        except _CONNECTION_ERRORS as exc:
            self._log_cut(begun, exc)
            raise
        finally:
            conn.call = None
            conn.request = None
            await calls.end(self.driver, begun)

    def _log_cut(self, begun: calls.BegunCall, exc: Exception) -> None:
        """Log that a decided response didn't reach its caller as a whole."""
        exchange = begun.exchange
        if exchange.response is None:
            return
        dialect = self.driver.targets.dialect
        name = messages.header(exchange.request.headers, dialect.request_id)
        seconds = clock.now() - begun.started_at
        details = (
            ("status", exchange.response.status),
            ("error", type(exc).__name__),
            ("after_ms", round(1000 * seconds, 1)),
        )
        self.driver.log_event(
            effects.LogEvent(
                "answer.cut", (name or b"").decode("latin-1"), details
            )
        )

    async def _await_response(
        self, conn: reading.CallerConnection, begun: calls.BegunCall
    ) -> None:
        """Wait for the final response, running attempts offered meanwhile."""
        driver = self.driver
        exchange = begun.exchange
        exchange.accepts_attempt = True
        await calls.submit(driver, begun, is_relay=self.is_relay)
        if self.pipelines and (conn.pipelines or conn.buffer):
            await pipelining.look_ahead(driver, conn, exchange.request)
        while (running := exchange.take_offered()) is not None:
            end = await driver.targets.run(running)
            exchange.accepts_attempt = True
            await driver.end_attempt(running, end)
            await driver.targets.drop_undelivered(running)
        await exchange.decided.wait()

    async def _write(
        self,
        conn: reading.CallerConnection,
        request: messages.Request,
        response: answers.Answer | outcome_models.Refusal | None,
    ) -> bool:
        head_only = request.method == b"HEAD"
        close = not self.driver.ready and not conn.has_pipelined_data()
        match response:
            case outcome_models.Refusal() as refusal:
                reply = problems.refusal_reply(
                    refusal,
                    fractions=self.driver.targets.dialect.fractional_retry_after,
                )
                await writing.write_buffered(
                    conn, reply, head_only=head_only, close=close
                )
            case answers.Answer(source=None) as answer:
                try:
                    await writing.write_buffered(
                        conn, answer, head_only=head_only, close=close
                    )
                finally:
                    self.budget.release(answer.reserved)
            case answers.Answer() as answer:
                await self._stream(conn, answer, close=close)
            case None:
                return False
        return conn.protocol.our_state is h11.DONE

    async def _stream(
        self,
        conn: reading.CallerConnection,
        answer: answers.Answer,
        *,
        close: bool,
    ) -> None:
        whole = False
        try:
            await writing.write_stream(conn, answer, close=close)
            whole = True
        finally:
            await self.driver.targets.finish_stream(answer, whole=whole)
            await self.driver.post(
                events.StreamEnded(answer.attempt, whole=whole)
            )


def _check_relay_target(request: messages.Request) -> None:
    """Check that a request to relay names its target.

    Raises:
        BadRequestError: It doesn't.
    """
    if messages.header(request.headers, _RELAY_TARGET):
        return
    raise reading.BadRequestError(
        const.STATUS_BAD_REQUEST,
        "no-relay-target",
        "A request to relay must name its target.",
    )


def create_server(
    driver: daemon_driver.Driver,
    cfg: settings.Settings,
    budget: memory.Budget,
    *,
    is_relay: bool = False,
) -> CallerServer:
    """Create the server for callers, or for entries that relay requests."""

    async def on_disconnect(call: int) -> None:
        driver.metrics.count("callers.left")
        # The response may be decided, and wait for its turn.
        if await driver.exchanges.abandon(call):
            await driver.post(events.CallerDisconnected(call))

    async def on_readable(conn: reading.CallerConnection) -> None:
        if conn.request is None or conn.blocked:
            return
        try:
            await pipelining.look_ahead(driver, conn, conn.request)
        except Exception:
            # The watcher serves all connections; this one reads no further.
            _log.exception("Unexpected error on a pipelined request.")
            driver.metrics.count("callers.pipelining_failed")
            conn.blocked = True

    pipelines = cfg.routes is not None and not is_relay
    watcher = watching.create_watcher(
        on_disconnect, on_readable if pipelines else None
    )
    return CallerServer(
        driver,
        cfg.limits,
        budget,
        watcher,
        is_relay=is_relay,
        pipelines=pipelines,
    )
