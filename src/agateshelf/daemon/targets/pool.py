"""Pool of kept-alive connections to targets."""

import collections
import dataclasses
import enum
import math
import select

import curio

from agateshelf.core import events
from agateshelf.core.dispatch import const as dispatch_const
from agateshelf.daemon import clock
from agateshelf.daemon import posting
from agateshelf.daemon.targets import connection

_MAX_IDLE_SECONDS = 30.0
# Interval at which idle connections are closed that are too old, or on which
# anything arrived: their end, or bytes that belong to no request.
_CHECK_SECONDS = 0.5
# Addresses for which the pool remembers how their last connection ended.
_MAX_ENDED = 4096


class Opening(enum.Enum):
    """Why an attempt opens a connection; part of the name of a counter."""

    FIRST = "first"
    BUSY = "busy"
    EXPIRED = "expired"
    CLOSED = "closed"
    CUT = "cut"
    STALE = "stale"


@dataclasses.dataclass(slots=True)
class Pool:
    """Pool of idle connections to targets.

    Attributes:
        limit: Maximum number of idle connections to each target.
        arrivals: Reports idle connections on which anything arrived.
        idle: Idle connections by address, the most recently used last.
        watched: Idle connections by file descriptor.
        in_use: Number of connections in use, by address.
        ended: Why a new connection is needed where none is left, by address.
        emptied: Addresses whose last idle connection was closed since the last
            check.
        post: Posts that no idle connection is left to an address; None if that
            is of no use.
    """

    limit: int
    arrivals: select.epoll
    idle: dict[str, list[connection.TargetConnection]] = dataclasses.field(
        default_factory=dict
    )
    watched: dict[int, connection.TargetConnection] = dataclasses.field(
        default_factory=dict
    )

    in_use: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ended: dict[str, Opening] = dataclasses.field(default_factory=dict)
    emptied: set[str] = dataclasses.field(default_factory=set)
    post: posting.Post | None = None

    async def run(self) -> None:
        """Close unusable idle connections regularly; never returns."""
        while True:
            await curio.sleep(_CHECK_SECONDS)
            now = clock.now()
            touched = {fd for fd, _ in self.arrivals.poll(0)}
            for fd, conn in list(self.watched.items()):
                if fd in touched:
                    await self._remove(conn, Opening.CLOSED)
                elif _is_expired(conn, now):
                    await self._remove(conn, Opening.EXPIRED)
            emptied = self.emptied - self.idle.keys()
            self.emptied.clear()
            if emptied and self.post is not None:
                await self.post(
                    events.IdleConnectionsClosed(tuple(sorted(emptied)))
                )

    async def _remove(
        self, conn: connection.TargetConnection, reason: Opening
    ) -> None:
        """Close an idle connection, unless it was taken meanwhile."""
        if self.watched.get(conn.sock.fileno()) is not conn:
            return
        self.idle[conn.address].remove(conn)
        self._unwatch(conn)
        await self._close(conn, reason)

    async def _close(
        self, conn: connection.TargetConnection, reason: Opening
    ) -> None:
        self.ended.pop(conn.address, None)
        self.ended[conn.address] = reason
        if len(self.ended) > _MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        if conn.address not in self.idle:
            self.emptied.add(conn.address)
        await conn.close()

    def count_idle(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self.idle.get(address, ()))

    def begin(self, address: str) -> Opening:
        """Note a connection that is opened; return why it has to be."""
        reason = self.ended.get(address, Opening.FIRST)
        if address in self.idle:
            reason = Opening.STALE
        elif self.in_use[address]:
            reason = Opening.BUSY
        self.in_use[address] += 1
        return reason

    async def discard(
        self, conn: connection.TargetConnection, reason: Opening
    ) -> None:
        """Close a connection that was in use."""
        self._end_use(conn.address)
        await self._close(conn, reason)

    def _end_use(self, address: str) -> None:
        self.in_use[address] -= 1
        if self.in_use[address] <= 0:
            del self.in_use[address]

    def _unwatch(self, conn: connection.TargetConnection) -> None:
        fd = conn.sock.fileno()
        self.arrivals.unregister(fd)
        del self.watched[fd]
        if not self.idle[conn.address]:
            del self.idle[conn.address]

    async def acquire(
        self, address: str, *, fresh: bool, request_id: bytes = b""
    ) -> connection.TargetConnection | None:
        """Take an idle connection, or return None if there is no usable one.

        Args:
            address: Address of the target.
            fresh: Whether its last answer must have arrived at most
                `FRESH_CONNECTION_SECONDS` ago.
            request_id: Identifier of the request. A connection on which one
                with the same was refused is not used: a second copy of that
                refusal could not be told from the answer to this one.
        """
        now = clock.now()
        oldest_fresh = now - dispatch_const.FRESH_CONNECTION_SECONDS
        while kept := self.idle.get(address):
            conn = kept[-1]
            if fresh and _last_answer(conn) < oldest_fresh:
                return None
            if request_id in conn.refused:
                return None
            kept.pop()
            self._unwatch(conn)
            if _is_expired(conn, now):
                await self._close(conn, Opening.EXPIRED)
            elif conn.is_idle():
                self.in_use[address] += 1
                return conn
            else:
                await self._close(conn, Opening.CLOSED)
        return None

    async def release(self, conn: connection.TargetConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        self._end_use(conn.address)
        kept = self.idle.get(conn.address, [])
        if not conn.is_reusable() or len(kept) >= self.limit:
            await self._close(conn, Opening.CLOSED)
            return
        conn.protocol.start_next_cycle()
        conn.last_answer_at = clock.now()
        self.idle.setdefault(conn.address, []).append(conn)
        fd = conn.sock.fileno()
        self.watched[fd] = conn
        self.arrivals.register(fd, select.EPOLLIN | select.EPOLLRDHUP)

    async def close_older_than(self, address: str, cutoff: float) -> None:
        """Close idle connections whose last answer arrived before `cutoff`.

        Used after a timeout on a kept-alive connection: those idle for longer
        may be dead for the same reason.
        """
        kept = self.idle.get(address, [])
        for conn in [one for one in kept if _last_answer(one) < cutoff]:
            await self._remove(conn, Opening.EXPIRED)


def _last_answer(conn: connection.TargetConnection) -> float:
    return -math.inf if conn.last_answer_at is None else conn.last_answer_at


def _is_expired(conn: connection.TargetConnection, now: float) -> bool:
    idle_seconds = min(conn.idle_seconds, _MAX_IDLE_SECONDS)
    return now - _last_answer(conn) > idle_seconds


def create_pool(limit: int) -> Pool:
    """Create an empty pool.

    Args:
        limit: Maximum number of idle connections to each target.
    """
    return Pool(limit, select.epoll())
