"""Links on loopback that faults are put on: proxies of single connections."""

import dataclasses
import socket
import struct
from typing import Any

import curio
import curio.network

from soak import faults

_CHUNK = 65536
_POLL_SECONDS = 0.02
_DELAY_SECONDS = 0.12
_CONNECT_SECONDS = 1.0
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(eq=False)
class Link:
    """A proxy in front of one address.

    Attributes:
        upstream: Where its connections go on to; it may change.
        address: Where it listens.
        mode: What it does with the bytes.
        sockets: All its open sockets.
        tasks: The tasks that accept and serve its connections.
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
        """End the link: what it accepts later would outlive the loop."""
        while self.tasks:
            await self.tasks.pop().cancel()

    async def change(self, mode: faults.Mode) -> None:
        """Behave otherwise from now on, on all connections."""
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
            await self._join(sock)
        finally:
            self.tasks.discard(await curio.current_task())

    async def _join(self, sock: Any) -> None:
        if self.mode is faults.Mode.RESET:
            await _reset(sock)
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            async with curio.timeout_after(_CONNECT_SECONDS):
                other = await curio.open_connection(host, int(port))
        except (OSError, ValueError, curio.TaskTimeout):
            await _reset(sock)
            return
        pair = (sock, other)
        for one in pair:
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.update(pair)
        try:
            async with curio.TaskGroup(wait=all) as group:
                there = faults.Mode.CUT_THERE
                await group.spawn(self._pump, sock, other, there)
                back = faults.Mode.CUT_BACK
                await group.spawn(self._pump, other, sock, back)
        finally:
            self.sockets.difference_update(pair)
            for one in pair:
                await one.close()

    async def _pump(self, source: Any, sink: Any, cut: faults.Mode) -> None:
        try:
            while data := await source.recv(_CHUNK):
                await self._hold(cut)
                await sink.sendall(data)
            await self._hold(cut)
            await sink.shutdown(socket.SHUT_WR)
        except OSError:
            await _reset(source)
            await _reset(sink)

    async def _hold(self, cut: faults.Mode) -> None:
        """Let bytes pass late, or when the fault is over."""
        if self.mode is faults.Mode.DELAY:
            await curio.sleep(_DELAY_SECONDS)
        while self.mode in (faults.Mode.SILENT, cut):
            await curio.sleep(_POLL_SECONDS)


async def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        await sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
