"""Kept connections to targets."""

import dataclasses

import curio

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
        """Return a kept connection, or None if a new one must be opened."""
        now = await curio.clock()
        oldest_allowed = now - (FRESH_SECONDS if fresh else _IDLE_SECONDS)
        kept = self.idle.get(address)
        if not kept:
            return None
        conn = kept.pop()
        if conn.last_answer is None or conn.last_answer < oldest_allowed:
            if fresh:
                kept.append(conn)
                return None
            await conn.close()
            return None
        return conn

    async def give(self, conn: connection.TargetConnection) -> None:
        """Keep a connection that finished cleanly, or close it."""
        kept = self.idle.setdefault(conn.address, [])
        if not conn.reusable() or len(kept) >= self.limit:
            await conn.close()
            return
        conn.protocol.start_next_cycle()
        conn.last_answer = await curio.clock()
        kept.append(conn)

    async def discard(self, address: str) -> None:
        """Close all idle connections to a target."""
        for conn in self.idle.pop(address, []):
            await conn.close()
