"""A client connection to a target, using h11."""

import contextlib
import dataclasses
import math
import re
import socket

import curio
import h11

from agateshelf.daemon import fairness
from agateshelf.daemon.targets import heads

# Interim responses before an answer; more are taken for a faulty target.
_MAX_INTERIM_RESPONSES = 32
# A receive brings up to a buffer of bytes, each of which may be an event.
_RECEIVE_WEIGHT = 4
READ_BYTES = 65536
# Interval of TCP keep-alive probes while an answer is awaited, and number of
# unanswered probes after which the connection is closed.
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
_KEEPALIVE_USER_TIMEOUT_MS = 2000
# What a target says of its idle timeout, as in `Keep-Alive: timeout=5`, and the
# time before it from which a connection is no longer used: a request must not
# arrive while the target closes the connection.
_KEEP_ALIVE_TIMEOUT = re.compile(
    rb"(?:^|[,\s])timeout\s*=\s*([0-9]{1,6})(?:$|[,\s])", re.IGNORECASE
)
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
# Refused requests that a connection remembers; it is then replaced.
_MAX_REFUSED = 32
# Limit for unacknowledged bytes; a round trip takes some milliseconds.
_USER_TIMEOUT_MS = 1000
_MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, eq=False)
class TargetConnection:
    """A connection to a target.

    Attributes:
        sock: The socket.
        protocol: HTTP state of the connection.
        address: `HOST:PORT` of the target.
        last_answer_at: Loop time of the last complete answer; None on a new
            connection.
        request_sent: Whether all bytes of the current request were sent.
        send_error: Error that ended the sending of the current request.
        head_only: Whether the current request is a HEAD.
        interrupted: Whether it was shut down by `interrupt`.
        idle_seconds: Time for which it may be idle, by what the target says.
        refused: Identifiers of the requests that were refused on it.
        user_timeout_ms: Limit for unacknowledged bytes, in milliseconds.
        turn: Lets other tasks run while a fast target sends.
    """

    sock: curio.io.Socket
    protocol: h11.Connection
    address: str
    last_answer_at: float | None = None
    request_sent: bool = True
    send_error: OSError | None = None
    head_only: bool = False
    interrupted: bool = False
    idle_seconds: float = math.inf
    refused: set[bytes] = dataclasses.field(default_factory=set)
    user_timeout_ms: int = _USER_TIMEOUT_MS
    turn: fairness.Turn = dataclasses.field(default_factory=fairness.Turn)

    async def connect(self) -> None:
        """Open the connection.

        Raises:
            OSError: The target did not accept it, or has no valid address.
        """
        host, _, port = self.address.rpartition(":")
        try:
            await self.sock.connect((host.strip("[]"), int(port)))
        except (OverflowError, ValueError) as exc:
            raise OSError(f"invalid address {self.address!r}: {exc}") from None

    def limit_unacknowledged(self, seconds: float | None) -> None:
        """Limit how long sent bytes may stay unacknowledged.

        The limit also ends connections whose peer is alive and doesn't read, as
        its window stays closed.

        Args:
            seconds: The limit; None for the usual one.
        """
        limit = _USER_TIMEOUT_MS
        if seconds is not None:
            limit = max(limit, math.ceil(seconds * _MILLISECONDS_PER_SECOND))
        if limit != self.user_timeout_ms:
            set_user_timeout(self.sock, limit)
            self.user_timeout_ms = limit

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            OSError: The connection is broken.
        """
        self.request_sent = False
        try:
            await self.sock.sendall(data)
        except OSError as exc:
            self.send_error = exc
            raise
        self.request_sent = True

    async def next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the answer.

        Raises:
            h11.RemoteProtocolError: The answer is malformed or incomplete.
            OSError: The connection is broken.
        """
        while True:
            await self.turn.step()
            # What had arrived before can be much, and is no longer wanted.
            if self.interrupted:
                raise ConnectionAbortedError("connection was interrupted")
            if self.protocol.their_state is h11.SEND_RESPONSE:
                heads.check(self.protocol.trailing_data[0])
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.sock.recv(READ_BYTES)
            if not data:
                self._check_end()
            self.protocol.receive_data(data)
            await self.turn.step(_RECEIVE_WEIGHT)

    def _check_end(self) -> None:
        """Check that the received bytes don't end because of an error.

        The kernel reports an error once. If the sender got it, the reader finds
        an end like that of an answer without a length. EPIPE is left out: the
        target had closed its side of the connection before.

        Raises:
            OSError: The connection is broken.
        """
        error = self.send_error
        if error is not None and not isinstance(error, BrokenPipeError):
            raise error

    async def read_head(self) -> h11.Response:
        """Return the head of the answer, after any interim responses.

        Raises:
            h11.RemoteProtocolError: The answer is malformed, or too many
                interim responses come before it.
            OSError: The connection is broken or was closed.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError(
                    "target closed the connection without an answer"
                )
        raise h11.RemoteProtocolError("too many interim responses")

    def note_keep_alive(self, value: bytes | None) -> None:
        """Note what an answer's `Keep-Alive` says, if it has one."""
        match = None if value is None else _KEEP_ALIVE_TIMEOUT.search(value)
        self.idle_seconds = math.inf
        if match is not None:
            seconds = int(match[1]) - _KEEP_ALIVE_MARGIN_SECONDS
            self.idle_seconds = max(0.0, seconds)

    def expect_next_answer(self) -> None:
        """Prepare to read another answer to the current request.

        h11 expects one answer to each request. To skip an answer to another
        request, the HTTP state is replaced by a new one that has sent a request
        with the same kind of method.

        Raises:
            h11.RemoteProtocolError: The skipped answer ended the connection.
        """
        rest, peer_closed = self.protocol.trailing_data
        if peer_closed or self.protocol.their_state is not h11.DONE:
            raise h11.RemoteProtocolError(
                "connection ended after an answer to another request"
            )
        self.protocol = h11.Connection(h11.CLIENT)
        method = "HEAD" if self.head_only else "GET"
        self.protocol.send(
            h11.Request(method=method, target="/", headers=[("host", "h")])
        )
        self.protocol.send(h11.EndOfMessage())
        if rest:
            self.protocol.receive_data(rest)

    def is_reusable(self) -> bool:
        """Return whether the exchange is complete and another may follow."""
        done = h11.DONE
        return (
            self.request_sent
            and len(self.refused) <= _MAX_REFUSED
            and self.protocol.our_state is done
            and self.protocol.their_state is done
            and not self.protocol.trailing_data[0]
        )

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        try:
            self.sock._socket_recv(1, socket.MSG_PEEK)  # noqa: SLF001
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def interrupt(self) -> None:
        """Shut the connection down, which wakes the task that uses it."""
        self.interrupted = True
        with contextlib.suppress(OSError):
            self.sock._socket.shutdown(socket.SHUT_RDWR)  # noqa: SLF001

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()


