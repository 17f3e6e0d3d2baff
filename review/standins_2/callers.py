"""Stand-in of a caller."""

import asyncio
import dataclasses

from standins_2 import http


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """A connection that is kept for several requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create a connection that isn't open yet."""
        self._address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(
        self,
        request: str,
        method: str,
        host: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> Answer:
        """Send a request and return its answer.

        Raises:
            BrokenMessageError: The answer is incomplete.
            OSError: The connection is broken.
            TimeoutError: The deadline passed.
        """
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address, limit=http.STREAM_LIMIT
                    )
                reader, writer = self._streams
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"X-Request-Id: {request}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                )
                writer.write(body)
                await writer.drain()
                head = await http.read_head(reader)
                received = await http.read_body(reader, head.headers)
        except BaseException:
            self.close()
            raise
        if head.headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(head.start[1]), head.headers, received)

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def send(
    address: tuple[str, int],
    request: str,
    method: str,
    host: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection, as `Connection.send` does."""
    conn = Connection(address)
    try:
        return await conn.send(request, method, host, path, deadline_ms, body)
    finally:
        conn.close()
