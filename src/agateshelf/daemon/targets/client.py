"""HTTP client that sends attempts to targets."""

from collections import abc
import dataclasses

import curio
import h11
import logbook
import msgspec

from agateshelf import const
from agateshelf import decoding
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import clock
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages
from agateshelf.daemon.callers import memory
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import attempts
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import deadlines
from agateshelf.daemon.targets import load
from agateshelf.daemon.targets import pool
from agateshelf.daemon.targets import requests

_log = logbook.Logger("targets")

CONNECT_TIMEOUT_SECONDS = 1.0
# With entries that may relay, a connection that takes longer is given up while
# there is time for the way round.
RELAYED_CONNECT_TIMEOUT_SECONDS = 0.4

_INLINE_SEND_BYTES = 65536
_MAX_UNRELATED_ANSWERS = 4
_MIN_SUCCESS_STATUS = 200
_MIN_CLIENT_ERROR_STATUS = 400
_MIN_REDIRECT_STATUS = 300
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_BODILESS_STATUSES = frozenset({204, 304})

_OUTCOME = const.HEADER_OUTCOME.encode()


class _Problem(msgspec.Struct):
    """The part of a refusal that says why."""

    title: str = ""


_problem_decoder = msgspec.json.Decoder(_Problem)

AttemptEnd = events.AttemptAnswered | events.AttemptFailed
OnEnd = abc.Callable[[attempts.RunningAttempt, AttemptEnd], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class TargetClient:
    """Sends attempts to targets.

    Attributes:
        connections: Pool of kept-alive connections.
        max_buffered_bytes: Maximum size of a buffered answer; larger ones
            are streamed.
        via: Value this hop adds to `Via`.
        budget: Memory budget for buffered requests and answers.
        dialect: Names of the headers.
        source: Local IP address that connections are opened from, if set.
        connect_timeout: Seconds that opening a connection may take.
        attempt_deadlines: Deadlines of running attempts.
        running: Running attempts by number.
        pending_answers: Answers not yet delivered, by number of the attempt.
    """

    connections: pool.Pool
    max_buffered_bytes: int
    via: bytes
    budget: memory.Budget
    dialect: daemon_dialect.Dialect = daemon_dialect.DEFAULT
    source: str = ""
    connect_timeout: float = CONNECT_TIMEOUT_SECONDS
    attempt_deadlines: deadlines.Deadlines = dataclasses.field(
        default_factory=deadlines.Deadlines
    )
    running: dict[int, attempts.RunningAttempt] = dataclasses.field(
        default_factory=dict
    )
    pending_answers: dict[int, answers.Answer] = dataclasses.field(
        default_factory=dict
    )

    def register(
        self, effect: effects.StartAttempt, request: messages.Request
    ) -> attempts.RunningAttempt:
        """Register an attempt, so that it can be cancelled before it runs."""
        request_id = messages.header(request.headers, self.dialect.request_id)
        running = attempts.RunningAttempt(
            effect, request, clock.now(), request_id or b""
        )
        self.running[effect.attempt] = running
        return running

    async def start(
        self, running: attempts.RunningAttempt, on_end: OnEnd
    ) -> None:
        """Run an attempt in a new task, which reports its end to `on_end`."""
        await curio.spawn(self._run_and_report, running, on_end, daemon=True)

    async def _run_and_report(
        self, running: attempts.RunningAttempt, on_end: OnEnd
    ) -> None:
        await on_end(running, await self.run(running))
        await self.drop_undelivered(running)

    async def run(self, running: attempts.RunningAttempt) -> AttemptEnd:
        """Run a registered attempt; return the event that reports its end."""
        effect = running.effect
        await self.attempt_deadlines.add(
            running.started_at + effect.timeout, effect.attempt
        )
        try:
            return await self._exchange(running)
        except attempts.RelayRefusedError as exc:
            return events.AttemptFailed(
                effect.attempt, exc.kind, any_byte_sent=exc.may_have_run
            )
        except h11.RemoteProtocolError:
            kind = running.protocol_error_kind()
        except OSError:
            kind = running.disconnect_kind()
        except (h11.LocalProtocolError, attempts.TooLateError):
            kind = outcome_models.FailureKind.UNSENT
        except Exception:
            # Without its end, the call would wait until its deadline.
            _log.exception("Unexpected error in an attempt.")
            kind = running.disconnect_kind()
        finally:
            await self._release_resources(running)
        if (
            running.kept_connection
            and kind is outcome_models.FailureKind.TIMEOUT
        ):
            await self.connections.close_older_than(
                effect.address, running.started_at
            )
        return events.AttemptFailed(
            effect.attempt,
            kind,
            any_byte_sent=running.any_byte_sent,
            kept_connection=running.kept_connection,
        )

    async def drop_undelivered(self, running: attempts.RunningAttempt) -> None:
        """Drop the answer of an attempt if it was not taken."""
        undelivered = self.pending_answers.pop(running.effect.attempt, None)
        if undelivered is not None:
            await self.drop(undelivered)

    def cancel(self, attempt: int) -> None:
        """Cancel an attempt and close its connection."""
        running = self.running.get(attempt)
        if running is not None:
            running.interrupt(attempts.Interruption.CANCELLED)

    def abort_unsent(self, target: str) -> None:
        """Cancel the attempts of a target of which no byte was sent."""
        for running in self.running.values():
            effect = running.effect
            if effect.relay or effect.target != target:
                continue
            if not running.any_byte_sent:
                running.interrupt(attempts.Interruption.CANCELLED)

    async def run_deadlines(self) -> None:
        """Interrupt attempts whose timeout has passed; never returns."""
        await self.attempt_deadlines.run(self._expire)

    async def _expire(self, attempt: int) -> None:
        running = self.running.get(attempt)
        if running is not None:
            running.interrupt(attempts.Interruption.TIMEOUT)

    def take_answer(self, attempt: int) -> answers.Answer | None:
        """Remove and return the answer of an attempt."""
        return self.pending_answers.pop(attempt, None)

    async def drop(self, answer: answers.Answer) -> None:
        """Release the memory and connection of an undeliverable answer."""
        self.budget.release(answer.reserved)
        if answer.source is not None:
            await self.connections.discard(answer.source, pool.Opening.CUT)

    async def finish_stream(
        self, answer: answers.Answer, *, whole: bool
    ) -> None:
        """Release a streamed answer; keep its connection if it was `whole`."""
        if whole and answer.source is not None:
            self.budget.release(answer.reserved)
            await self.connections.release(answer.source)
            return
        await self.drop(answer)

    async def _release_resources(
        self, running: attempts.RunningAttempt
    ) -> None:
        del self.running[running.effect.attempt]
        self.budget.release(running.reserved)
        if running.conn is not None:
            await self.connections.discard(running.conn, _end_of(running))

    async def _exchange(
        self, running: attempts.RunningAttempt
    ) -> events.AttemptAnswered:
        conn = await self._connect(running)
        data = requests.encode_request(conn, running, self.via, self.dialect)
        if running.interruption is not None:
            raise ConnectionAbortedError(
                "attempt interrupted before it was sent"
            )
        if clock.now() > running.effect.not_after:
            raise attempts.TooLateError
        conn.limit_unacknowledged(_unacknowledged_limit(running, data))
        running.stage = attempts.Stage.SENDING
        sender = await _send(conn, data)
        try:
            answer = await self._read(conn, running)
        finally:
            if sender is not None:
                await sender.cancel()
        if running.request_id and answer.status >= _MIN_CLIENT_ERROR_STATUS:
            conn.refused.add(running.request_id)
        running.conn = None
        running.reserved = 0
        if answer.source is None:
            await self.connections.release(conn)
        self.pending_answers[running.effect.attempt] = answer
        idle = 0
        if not running.effect.relay:
            idle = self.connections.count_idle(conn.address)
        return msgspec.structs.replace(
            load.event_of(answer, self.dialect),
            kept_connection=running.kept_connection,
            idle_connections=idle,
        )

    async def _connect(
        self, running: attempts.RunningAttempt
    ) -> connection.TargetConnection:
        effect = running.effect
        address = effect.relay or effect.address
        kept = await self.connections.acquire(
            address, fresh=effect.fresh, request_id=running.request_id
        )
        if kept is not None:
            running.kept_connection = True
            running.conn = kept
            return kept
        source = "" if effect.relay else self.source
        conn = connection.create_connection(address, source)
        running.opening = self.connections.begin(address)
        running.conn = conn
        await _connect(conn, self.connect_timeout)
        return conn

    async def _read(
        self,
        conn: connection.TargetConnection,
        running: attempts.RunningAttempt,
    ) -> answers.Answer:
        if conn.request_sent:
            running.stage = attempts.Stage.WAITING
        head = await self._read_matching_head(conn, running)
        running.stage = attempts.Stage.READING
        headers = messages.headers_from_h11(head.headers)
        conn.note_keep_alive(messages.header(headers, b"keep-alive"))
        if not self.dialect.allows_close_delimited:
            _check_framing(conn, head.status_code, headers)
        _check_signature(self.dialect, head.status_code, headers)
        body = bytearray()
        source: connection.TargetConnection | None = None
        while True:
            event = await conn.next_event()
            if not isinstance(event, h11.Data):
                break
            body += event.data
            if not self._reserve(len(event.data), running):
                source = conn
                break
        if running.effect.relay:
            _check_relayed(headers, body)
        answer_headers = messages.end_to_end(
            messages.without_overridden_length(headers)
        )
        if self.dialect.adds_proxy_headers:
            via = b"%b %b" % (head.http_version, self.via)
            answer_headers = (*answer_headers, (b"via", via))
        return answers.Answer(
            status=head.status_code,
            reason=bytes(head.reason),
            headers=answer_headers,
            body=bytes(body),
            source=source,
            attempt=running.effect.attempt,
            reserved=running.reserved,
            expires_at=running.started_at + running.effect.timeout,
        )

    async def _read_matching_head(
        self,
        conn: connection.TargetConnection,
        running: attempts.RunningAttempt,
    ) -> h11.Response:
        """Return the head of the answer to this request.

        A target may send a second answer to an earlier request on the same
        connection, which arrives before the answer to this one. Such answers
        are skipped, since closing the connection would abort the run of this
        request. One without an identifier may be such an answer where there was
        an earlier request.

        Raises:
            h11.RemoteProtocolError: An answer is malformed, or too many
                answers belong to other requests.
            OSError: The connection is broken.
        """
        for _ in range(_MAX_UNRELATED_ANSWERS):
            head = await conn.read_head()
            if not _is_unrelated(self.dialect, running, head):
                return head
            while isinstance(await conn.next_event(), h11.Data):
                pass
            conn.expect_next_answer()
        raise h11.RemoteProtocolError(
            "too many answers with the identifiers of other requests"
        )

    def _reserve(self, size: int, running: attempts.RunningAttempt) -> bool:
        """Reserve bytes for buffering; return False if limits forbid it."""
        if running.reserved + size > self.max_buffered_bytes:
            return False
        if not self.budget.reserve(size):
            return False
        running.reserved += size
        return True


def _unacknowledged_limit(
    running: attempts.RunningAttempt, data: bytes
) -> float | None:
    """Return how many seconds a request may stay unacknowledged; None if usual.

    Taking a silent connection for dead helps only what can be sent again, and
    a target may be at work before it has read a large body.
    """
    if running.effect.fresh or len(data) > _INLINE_SEND_BYTES:
        return running.effect.timeout
    return None


def _end_of(running: attempts.RunningAttempt) -> pool.Opening:
    """Return how the connection of an attempt without an answer ended."""
    if running.interruption is None:
        return pool.Opening.CLOSED
    return pool.Opening.CUT


async def _connect(conn: connection.TargetConnection, seconds: float) -> None:
    try:
        async with curio.timeout_after(seconds):
            await conn.connect()
    except curio.TaskTimeout:
        raise TimeoutError(
            "target did not accept the connection in time"
        ) from None


async def _send(
    conn: connection.TargetConnection, data: bytes
) -> curio.Task | None:
    """Send a request; a large one is sent by a new task, which is returned.

    A target may answer before it has read the body, and then not read on until
    its answer is read. A failed send doesn't end the attempt, as an answer that
    explains the failure may have arrived.
    """
    if len(data) > _INLINE_SEND_BYTES:
        return await curio.spawn(_send_ignoring_errors, conn, data, daemon=True)
    await _send_ignoring_errors(conn, data)
    return None


async def _send_ignoring_errors(
    conn: connection.TargetConnection, data: bytes
) -> None:
    try:
        await conn.send(data)
    except OSError:
        return


def _is_unrelated(
    dialect: daemon_dialect.Dialect,
    running: attempts.RunningAttempt,
    head: h11.Response,
) -> bool:
    """Return whether an answer may belong to another request.

    Other entries name no identifier in their own refusals, and send none twice.

    Raises:
        h11.RemoteProtocolError: The answer has several identifiers, as two that
            were taken for one have.
    """
    if not dialect.request_id:
        return False
    headers = messages.headers_from_h11(head.headers)
    echoed = {value for name, value in headers if name == dialect.request_id}
    if len(echoed) > 1:
        raise h11.RemoteProtocolError("answer has several identifiers")
    if not echoed:
        is_first = not running.kept_connection or not running.request_id
        return not is_first and not running.effect.relay
    return running.request_id not in echoed


def _check_signature(
    dialect: daemon_dialect.Dialect,
    status: int,
    headers: messages.Headers,
) -> None:
    """Check that a success comes from the target itself, unmodified.

    Raises:
        h11.RemoteProtocolError: The answer lacks its request identifier or
            signature, or its body was encoded on the way.
    """
    if not dialect.request_id:
        return
    echoed = messages.header(headers, dialect.request_id)
    if not _MIN_SUCCESS_STATUS <= status < _MIN_REDIRECT_STATUS:
        return
    if echoed is None or not messages.header(headers, dialect.signature):
        raise h11.RemoteProtocolError(
            "answer lacks its request identifier or signature"
        )
    if messages.header(headers, b"content-encoding") is not None:
        raise h11.RemoteProtocolError("body was encoded by an intermediary")


def _check_relayed(headers: messages.Headers, body: bytearray) -> None:
    """Check that an answer through a relay is one of the target.

    Raises:
        RelayRefusedError: It is a refusal of the relay.
    """
    outcome = messages.header(headers, _OUTCOME)
    if outcome is None:
        return
    try:
        reason = _problem_decoder.decode(body).title
    except decoding.ERRORS:
        reason = ""
    raise attempts.RelayRefusedError(
        reached_target=reason == outcome_const.REASON_TARGET_FAILED,
        may_have_run=outcome != outcome_models.Outcome.NOT_RUN.value.encode(),
    )


def _check_framing(
    conn: connection.TargetConnection, status: int, headers: messages.Headers
) -> None:
    """Check that the end of an answer can be told from a lost connection.

    Raises:
        h11.RemoteProtocolError: The answer has no framing header, or several.
    """
    framings = [name for name, _ in headers if name in _FRAMING_HEADERS]
    if len(framings) == 1 or status in _BODILESS_STATUSES:
        return
    if not framings and conn.head_only:
        return
    raise h11.RemoteProtocolError(
        "answer needs exactly one of Content-Length and Transfer-Encoding"
    )
