"""A proxy on loopback that resets connections."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

_READ_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
    writer.transport.abort()


@dataclasses.dataclass(slots=True)
class Proxy:
    """Passes connections on to an address.

    Attributes:
        resets: Number of connections that were reset.
        pairs: Both ends of the open connections.
    """

    target: tuple[str, int]
    resets: int = 0
    pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = (
        dataclasses.field(default_factory=set)
    )
    listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self.listener = await asyncio.start_server(self._serve, host, port)

    def reset_all(self) -> None:
        """Reset the connections that are open now."""
        for pair in list(self.pairs):
            self.resets += 1
            for writer in pair:
                reset(writer)

    async def close(self) -> None:
        """Stop listening and reset what is open."""
        if self.listener is not None:
            self.listener.close()
        self.reset_all()
        await asyncio.sleep(0.05)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        await asyncio.gather(
            _pass_on(reader, far_writer), _pass_on(far_reader, writer)
        )
        self.pairs.discard(pair)
        for one in pair:
            one.close()


async def _pass_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(_READ_BYTES):
            writer.write(data)
            await writer.drain()
        if not writer.transport.is_closing():
            writer.write_eof()
