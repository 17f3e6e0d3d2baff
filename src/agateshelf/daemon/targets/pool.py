"""Pool of kept-alive connections to targets."""

import dataclasses

from agateshelf.daemon import clock
from agateshelf.daemon.targets import connection

FRESH_SECONDS = 0.25
_MAX_IDLE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class Pool:
    """Pool of idle connections to targets.

    Attributes:
        limit: Maximum number of idle connections to each target.
        idle: Idle connections by address, the most recently used last.
    """

    limit: int
    idle: dict[str, list[connection.TargetConnection]] = dataclasses.field(
        default_factory=dict
    )

    async def acquire(
        self, address: str, *, fresh: bool
    ) -> connection.TargetConnection | None:
        """Take an idle connection, or return None if there is no usable one.

        Args:
            address: Address of the target.
            fresh: Whether its last answer must have arrived at most
                `FRESH_SECONDS` ago.
        """
        kept = self.idle.get(address)
        if not kept:
            return None
        now = clock.now()
        oldest_allowed = now - (FRESH_SECONDS if fresh else _MAX_IDLE_SECONDS)
        while kept:
            last = kept[-1].last_answer_at
            recent = last is not None and last >= oldest_allowed
            if fresh and not recent:
                return None
            conn = kept.pop()
            if recent and conn.is_idle():
                return conn
            await conn.close()
        return None

    async def release(self, conn: connection.TargetConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        kept = self.idle.setdefault(conn.address, [])
        if not conn.is_reusable() or len(kept) >= self.limit:
            await conn.close()
            return
        conn.protocol.start_next_cycle()
        conn.last_answer_at = clock.now()
        kept.append(conn)

    async def close_older_than(self, address: str, cutoff: float) -> None:
        """Close idle connections whose last answer arrived before `cutoff`.

        Used after a timeout on a kept-alive connection: those idle for longer
        may be dead for the same reason.
        """
        kept = self.idle.get(address, [])
        stale = [
            conn
            for conn in kept
            if conn.last_answer_at is None or conn.last_answer_at < cutoff
        ]
        for conn in stale:
            kept.remove(conn)
            await conn.close()
