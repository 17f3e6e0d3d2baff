"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import urllib.parse


@dataclasses.dataclass(slots=True)
class Request:
    """A request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass(slots=True)
class Response:
    """A response; `drop` closes the connection without one."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    drop: bool = False


Handler = abc.Callable[[Request], abc.Awaitable[Response]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(response: Response) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {response.status} X"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


@dataclasses.dataclass(slots=True)
class Server:
    """Serves a handler at an address until it is closed."""

    handler: Handler
    listener: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self.listener = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self._exchange(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await read_head(reader)
        if head is None:
            return False
        method, target, _ = head[0].split(" ", 2)
        body = await read_body(reader, head[1])
        request = Request(method, target, head[1], body, writer, reader)
        response = await self.handler(request)
        if response.drop:
            return False
        writer.write(encode(response))
        await writer.drain()
        return response.headers.get("Connection", "") != "close"


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got: status 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    seconds: float
    error: str = ""
    request_id: str = ""


async def send(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer:
    """Send a request on a connection of its own and return its answer."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            data = "\r\n".join([*lines, "", ""]).encode() + body
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"", loop.time() - began, "closed")
            status = int(head[0].split(" ")[1])
            got = await read_body(reader, head[1])
            return Answer(status, head[1], got, loop.time() - began)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        return Answer(0, {}, b"", loop.time() - began, type(exc).__name__)
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
