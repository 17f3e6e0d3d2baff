"""The client towards targets: one task for each attempt."""

from collections import abc
import dataclasses
import enum

import curio
import h11

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import messages
from agateshelf.daemon.callers import memory
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import load
from agateshelf.daemon.targets import pool
from agateshelf.daemon.targets import requests

CONNECT_SECONDS = 1.0

_SEND_AT_ONCE_BYTES = 65536
_BODILESS_STATUSES = frozenset({204, 304})

Post = abc.Callable[[events.Event], abc.Awaitable[None]]
Kind = outcome_models.FailureKind


class Stage(enum.Enum):
    """How far an attempt got."""

    CONNECTING = "connecting"
    SENDING = "sending"
    WAITING = "waiting"
    READING = "reading"


_KIND_OF_BREAK = {
    Stage.CONNECTING: Kind.CONNECT,
    Stage.SENDING: Kind.WRITE_CUT,
    Stage.WAITING: Kind.RESET,
    Stage.READING: Kind.ANSWER_CUT,
}


@dataclasses.dataclass(slots=True)
class Progress:
    """How far an attempt got, and what it must give back if it fails.

    Attributes:
        began: Loop time at which it began.
        stage: How far it got.
        kept: Whether it runs on a connection used before.
        conn: The connection, until it is handed on.
        held: Bytes counted in the budget, until they are handed on.
    """

    began: float
    stage: Stage = Stage.CONNECTING
    kept: bool = False
    conn: connection.TargetConnection | None = None
    held: int = 0

    @property
    def any_byte_sent(self) -> bool:
        """Return whether any byte of the request may have left."""
        return self.stage is not Stage.CONNECTING


@dataclasses.dataclass(slots=True)
class TargetClient:
    """Sends attempts to targets.

    Attributes:
        connections: Kept connections.
        held_bytes: Largest answer that is held whole.
        via: Value this hop adds to `Via`.
        budget: The entry's budget of held bytes.
        tasks: Tasks of the attempts under way.
        ready: Answers that wait to be delivered.
    """

    connections: pool.Pool
    held_bytes: int
    via: bytes
    budget: memory.Budget
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

    async def _run(
        self,
        effect: effects.StartAttempt,
        request: messages.Request,
        post: Post,
    ) -> None:
        end = await self._attempt(effect, request)
        self.tasks.pop(effect.attempt, None)
        await post(end)
        unwanted = self.ready.pop(effect.attempt, None)
        if unwanted is not None:
            await self.drop(unwanted)

    async def _attempt(
        self, effect: effects.StartAttempt, request: messages.Request
    ) -> events.AttemptAnswered | events.AttemptFailed:
        progress = Progress(await curio.clock())
        try:
            async with curio.timeout_after(effect.timeout):
                return await self._exchange(effect, request, progress)
        except curio.TaskTimeout:
            kind = Kind.TIMEOUT if progress.any_byte_sent else Kind.CONNECT
            if progress.kept:
                await self.connections.discard_elders(
                    effect.address, progress.began
                )
        except h11.RemoteProtocolError:
            kind = _kind_of_protocol_error(progress)
        except OSError:
            kind = _KIND_OF_BREAK[progress.stage]
        except h11.LocalProtocolError:
            kind = Kind.UNSENT
        finally:
            await self._give_back(progress)
        return events.AttemptFailed(
            effect.attempt,
            kind,
            any_byte_sent=progress.any_byte_sent,
            kept_connection=progress.kept,
        )

    async def _give_back(self, progress: Progress) -> None:
        self.budget.release(progress.held)
        if progress.conn is not None:
            await progress.conn.close()

    async def _exchange(
        self,
        effect: effects.StartAttempt,
        request: messages.Request,
        progress: Progress,
    ) -> events.AttemptAnswered:
        conn = await self._connect(effect, progress)
        data = requests.request_bytes(conn, effect, request, self.via)
        progress.stage = Stage.SENDING
        sender = await _send(conn, data)
        try:
            answer = await self._read(conn, effect.attempt, progress)
        finally:
            if sender is not None:
                await sender.cancel()
        progress.conn = None
        progress.held = 0
        if answer.source is None:
            await self.connections.give(conn)
        self.ready[effect.attempt] = answer
        return load.event_of(answer)

    async def _connect(
        self, effect: effects.StartAttempt, progress: Progress
    ) -> connection.TargetConnection:
        conn = await self.connections.take(effect.address, fresh=effect.fresh)
        progress.kept = conn is not None
        if conn is None:
            conn = await _open(effect.address)
        progress.conn = conn
        return conn

    async def _read(
        self,
        conn: connection.TargetConnection,
        attempt: int,
        progress: Progress,
    ) -> answers.Answer:
        if conn.sent_whole:
            progress.stage = Stage.WAITING
        head = await _read_head(conn)
        progress.stage = Stage.READING
        _check_framing(conn, head)
        parts: list[bytes] = []
        source: connection.TargetConnection | None = None
        while True:
            event = await conn.next_event()
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
            if not self._hold(len(event.data), progress):
                source = conn
                break
        headers = messages.end_to_end(tuple(head.headers))
        via = b"%b %b" % (head.http_version, self.via)
        return answers.Answer(
            status=head.status_code,
            reason=bytes(head.reason),
            headers=(*headers, (b"via", via)),
            body=parts[0] if len(parts) == 1 else b"".join(parts),
            source=source,
            attempt=attempt,
            held=progress.held,
        )

    def _hold(self, size: int, progress: Progress) -> bool:
        """Count more of an answer as held; if it can't be, it streams."""
        if progress.held + size > self.held_bytes:
            return False
        if not self.budget.reserve(size):
            return False
        progress.held += size
        return True


async def _open(address: str) -> connection.TargetConnection:
    try:
        async with curio.timeout_after(CONNECT_SECONDS):
            return await connection.open_connection(address)
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


def _check_framing(
    conn: connection.TargetConnection, head: h11.Response
) -> None:
    """Refuse an answer whose end can't be told from a break.

    Raises:
        h11.RemoteProtocolError: The answer has no framing, or two.
    """
    names = {name for name, _ in head.headers}
    framings = len(names & {b"content-length", b"transfer-encoding"})
    if framings == 1 or head.status_code in _BODILESS_STATUSES:
        return
    if framings == 0 and conn.head_only:
        return
    raise h11.RemoteProtocolError("the answer's length is not told")


def _kind_of_protocol_error(progress: Progress) -> Kind:
    """Return how an attempt ended whose answer h11 could not read."""
    conn = progress.conn
    if conn is not None and conn.protocol.trailing_data[1]:
        return _KIND_OF_BREAK[progress.stage]
    return Kind.BAD_ANSWER