def enable_keepalive(sock: curio.io.Socket) -> None:
    """Enable TCP keep-alive probes, to detect a dead connection.

    A middlebox may drop its state of an open connection, which shows only in
    unanswered keep-alive probes and unacknowledged bytes.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    set_user_timeout(sock, _KEEPALIVE_USER_TIMEOUT_MS)


def set_user_timeout(sock: curio.io.Socket, milliseconds: int) -> None:
    """Limit how long sent bytes may stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def create_connection(address: str, source: str = "") -> TargetConnection:
    """Create an unopened connection to an IP address and port.

    Args:
        address: `HOST:PORT` of the target.
        source: Local IP address that it is opened from; empty for any.
    """
    host = address.rpartition(":")[0]
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = curio.io.Socket(socket.socket(family, socket.SOCK_STREAM))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_user_timeout(sock, _USER_TIMEOUT_MS)
    if source:
        sock._socket.bind((source, 0))  # noqa: SLF001
    return TargetConnection(sock, h11.Connection(h11.CLIENT), address)


async def open_connection(address: str, source: str = "") -> TargetConnection:
    """Open a connection to an IP address and port.

    Args:
        address: `HOST:PORT` of the target.
        source: Local IP address that it is opened from; empty for any.

    Raises:
        OSError: The peer did not accept it.
    """
    conn = create_connection(address, source)
    try:
        await conn.connect()
    except BaseException:
        await conn.close()
        raise
    return conn
