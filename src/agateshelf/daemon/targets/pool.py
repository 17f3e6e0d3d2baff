"""Pool of kept-alive connections to targets."""

import dataclasses
import math
import select

import curio

from agateshelf.daemon import clock
from agateshelf.daemon.targets import connection

FRESH_SECONDS = 0.25
_MAX_IDLE_SECONDS = 30.0
# Interval at which idle connections are closed that are too old, or on which
# anything arrived: their end, or bytes that belong to no request.
_CHECK_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Pool:
    """Pool of idle connections to targets.

    Attributes:
        limit: Maximum number of idle connections to each target.
        arrivals: Reports idle connections on which anything arrived.
        idle: Idle connections by address, the most recently used last.
        watched: Idle connections by file descriptor.
    """

    limit: int
    arrivals: select.epoll
    idle: dict[str, list[connection.TargetConnection]] = dataclasses.field(
        default_factory=dict
    )
    watched: dict[int, connection.TargetConnection] = dataclasses.field(
        default_factory=dict
    )

    async def run(self) -> None:
        """Close unusable idle connections regularly; never returns."""
        while True:
            await curio.sleep(_CHECK_SECONDS)
            oldest_allowed = clock.now() - _MAX_IDLE_SECONDS
            touched = {fd for fd, _ in self.arrivals.poll(0)}
            for fd, conn in list(self.watched.items()):
                if fd in touched or _last_answer(conn) < oldest_allowed:
                    await self._remove(conn)

    async def _remove(self, conn: connection.TargetConnection) -> None:
        """Close an idle connection, unless it was taken meanwhile."""
        if self.watched.get(conn.sock.fileno()) is not conn:
            return
        self.idle[conn.address].remove(conn)
        self._unwatch(conn)
        await conn.close()

    def _unwatch(self, conn: connection.TargetConnection) -> None:
        fd = conn.sock.fileno()
        self.arrivals.unregister(fd)
        del self.watched[fd]
        if not self.idle[conn.address]:
            del self.idle[conn.address]

    async def acquire(
        self, address: str, *, fresh: bool
    ) -> connection.TargetConnection | None:
        """Take an idle connection, or return None if there is no usable one.

        Args:
            address: Address of the target.
            fresh: Whether its last answer must have arrived at most
                `FRESH_SECONDS` ago.
        """
        now = clock.now()
        oldest_allowed = now - (FRESH_SECONDS if fresh else _MAX_IDLE_SECONDS)
        while kept := self.idle.get(address):
            conn = kept[-1]
            recent = _last_answer(conn) >= oldest_allowed
            if fresh and not recent:
                return None
            kept.pop()
            self._unwatch(conn)
            if recent and conn.is_idle():
                return conn
            await conn.close()
        return None

    async def release(self, conn: connection.TargetConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        kept = self.idle.get(conn.address, [])
        if not conn.is_reusable() or len(kept) >= self.limit:
            await conn.close()
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
            await self._remove(conn)


def _last_answer(conn: connection.TargetConnection) -> float:
    return -math.inf if conn.last_answer_at is None else conn.last_answer_at


def create_pool(limit: int) -> Pool:
    """Create an empty pool.

    Args:
        limit: Maximum number of idle connections to each target.
    """
    return Pool(limit, select.epoll())
