"""The client towards targets: one task for each attempt."""

from collections import abc
import dataclasses

import curio
import h11

from agateshelf import const
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import load
from agateshelf.daemon.targets import pool

Post = abc.Callable[[events.Event], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class TargetClient:
    """Sends attempts to targets.

    Attributes:
        connections: Kept connections.
        held_bytes: Largest answer that is held whole.
        via: Value this hop adds to `Via`.
        tasks: Tasks of the attempts under way.
        ready: Answers that wait to be delivered.
    """

    connections: pool.Pool
    held_bytes: int
    via: bytes
    tasks: dict[int, curio.Task] = dataclasses.field(default_factory=dict)
    ready: dict[int, answers.Answer] = dataclasses.field(default_factory=dict)

    async def start(
        self,
        effect: effects.StartAttempt,
        request: messages.Request,
        post: Post,
    ) -> None:
        """Start an attempt; its end is posted as an event."""
        run = self._run(effect, request, post)
        self.tasks[effect.attempt] = await curio.spawn(run, daemon=True)

    async def cancel(self, attempt: int) -> None:
        """Give an attempt up; its connection is closed, never used again."""
        task = self.tasks.pop(attempt, None)
        if task is not None:
            await task.cancel(blocking=False)

    def take_answer(self, attempt: int) -> answers.Answer | None:
        """Return the answer of an attempt, once."""
        return self.ready.pop(attempt, None)

    async def finish_stream(
        self, conn: connection.TargetConnection, *, whole: bool
    ) -> None:
        """Keep the connection of a streamed answer, or close it if cut."""
        if whole:
            await self.connections.give(conn)
            return
        await conn.close()

    async def _run(
        self,
        effect: effects.StartAttempt,
        request: messages.Request,
        post: Post,
    ) -> None:
        end = await self._attempt(effect, request)
        self.tasks.pop(effect.attempt, None)
        await post(end)
        self.ready.pop(effect.attempt, None)

    async def _attempt(
        self, effect: effects.StartAttempt, request: messages.Request
    ) -> events.AttemptAnswered | events.AttemptFailed:
        progress = Progress()
        kind = outcome_models.FailureKind.RESET
        try:
            async with curio.timeout_after(effect.timeout):
                return await self._exchange(effect, request, progress)
        except curio.TaskTimeout:
            kind = outcome_models.FailureKind.TIMEOUT
        except h11.RemoteProtocolError:
            kind = outcome_models.FailureKind.BAD_ANSWER
        except OSError:
            if not progress.any_byte_sent:
                kind = outcome_models.FailureKind.CONNECT
        finally:
            if progress.conn is not None:
                await progress.conn.close()
        return events.AttemptFailed(
            effect.attempt,
            kind,
            any_byte_sent=progress.any_byte_sent,
            kept_connection=progress.kept,
        )

    async def _exchange(
        self,
        effect: effects.StartAttempt,
        request: messages.Request,
        progress: "Progress",
    ) -> events.AttemptAnswered:
        conn = await self._connect(effect, progress)
        data = _request_bytes(conn, effect, request, self.via)
        progress.any_byte_sent = True
        await conn.send(data)
        answer = await self._read(conn, effect.attempt)
        progress.conn = None
        if answer.source is None:
            await self.connections.give(conn)
        self.ready[effect.attempt] = answer
        return load.event_of(answer)

    async def _connect(
        self, effect: effects.StartAttempt, progress: "Progress"
    ) -> connection.TargetConnection:
        conn = await self.connections.take(effect.address, fresh=effect.fresh)
        progress.kept = conn is not None
        if conn is None:
            conn = await connection.open_connection(effect.address)
        progress.conn = conn
        return conn

    async def _read(
        self, conn: connection.TargetConnection, attempt: int
    ) -> answers.Answer:
        head = await _read_head(conn)
        parts: list[bytes] = []
        size = 0
        source: connection.TargetConnection | None = None
        while True:
            event = await conn.next_event()
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > self.held_bytes:
                source = conn
                break
        return answers.Answer(
            status=head.status_code,
            reason=bytes(head.reason),
            headers=messages.end_to_end(tuple(head.headers)),
            body=b"".join(parts),
            source=source,
            attempt=attempt,
        )


@dataclasses.dataclass(slots=True)
class Progress:
    """How far an attempt got.

    Attributes:
        any_byte_sent: Whether any byte of the request may have left.
        kept: Whether it ran on a connection used before.
        conn: The connection, while this attempt must close it on failure.
    """

    any_byte_sent: bool = False
    kept: bool = False
    conn: connection.TargetConnection | None = None


async def _read_head(conn: connection.TargetConnection) -> h11.Response:
    while True:
        event = await conn.next_event()
        if isinstance(event, h11.Response):
            return event
        if isinstance(event, h11.InformationalResponse):
            continue
        raise h11.RemoteProtocolError("connection ended before an answer")


def _request_bytes(
    conn: connection.TargetConnection,
    effect: effects.StartAttempt,
    request: messages.Request,
    via: bytes,
) -> bytes:
    head = h11.Request(
        method=request.method,
        target=request.path,
        headers=_request_headers(effect, request, via),
    )
    parts = [conn.protocol.send(head) or b""]
    if request.body:
        parts.append(conn.protocol.send(h11.Data(data=request.body)) or b"")
    parts.append(conn.protocol.send(h11.EndOfMessage()) or b"")
    return b"".join(parts)


_REPLACED = frozenset(
    {
        b"content-length",
        b"expect",
        const.HEADER_TIMEOUT_MS.encode(),
        const.HEADER_NO_RETRY.encode(),
    }
)


def _request_headers(
    effect: effects.StartAttempt, request: messages.Request, via: bytes
) -> list[tuple[bytes, bytes]]:
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in _REPLACED
    ]
    milliseconds = max(1, int(effect.timeout * 1000))
    headers.append((const.HEADER_TIMEOUT_MS.encode(), b"%d" % milliseconds))
    if effect.no_retry:
        headers.append((const.HEADER_NO_RETRY.encode(), b"1"))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    headers.append((b"via", request.http_version + b" " + via))
    headers.append((b"forwarded", b"for=" + _quoted_peer(request.peer)))
    return headers


def _quoted_peer(peer: str) -> bytes:
    if ":" in peer:
        return f'"[{peer}]"'.encode()
    return peer.encode()
