"""The server that callers talk to."""

import dataclasses
from typing import Any

import curio
import h11
import msgspec

from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import models as route_models
from agateshelf.daemon import certificates
from agateshelf.daemon import clock
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.callers import arrivals
from agateshelf.daemon.callers import const
from agateshelf.daemon.callers import exchanges
from agateshelf.daemon.callers import memory
from agateshelf.daemon.callers import problems
from agateshelf.daemon.callers import reading
from agateshelf.daemon.callers import watching
from agateshelf.daemon.callers import writing
from agateshelf.daemon.targets import answers
from agateshelf.documents import settings

_BROKEN = (
    OSError,
    h11.RemoteProtocolError,
    h11.LocalProtocolError,
    curio.TaskTimeout,
)


@dataclasses.dataclass(slots=True)
class CallerServer:
    """Takes callers' connections and serves their requests in order.

    Attributes:
        driver: Where requests are decided.
        limits: What connections and requests may take.
        budget: The entry's budget of held bytes.
        watcher: Watches the connections.
        refused: Connections being told that there is no room for them.
        stopping: Whether connections end as soon as nothing is owed on them.
        takes_fresh: Whether first requests are still taken while it stops.
    """

    driver: daemon_driver.Driver
    limits: settings.Limits
    budget: memory.Budget
    watcher: watching.Watcher
    refused: int = 0
    stopping: bool = False
    takes_fresh: bool = True

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
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
        self.driver.exchanges.owed.open()
        try:
            await self._serve_requests(conn)
        except _BROKEN:
            self.driver.metrics.count("callers.broken_connections")
            writing.reset_on_close(conn)
        finally:
            conn.release()
            self.watcher.remove(conn)
            await self.driver.exchanges.owed.discharge()

    def adopt_limits(self, limits: route_models.Limits) -> None:
        """Hold callers to the routes' limits from their next request on."""
        self.limits = msgspec.structs.replace(
            self.limits,
            header_bytes=limits.header_bytes,
            request_body_bytes=limits.body_bytes,
            idle_seconds=limits.idle_seconds,
            request_seconds=limits.header_seconds,
        )

    async def stop(self) -> None:
        """End idle connections; the others end with their present request.

        Those just opened have a moment left to bring their first request.
        """
        self.stopping = True
        for watched in list(self.watcher.connections.values()):
            conn = watched.conn
            if conn.phase is reading.Phase.IDLE and not conn.fresh:
                watching.cut(conn)
        await curio.spawn(self._end_fresh, daemon=True)

    async def _end_fresh(self) -> None:
        await curio.sleep(const.FRESH_SECONDS)
        self.takes_fresh = False
        for watched in list(self.watcher.connections.values()):
            if watched.conn.phase is reading.Phase.IDLE:
                watching.cut(watched.conn)

    async def _serve_requests(self, conn: reading.CallerConnection) -> None:
        while True:
            if self.stopping and not (conn.fresh and self.takes_fresh):
                conn.enter(reading.Phase.IDLE)
                watching.cut(conn)
            conn.limits = self.limits
            try:
                request = await reading.read_request(conn)
            except reading.BadRequestError as exc:
                await self._answer_malformed(conn, exc)
                return
            if request is None or conn.left:
                certificates.send_close_notify(conn.sock)
                return
            go_on = await self._serve_request(conn, request)
            conn.release()
            if not go_on:
                await writing.linger(conn)
                return
            conn.protocol.start_next_cycle()

    async def _refuse_connection(
        self, sock: Any, address: tuple[str, int]
    ) -> None:
        if self.refused >= self.limits.connections:
            return
        conn = reading.CallerConnection(
            sock, reading.create_protocol(), address[0], self.limits
        )
        exc = reading.BadRequestError(
            const.STATUS_UNAVAILABLE,
            "too-many-connections",
            "This entry has no room for another connection.",
            const.RETRY_AFTER_SECONDS,
        )
        self.refused += 1
        try:
            await self._answer_malformed(conn, exc)
        except _BROKEN:
            self.driver.metrics.count("callers.broken_connections")
        finally:
            self.refused -= 1

    async def _answer_malformed(
        self, conn: reading.CallerConnection, exc: reading.BadRequestError
    ) -> None:
        self.driver.metrics.count(f"callers.refused.{exc.reason}")
        if conn.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        conn.enter(reading.Phase.WRITING)
        reply = problems.untaken(
            exc.status, exc.reason, exc.detail, exc.retry_after
        )
        await writing.write_whole(conn, reply, head_only=False, close=True)
        await writing.linger(conn)

    async def _serve_request(
        self, conn: reading.CallerConnection, request: messages.Request
    ) -> bool:
        call, exchange = self.driver.exchanges.begin(request)
        driver = self.driver
        began = clock.now()
        if driver.traces is not None:
            service = driver.find_service(request)
            exchange.span = driver.traces.begin_call(request, service)
        try:
            conn.call = call
            conn.enter(reading.Phase.WAITING)
            await self._decide(call, exchange)
            conn.call = None
            conn.enter(reading.Phase.WRITING)
            return await self._write(conn, request, exchange.word)
        finally:
            conn.call = None
            self._report(exchange, clock.now() - began)
            await driver.exchanges.end()

    def _report(self, exchange: exchanges.Exchange, seconds: float) -> None:
        counted = self.driver.metrics
        match exchange.word:
            case outcome_models.Refusal() as refusal:
                counted.count(f"calls.refused.{refusal.reason}")
                status, outcome = refusal.status, refusal.outcome.value
            case answers.Answer() as answer:
                counted.count("calls.answered")
                status, outcome = answer.status, "answered"
            case None:
                status, outcome = 0, "left"
        counted.timing("calls.seconds", seconds)
        if exchange.span is not None:
            self.driver.end_call_span(exchange, status, outcome)

    async def _decide(self, call: int, exchange: exchanges.Exchange) -> None:
        """Wait for the final word, running attempts meanwhile if offered."""
        driver = self.driver
        exchange.listening = True
        arrived = arrivals.event_of(
            call, exchange.request, driver.targets.dialect
        )
        await driver.post(arrived)
        while (begun := exchange.take_offered()) is not None:
            end = await driver.targets.run(begun)
            exchange.listening = True
            await driver.end_attempt(begun, end)
            await driver.targets.forget(begun)
        await exchange.decided.wait()

    async def _write(
        self,
        conn: reading.CallerConnection,
        request: messages.Request,
        word: answers.Answer | outcome_models.Refusal | None,
    ) -> bool:
        head_only = request.method == b"HEAD"
        close = not self.driver.ready and not conn.has_more()
        match word:
            case outcome_models.Refusal() as refusal:
                reply = problems.reply_of(
                    refusal,
                    fractions=self.driver.targets.dialect.fractional_retry_after,
                )
                await writing.write_whole(
                    conn, reply, head_only=head_only, close=close
                )
            case answers.Answer(source=None) as answer:
                try:
                    await writing.write_whole(
                        conn, answer, head_only=head_only, close=close
                    )
                finally:
                    self.budget.release(answer.held)
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


def create_server(
    driver: daemon_driver.Driver,
    cfg: settings.Settings,
    held: memory.Budget,
) -> CallerServer:
    """Create the server towards callers."""

    async def on_left(call: int) -> None:
        driver.metrics.count("callers.left")
        await driver.exchanges.abandon(call)
        await driver.post(events.CallerDisconnected(call))

    watcher = watching.create_watcher(on_left)
    return CallerServer(driver, cfg.limits, held, watcher)
