"""Kept connections to targets."""

import dataclasses

from agateshelf.daemon import clock
from agateshelf.daemon.targets import connection

FRESH_SECONDS = 0.25
_IDLE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class Pool:
    """Idle connections by target address, the most recently used last.

    Attributes:
        limit: Connections kept at most for each target.
        idle: The idle connections.
    """

    limit: int
    idle: dict[str, list[connection.TargetConnection]] = dataclasses.field(
        default_factory=dict
    )

    async def take(
        self, address: str, *, fresh: bool
    ) -> connection.TargetConnection | None:
        """Return a kept connection, or None if a new one must be opened.

        Args:
            address: Address of the target.
            fresh: Whether it must have answered within `FRESH_SECONDS`.
        """
        kept = self.idle.get(address)
        if not kept:
            return None
        now = clock.now()
        oldest_allowed = now - (FRESH_SECONDS if fresh else _IDLE_SECONDS)
        while kept:
            last = kept[-1].last_answer
            recent = last is not None and last >= oldest_allowed
            if fresh and not recent:
                return None
            conn = kept.pop()
            if recent and conn.quiet():
                return conn
            await conn.close()
        return None

    async def give(self, conn: connection.TargetConnection) -> None:
        """Keep a connection that finished cleanly, or close it."""
        kept = self.idle.setdefault(conn.address, [])
        if not conn.reusable() or len(kept) >= self.limit:
            await conn.close()
            return
        conn.protocol.start_next_cycle()
        conn.last_answer = clock.now()
        kept.append(conn)

    async def discard_elders(self, address: str, since: float) -> None:
        """Close idle connections that have not answered since a time.

        When one connection has gone silent, those that were quiet for longer
        may have gone the same way.
        """
        kept = self.idle.get(address, [])
        elders = [
            conn
            for conn in kept
            if conn.last_answer is None or conn.last_answer < since
        ]
        for conn in elders:
            kept.remove(conn)
            await conn.close()
