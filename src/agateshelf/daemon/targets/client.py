"""The client towards targets."""

from collections import abc
import dataclasses

import curio
import h11

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import clock
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages
from agateshelf.daemon.callers import memory
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import deadlines
from agateshelf.daemon.targets import load
from agateshelf.daemon.targets import pool
from agateshelf.daemon.targets import progress
from agateshelf.daemon.targets import requests

CONNECT_SECONDS = 1.0

_SEND_AT_ONCE_BYTES = 65536
_MOST_FOREIGN_ANSWERS = 4
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_BODILESS_STATUSES = frozenset({204, 304})

AttemptEnd = events.AttemptAnswered | events.AttemptFailed
Ended = abc.Callable[[progress.Progress, AttemptEnd], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class TargetClient:
    """Sends attempts to targets.

    Attributes:
        connections: Kept connections.
        held_bytes: Largest answer that is held whole.
        via: Value this hop adds to `Via`.
        budget: The entry's budget of held bytes.
        dialect: Names of the headers.
        expiries: Deadlines of the attempts.
        running: Attempts under way.
        ready: Answers that wait to be delivered.
    """

    connections: pool.Pool
    held_bytes: int
    via: bytes
    budget: memory.Budget
    dialect: daemon_dialect.Dialect = daemon_dialect.DEFAULT
    expiries: deadlines.Deadlines = dataclasses.field(
        default_factory=deadlines.Deadlines
    )
    running: dict[int, progress.Progress] = dataclasses.field(
        default_factory=dict
    )
    ready: dict[int, answers.Answer] = dataclasses.field(default_factory=dict)

    def begin(
        self, effect: effects.StartAttempt, request: messages.Request
    ) -> progress.Progress:
        """Register an attempt, which may be cancelled from now on."""
        begun = progress.Progress(effect, request, clock.now())
        self.running[effect.attempt] = begun
        return begun

    async def start(self, begun: progress.Progress, ended: Ended) -> None:
        """Run an attempt on a task of its own, which reports its end."""
        await curio.spawn(self._run_alone, begun, ended, daemon=True)

    async def _run_alone(self, begun: progress.Progress, ended: Ended) -> None:
        await ended(begun, await self.run(begun))
        await self.forget(begun)

    async def run(self, begun: progress.Progress) -> AttemptEnd:
        """Run an attempt; return the event of its end."""
        effect = begun.effect
        await self.expiries.add(begun.began + effect.timeout, effect.attempt)
        try:
            return await self._exchange(begun)
        except h11.RemoteProtocolError:
            kind = begun.kind_of_protocol_error()
        except OSError:
            kind = begun.kind_of_break()
        except (h11.LocalProtocolError, progress.TooLateError):
            kind = outcome_models.FailureKind.UNSENT
        finally:
            await self._give_back(begun)
        if begun.kept and kind is outcome_models.FailureKind.TIMEOUT:
            await self.connections.discard_elders(effect.address, begun.began)
        return events.AttemptFailed(
            effect.attempt,
            kind,
            any_byte_sent=begun.any_byte_sent,
            kept_connection=begun.kept,
        )

    async def forget(self, begun: progress.Progress) -> None:
        """Drop the answer of an attempt if nobody took it."""
        unwanted = self.ready.pop(begun.effect.attempt, None)
        if unwanted is not None:
            await self.drop(unwanted)

    def cancel(self, attempt: int) -> None:
        """Give an attempt up; its connection is closed, never used again."""
        begun = self.running.get(attempt)
        if begun is not None:
            begun.interrupt(progress.Interruption.CANCELLED)

    async def run_deadlines(self) -> None:
        """End attempts whose time is over; never returns."""
        await self.expiries.run(self._expire)

    async def _expire(self, attempt: int) -> None:
        begun = self.running.get(attempt)
        if begun is not None:
            begun.interrupt(progress.Interruption.TIMEOUT)

    def take_answer(self, attempt: int) -> answers.Answer | None:
        """Return the answer of an attempt, once."""
        return self.ready.pop(attempt, None)

    async def drop(self, answer: answers.Answer) -> None:
        """Give back what an answer holds that nobody waits for."""
        self.budget.release(answer.held)
        if answer.source is not None:
            await answer.source.close()

    async def finish_stream(
        self, answer: answers.Answer, *, whole: bool
    ) -> None:
        """Keep the connection of a streamed answer, or close it if cut."""
        if whole and answer.source is not None:
            self.budget.release(answer.held)
            await self.connections.give(answer.source)
            return
        await self.drop(answer)

    async def _give_back(self, begun: progress.Progress) -> None:
        del self.running[begun.effect.attempt]
        self.budget.release(begun.held)
        if begun.conn is not None:
            await begun.conn.close()

    async def _exchange(
        self, begun: progress.Progress
    ) -> events.AttemptAnswered:
        conn = await self._connect(begun)
        data = requests.request_bytes(conn, begun, self.via, self.dialect)
        if begun.interruption is not None:
            raise ConnectionAbortedError("ended before it was sent")
        if clock.now() > begun.effect.not_after:
            raise progress.TooLateError
        begun.stage = progress.Stage.SENDING
        sender = await _send(conn, data)
        try:
            answer = await self._read(conn, begun)
        finally:
            if sender is not None:
                await sender.cancel()
        begun.conn = None
        begun.held = 0
        if answer.source is None:
            await self.connections.give(conn)
        self.ready[begun.effect.attempt] = answer
        return load.event_of(answer, self.dialect)

    async def _connect(
        self, begun: progress.Progress
    ) -> connection.TargetConnection:
        effect = begun.effect
        kept = await self.connections.take(effect.address, fresh=effect.fresh)
        if kept is not None:
            begun.kept = True
            begun.conn = kept
            return kept
        conn = connection.create_connection(effect.address)
        begun.conn = conn
        await _connect(conn)
        return conn

    async def _read(
        self, conn: connection.TargetConnection, begun: progress.Progress
    ) -> answers.Answer:
        if conn.sent_whole:
            begun.stage = progress.Stage.WAITING
        head = await self._read_own_head(conn, begun)
        begun.stage = progress.Stage.READING
        headers = messages.headers_from_h11(head.headers)
        if not self.dialect.allows_close_delimited:
            _check_framing(conn, head.status_code, headers)
        _check_owner(self.dialect, head.status_code, headers)
        parts: list[bytes] = []
        source: connection.TargetConnection | None = None
        while True:
            event = await conn.next_event()
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
            if not self._hold(len(event.data), begun):
                source = conn
                break
        told = messages.end_to_end(headers)
        if self.dialect.adds_proxy_headers:
            via = b"%b %b" % (head.http_version, self.via)
            told = (*told, (b"via", via))
        return answers.Answer(
            status=head.status_code,
            reason=bytes(head.reason),
            headers=told,
            body=parts[0] if len(parts) == 1 else b"".join(parts),
            source=source,
            attempt=begun.effect.attempt,
            held=begun.held,
        )

    async def _read_own_head(
        self, conn: connection.TargetConnection, begun: progress.Progress
    ) -> h11.Response:
        """Return the head of the answer to this request.

        A target may send a second answer to an earlier request, late enough
        to come first here. It is skipped: ending the connection for it would
        cut off the run of this request.

        Raises:
            h11.RemoteProtocolError: The answers are malformed, or too many.
            OSError: The connection is broken.
        """
        for _ in range(_MOST_FOREIGN_ANSWERS):
            head = await _read_head(conn)
            if not _is_foreign(self.dialect, begun, head):
                return head
            while isinstance(await conn.next_event(), h11.Data):
                pass
            conn.await_next_answer()
        raise h11.RemoteProtocolError("too many answers to other requests")

    def _hold(self, size: int, begun: progress.Progress) -> bool:
        """Count more of an answer as held; if it can't be, it streams."""
        if begun.held + size > self.held_bytes:
            return False
        if not self.budget.reserve(size):
            return False
        begun.held += size
        return True


async def _connect(conn: connection.TargetConnection) -> None:
    try:
        async with curio.timeout_after(CONNECT_SECONDS):
            await conn.connect()
    except curio.TaskTimeout:
        raise TimeoutError("the target accepts no connection") from None


async def _send(
    conn: connection.TargetConnection, data: bytes
) -> curio.Task | None:
    """Send a request; a large one by a task of its own, which is returned.

    A target may answer before it has read the body, and may not read on until
    its answer is taken. A send that fails is no end either: the answer that
    explains it may have arrived.
    """
    if len(data) > _SEND_AT_ONCE_BYTES:
        return await curio.spawn(_send_quietly, conn, data, daemon=True)
    await _send_quietly(conn, data)
    return None


async def _send_quietly(conn: connection.TargetConnection, data: bytes) -> None:
    try:
        await conn.send(data)
    except OSError:
        return


async def _read_head(conn: connection.TargetConnection) -> h11.Response:
    while True:
        event = await conn.next_event()
        if isinstance(event, h11.Response):
            return event
        if isinstance(event, h11.InformationalResponse):
            continue
        raise ConnectionResetError("connection ended before an answer")


def _is_foreign(
    dialect: daemon_dialect.Dialect,
    begun: progress.Progress,
    head: h11.Response,
) -> bool:
    """Return whether an answer names another request than this one."""
    if not dialect.request_id:
        return False
    asked = messages.header(begun.request.headers, dialect.request_id)
    echoed = messages.header(
        messages.headers_from_h11(head.headers), dialect.request_id
    )
    return echoed is not None and echoed != asked


def _check_owner(
    dialect: daemon_dialect.Dialect,
    status: int,
    headers: messages.Headers,
) -> None:
    """Refuse a good answer that does not prove to be the target's own.

    Raises:
        h11.RemoteProtocolError: It is not the target's answer as it made it.
    """
    if not dialect.request_id:
        return
    echoed = messages.header(headers, dialect.request_id)
    if not _FIRST_SUCCESS <= status < _FIRST_REDIRECT:
        return
    if echoed is None or not messages.header(headers, dialect.signature):
        raise h11.RemoteProtocolError("the answer is not the target's own")
    if messages.header(headers, b"content-encoding") is not None:
        raise h11.RemoteProtocolError("the body is not as the target made it")


def _check_framing(
    conn: connection.TargetConnection, status: int, headers: messages.Headers
) -> None:
    """Refuse an answer whose end can't be told from a break.

    Raises:
        h11.RemoteProtocolError: The answer has no framing, or two.
    """
    framings = [name for name, _ in headers if name in _FRAMING_HEADERS]
    if len(framings) == 1 or status in _BODILESS_STATUSES:
        return
    if not framings and conn.head_only:
        return
    raise h11.RemoteProtocolError("the answer's length is not told")
