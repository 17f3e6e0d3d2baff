"""Probes targets with small requests, on a kept-alive connection to each."""

from collections import abc
import dataclasses

import curio
import h11
import logbook

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.target_notices import const as notice_const
from agateshelf.daemon import dialect as daemon_dialect
from agateshelf.daemon import messages
from agateshelf.daemon import posting
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import load
from agateshelf.daemon.targets import short_answers

_log = logbook.Logger("probes")

_MIN_SERVER_ERROR_STATUS = 500
_MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Prober:
    """Sends probes to targets.

    Attributes:
        dialect: Names of the headers.
        source: Local IP address that connections are opened from, if set.
        active_targets: Targets being probed; only their connections are kept.
        idle: Idle connections by target.
        count: Adds to a counter.
    """

    dialect: daemon_dialect.Dialect
    source: str = ""
    active_targets: set[str] = dataclasses.field(default_factory=set)
    idle: dict[str, connection.TargetConnection] = dataclasses.field(
        default_factory=dict
    )
    count: abc.Callable[[str], None] = lambda _name: None

    async def probe(
        self, effect: effects.ProbeTarget, post: posting.Post
    ) -> None:
        """Probe a target in a new task, which posts `TargetProbed`."""
        if not effect.fresh:
            self.active_targets.add(effect.target)
        await curio.spawn(self._probe, effect, post, daemon=True)

    async def _probe(
        self, effect: effects.ProbeTarget, post: posting.Post
    ) -> None:
        probed = events.TargetProbed(effect.service, effect.target, None)
        try:
            async with curio.timeout_after(effect.timeout):
                probed = await self._send_probe(effect)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
            _log.debug("Probe of target {} failed: {!r}.", effect.target, exc)
        except Exception:
            _log.exception(
                "Unexpected error in a probe of target {}.", effect.target
            )
        await post(probed)

    async def _send_probe(
        self, effect: effects.ProbeTarget
    ) -> events.TargetProbed:
        conn = None if effect.fresh else self.idle.pop(effect.target, None)
        if conn is not None and (
            conn.address != effect.address or not conn.is_idle()
        ):
            await conn.close()
            conn = None
        if conn is None:
            self.count("connections.opened.probe")
            conn = await connection.open_connection(effect.address, self.source)
        try:
            probed = await self._exchange(conn, effect)
        except BaseException:
            await conn.close()
            raise
        is_kept = effect.target in self.active_targets and not effect.fresh
        if _is_reusable(conn) and is_kept:
            self.idle[effect.target] = conn
        else:
            await conn.close()
        return probed

    async def _exchange(
        self, conn: connection.TargetConnection, effect: effects.ProbeTarget
    ) -> events.TargetProbed:
        await conn.send(short_answers.request_of(effect.path))
        data = await conn.sock.recv(connection.READ_BYTES)
        answer = short_answers.read(data)
        if answer is None:
            answer = await _read_by_protocol(conn, effect.path, data)
        status, headers = answer
        unanswered = events.TargetProbed(effect.service, effect.target, None)
        name = messages.header(headers, self.dialect.target)
        if name is not None and name != effect.target.encode():
            return unanswered
        return events.TargetProbed(
            effect.service,
            effect.target,
            self._read_load(status, headers),
            leaving=load.is_leaving(headers, self.dialect),
            reached=True,
            cold=self._read_cold(headers),
        )

    def _read_cold(self, headers: messages.Headers) -> float:
        """Return the seconds of warm-up left; `INVALID_WARMUP` if invalid."""
        value = messages.header(headers, self.dialect.cold)
        if value is None:
            return 0.0
        milliseconds = self.dialect.parse_cold(value)
        if milliseconds is None:
            return notice_const.INVALID_WARMUP
        return milliseconds / _MILLISECONDS_PER_SECOND

    def _read_load(
        self, status: int, headers: messages.Headers
    ) -> events.TargetLoad | None:
        """Return the reported load.

        A target that reports none counts as idle unless it answers with a
        server error.
        """
        value = messages.header(headers, self.dialect.load)
        if value is not None:
            return self.dialect.parse_load(value)
        if status >= _MIN_SERVER_ERROR_STATUS:
            return None
        return events.TargetLoad(0, 0, 1)

    async def close_connections(self, targets: abc.Iterable[str]) -> None:
        """Close the connections to targets that are no longer probed."""
        for target in targets:
            self.active_targets.discard(target)
            conn = self.idle.pop(target, None)
            if conn is not None:
                await conn.close()


async def _read_by_protocol(
    conn: connection.TargetConnection, path: str, data: bytes
) -> tuple[int, messages.Headers]:
    """Read an answer that begins with some bytes by h11."""
    short_answers.send_request(conn.protocol, path)
    conn.protocol.receive_data(data)
    answer = await conn.read_head()
    while isinstance(await conn.next_event(), h11.Data):
        pass
    return answer.status_code, messages.headers_from_h11(answer.headers)


def _is_reusable(conn: connection.TargetConnection) -> bool:
    """Return whether another probe may follow; make the HTTP state ready."""
    if conn.protocol.our_state is h11.IDLE:
        return conn.request_sent
    if not conn.is_reusable():
        return False
    conn.protocol.start_next_cycle()
    return True
