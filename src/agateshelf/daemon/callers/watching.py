"""Watching callers' connections: deadlines kept and departures noticed.

One task looks at all connections now and then; a timer for each read and a
reading task for each waiting caller would cost every call instead.
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

_LOOK_SECONDS = 0.05
_LOOKS_PER_DEADLINE_CHECK = 5
_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

OnLeft = abc.Callable[[int], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Watched:
    """A connection with the time by which it must get on."""

    conn: reading.CallerConnection
    steps: int = -1
    deadline: float = math.inf


@dataclasses.dataclass(slots=True)
class Watcher:
    """Keeps the deadlines of connections and notices callers that leave.

    Attributes:
        on_left: Told the number of a call whose caller has left.
        hangups: Reports connections whose other side was closed.
        connections: The connections by file number.
    """

    on_left: OnLeft
    hangups: select.epoll
    connections: dict[int, Watched] = dataclasses.field(default_factory=dict)

    def add(self, conn: reading.CallerConnection) -> None:
        """Begin to watch a connection."""
        number = conn.sock.fileno()
        self.connections[number] = Watched(conn)
        self.hangups.register(number, _GONE | select.EPOLLET)
        conn.watched = True

    def remove(self, conn: reading.CallerConnection) -> None:
        """Watch a connection no longer; it must be open still."""
        number = conn.sock.fileno()
        if self.connections.pop(number, None) is not None:
            self.hangups.unregister(number)

    async def run(self) -> None:
        """Look again and again; never returns."""
        for look in itertools.count():
            await self._notice_departures()
            if look % _LOOKS_PER_DEADLINE_CHECK == 0:
                self._keep_deadlines(clock.now())
            await curio.sleep(_LOOK_SECONDS)

    async def _notice_departures(self) -> None:
        numbers = [number for number, _ in self.hangups.poll(0)]
        gone = [self.connections.get(number) for number in numbers]
        for watched in gone:
            if watched is None or watched.conn.deaf:
                continue
            watched.conn.left = True
            if watched.conn.call is not None:
                await self.on_left(watched.conn.call)

    def _keep_deadlines(self, now: float) -> None:
        for watched in list(self.connections.values()):
            conn = watched.conn
            if watched.steps != conn.steps:
                watched.steps = conn.steps
                watched.deadline = now + _seconds_allowed(conn)
            elif watched.deadline <= now and not conn.expired:
                conn.expired = True
                cut(conn)


def _seconds_allowed(conn: reading.CallerConnection) -> float:
    match conn.phase:
        case reading.Phase.IDLE | reading.Phase.WRITING:
            return conn.limits.idle_seconds
        case reading.Phase.READING:
            return conn.limits.request_seconds
        case reading.Phase.WAITING:
            return math.inf


def cut(conn: reading.CallerConnection) -> None:
    """Wake the task that reads or writes on a connection, to end it."""
    conn.deaf = True
    how = socket.SHUT_RD
    if conn.phase is reading.Phase.WRITING:
        how = socket.SHUT_RDWR
    with contextlib.suppress(OSError):
        certificates.shutdown(conn.sock, how)


def create_watcher(on_left: OnLeft) -> Watcher:
    """Create a watcher of no connection yet."""
    return Watcher(on_left, select.epoll())
