"""Reading of HTTP/1.1 messages for the stand-ins."""

import asyncio
import dataclasses

HEAD_END = b"\r\n\r\n"
# Larger than any head or line of the stand-ins.
STREAM_LIMIT = 1 << 20


class BrokenMessageError(Exception):
    """A message ended early or is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Start line and headers of a message, names in lower case."""

    start: tuple[str, str, str]
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head.

    Raises:
        BrokenMessageError: The connection ended before it was complete.
    """
    try:
        data = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise BrokenMessageError(repr(exc)) from None
    first, *lines = data[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    words = [*first.split(" ", 2), "", ""]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head((words[0], words[1], words[2]), headers)


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body with a length or in chunks.

    Raises:
        BrokenMessageError: It is incomplete.
    """
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await _read_chunks(reader)
    except (asyncio.IncompleteReadError, OSError, ValueError) as exc:
        raise BrokenMessageError(repr(exc)) from None
    return b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    while True:
        size = int((await reader.readline()).partition(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
