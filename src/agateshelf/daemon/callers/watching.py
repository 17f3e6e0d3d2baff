"""Enforces timeouts of callers' connections and detects disconnected callers.

A single task polls all connections periodically, because a timer for each read
and a reading task for each waiting caller would add cost to every call.
"""

from collections import abc
import contextlib
import dataclasses
import itertools
import math
import select
import socket

import curio

from agateshelf.daemon import certificates
from agateshelf.daemon import clock
from agateshelf.daemon.callers import reading

_POLL_SECONDS = 0.05
_POLLS_PER_DEADLINE_CHECK = 5
_HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

OnDisconnect = abc.Callable[[int], abc.Awaitable[None]]
OnReadable = abc.Callable[[reading.CallerConnection], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class WatchedConnection:
    """A connection and the deadline for its next progress."""

    conn: reading.CallerConnection
    progress_count: int = -1
    deadline: float = math.inf


@dataclasses.dataclass(slots=True)
class Watcher:
    """Enforces timeouts of connections and detects disconnected callers.

    Attributes:
        on_disconnect: Called with the number of a call whose caller closed its
            connection.
        hangups: Reports connections closed by their callers.
        on_readable: Called with a connection that waits for a response and on
            which further bytes have arrived; None if nobody needs to know.
        connections: Watched connections by file descriptor.
    """

    on_disconnect: OnDisconnect
    hangups: select.epoll
    on_readable: OnReadable | None = None
    connections: dict[int, WatchedConnection] = dataclasses.field(
        default_factory=dict
    )

    def add(self, conn: reading.CallerConnection) -> None:
        """Start watching a connection."""
        fd = conn.sock.fileno()
        self.connections[fd] = WatchedConnection(conn)
        reported = _HANGUP_EVENTS | select.EPOLLET
        if self.on_readable is not None:
            # A poll reports only bytes that are still unread, so that usual
            # requests, which the connection's task reads, cost nothing here.
            reported |= select.EPOLLIN
        self.hangups.register(fd, reported)
        conn.watched = True

    def remove(self, conn: reading.CallerConnection) -> None:
        """Stop watching a connection, which must still be open."""
        fd = conn.sock.fileno()
        if self.connections.pop(fd, None) is not None:
            self.hangups.unregister(fd)

    async def run(self) -> None:
        """Poll the connections periodically; never returns."""
        for poll_count in itertools.count():
            await self._poll()
            if poll_count % _POLLS_PER_DEADLINE_CHECK == 0:
                self._enforce_deadlines(clock.now())
            await curio.sleep(_POLL_SECONDS)

    async def _poll(self) -> None:
        reported = [
            (self.connections.get(fd), mask)
            for fd, mask in self.hangups.poll(0)
        ]
        for watched, mask in reported:
            if watched is None or watched.conn.read_shut:
                continue
            if mask & _HANGUP_EVENTS:
                await self._note_disconnect(watched.conn)
            elif watched.conn.call is not None and self.on_readable is not None:
                await self.on_readable(watched.conn)

    async def _note_disconnect(self, conn: reading.CallerConnection) -> None:
        conn.disconnected = True
        running = [begun.call for begun in conn.ahead]
        if conn.call is not None:
            running.insert(0, conn.call)
        for call in running:
            await self.on_disconnect(call)

    def _enforce_deadlines(self, now: float) -> None:
        for watched in list(self.connections.values()):
            conn = watched.conn
            if watched.progress_count != conn.progress_count:
                watched.progress_count = conn.progress_count
                watched.deadline = now + _phase_timeout(conn)
            elif watched.deadline <= now and not conn.timed_out:
                conn.timed_out = True
                shut_down(conn)


def _phase_timeout(conn: reading.CallerConnection) -> float:
    match conn.phase:
        case reading.Phase.IDLE | reading.Phase.WRITING:
            return conn.limits.idle_seconds
        case reading.Phase.READING:
            return conn.limits.request_seconds
        case reading.Phase.WAITING:
            return math.inf


def shut_down(conn: reading.CallerConnection) -> None:
    """Shut a connection down, which wakes its task to close it."""
    conn.read_shut = True
    how = socket.SHUT_RD
    if conn.phase is reading.Phase.WRITING:
        how = socket.SHUT_RDWR
    with contextlib.suppress(OSError):
        certificates.shutdown(conn.sock, how)


def create_watcher(
    on_disconnect: OnDisconnect, on_readable: OnReadable | None = None
) -> Watcher:
    """Create a watcher without connections."""
    return Watcher(on_disconnect, select.epoll(), on_readable)
