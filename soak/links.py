"""TCP proxies on loopback that inject faults into network links.

Entries reach the store, each other and targets through them, so that a fault
can be injected into a single link.
"""

import dataclasses
import socket
import struct
from typing import Any

import curio
import curio.network

from soak import faults

_CHUNK_BYTES = 65536
_POLL_SECONDS = 0.02
_DELAY_SECONDS = 0.12
_CONNECT_SECONDS = 1.0
# Value of SO_LINGER with a timeout of 0: closing the socket resets it.
_LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclasses.dataclass(eq=False)
class Link:
    """A TCP proxy in front of one address.

    Attributes:
        upstream: `HOST:PORT` to which new connections are forwarded.
        address: `HOST:PORT` on which it listens.
        mode: What it does with its traffic.
        sockets: Open sockets of both sides.
        tasks: Tasks that accept and serve connections.
    """

    upstream: str = ""
    address: str = ""
    mode: faults.Mode = faults.Mode.PASS
    sockets: set[Any] = dataclasses.field(default_factory=set)
    tasks: set[curio.Task] = dataclasses.field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        listener = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        task = await curio.spawn(self._accept, listener, daemon=True)
        self.tasks.add(task)

    async def stop(self) -> None:
        """Cancel all tasks.

        A connection accepted while the event loop shuts down would leave a task
        that outlives the loop.
        """
        while self.tasks:
            await self.tasks.pop().cancel()

    async def set_mode(self, mode: faults.Mode) -> None:
        """Set the mode, for open connections as well."""
        self.mode = mode
        if mode is faults.Mode.RESET:
            for sock in list(self.sockets):
                await _reset(sock)

    async def _accept(self, listener: Any) -> None:
        async with listener:
            while True:
                sock, _ = await listener.accept()
                task = await curio.spawn(self._serve, sock, daemon=True)
                self.tasks.add(task)

    async def _serve(self, sock: Any) -> None:
        try:
            await self._proxy(sock)
        finally:
            self.tasks.discard(await curio.current_task())

    async def _proxy(self, sock: Any) -> None:
        if self.mode is faults.Mode.RESET:
            await _reset(sock)
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            async with curio.timeout_after(_CONNECT_SECONDS):
                upstream = await curio.open_connection(host, int(port))
        except (OSError, ValueError, curio.TaskTimeout):
            await _reset(sock)
            return
        pair = (sock, upstream)
        for one in pair:
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.update(pair)
        try:
            async with curio.TaskGroup(wait=all) as group:
                outbound = faults.Mode.CUT_THERE
                await group.spawn(self._forward, sock, upstream, outbound)
                inbound = faults.Mode.CUT_BACK
                await group.spawn(self._forward, upstream, sock, inbound)
        finally:
            self.sockets.difference_update(pair)
            for one in pair:
                await one.close()

    async def _forward(
        self, source: Any, sink: Any, blocked: faults.Mode
    ) -> None:
        """Forward one direction, which the mode `blocked` holds."""
        try:
            while data := await source.recv(_CHUNK_BYTES):
                await self._wait(blocked)
                await sink.sendall(data)
            await self._wait(blocked)
            await sink.shutdown(socket.SHUT_WR)
        except OSError:
            await _reset(source)
            await _reset(sink)

    async def _wait(self, blocked: faults.Mode) -> None:
        """Wait for the delay of the mode, or until the mode lets data pass."""
        if self.mode is faults.Mode.DELAY:
            await curio.sleep(_DELAY_SECONDS)
        while self.mode in (faults.Mode.SILENT, blocked):
            await curio.sleep(_POLL_SECONDS)


async def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        await sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
