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


async def send(
    address: tuple[str, int],
    request: str,
    method: str,
    host: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection and return its answer.

    Raises:
        BrokenMessageError: The answer is incomplete.
        OSError: The connection is broken.
        TimeoutError: The deadline passed.
    """
    async with asyncio.timeout(deadline_ms / 1000):
        reader, writer = await asyncio.open_connection(
            *address, limit=http.STREAM_LIMIT
        )
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Request-Id: {request}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
            )
            writer.write(body)
            await writer.drain()
            head = await http.read_head(reader)
            received = await http.read_body(reader, head.headers)
        finally:
            writer.close()
    return Answer(int(head.start[1]), head.headers, received)
