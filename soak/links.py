"""TCP proxies on loopback that inject faults into network links.

Entries reach the store, each other and targets through them, so that a fault
can be injected into a single link.
"""

import dataclasses
import pathlib
import socket
import struct
import time
from typing import Any

import curio
import curio.network

from soak import faults

_CHUNK_BYTES = 65536
_POLL_SECONDS = 0.02
# The TCP_USER_TIMEOUT of entries: they give up what is unacknowledged so long,
# which the proxy's own end of the connection has acknowledged.
_LOST_AFTER_SECONDS = 1.0
_DELAY_SECONDS = 0.12
_CONNECT_SECONDS = 1.0
_BACKLOG = 256
# A queue of length 0 holds one connection.
_FILLERS = 2
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
        tasks: Tasks that serve connections.
        listener: The listening socket; None while connections are refused.
        acceptor: Task that accepts connections.
        cut_sources: Modes of the clients that are cut off here, by IP address.
        sources: IP address of the client of each open socket.
        fillers: Connections that fill the listener's queue, so that the kernel
            answers no others.
        record: File to which all traffic is appended; None for none.
    """

    upstream: str = ""
    address: str = ""
    mode: faults.Mode = faults.Mode.PASS
    sockets: set[Any] = dataclasses.field(default_factory=set)
    tasks: set[curio.Task] = dataclasses.field(default_factory=set)
    listener: Any = None
    acceptor: curio.Task | None = None
    cut_sources: dict[str, faults.Mode] = dataclasses.field(
        default_factory=dict
    )
    sources: dict[Any, str] = dataclasses.field(default_factory=dict)
    fillers: list[socket.socket] = dataclasses.field(default_factory=list)
    record: pathlib.Path | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        await self._listen(0)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def _listen(self, port: int) -> None:
        self.listener = curio.network.tcp_server_socket(
            "127.0.0.1", port, backlog=_BACKLOG
        )
        self.acceptor = await curio.spawn(
            self._accept, self.listener, daemon=True
        )

    async def stop(self) -> None:
        """Cancel all tasks.

        A connection accepted while the event loop shuts down would leave a task
        that outlives the loop.
        """
        await self._stop_accepting()
        while self.tasks:
            await self.tasks.pop().cancel()

    async def set_mode(self, mode: faults.Mode) -> None:
        """Set the mode, for open connections as well."""
        self.mode = mode
        if mode in (faults.Mode.RESET, faults.Mode.REFUSED):
            for sock in list(self.sockets):
                await _reset(sock)
        match mode:
            case faults.Mode.REFUSED:
                await self._stop_accepting()
            case faults.Mode.DARK:
                await self._go_dark()
            case _ if self.acceptor is None:
                await self._stop_accepting()
                await self._listen(int(self.address.rpartition(":")[2]))

    async def cut_client(self, entry: int, mode: faults.Mode) -> None:
        """Cut an entry off, also on its open connections."""
        self.cut_sources[source_of(entry)] = mode
        if mode is faults.Mode.RESET:
            for sock in list(self.sources):
                if self._mode_of(sock) is mode:
                    await _reset(sock)

    def restore_client(self, entry: int) -> None:
        """End the cut of an entry."""
        self.cut_sources.pop(source_of(entry), None)

    async def _stop_accepting(self) -> None:
        if self.acceptor is not None:
            await self.acceptor.cancel()
            self.acceptor = None
        if self.listener is not None:
            await self.listener.close()
            self.listener = None
        while self.fillers:
            self.fillers.pop().close()

    async def _go_dark(self) -> None:
        """Leave new connections without an answer.

        The kernel drops them while the queue of a listener that accepts none is
        full.
        """
        if self.acceptor is not None:
            await self.acceptor.cancel()
            self.acceptor = None
        if self.listener is None:
            return
        self.listener.listen(0)
        address = self.listener.getsockname()
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.fillers.append(filler)

    async def _accept(self, listener: Any) -> None:
        while True:
            sock, address = await listener.accept()
            task = await curio.spawn(self._serve, sock, address[0], daemon=True)
            self.tasks.add(task)

    async def _serve(self, sock: Any, source: str) -> None:
        try:
            await self._proxy(sock, source)
        finally:
            self.tasks.discard(await curio.current_task())

    async def _proxy(self, sock: Any, source: str) -> None:
        if faults.Mode.RESET in (
            self.mode,
            self.cut_sources.get(source, faults.Mode.PASS),
        ):
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
        self.sources.update(dict.fromkeys(pair, source))
        try:
            async with curio.TaskGroup(wait=all) as group:
                outbound = faults.Mode.CUT_THERE
                await group.spawn(self._forward, sock, upstream, outbound)
                inbound = faults.Mode.CUT_BACK
                await group.spawn(self._forward, upstream, sock, inbound)
        finally:
            self.sockets.difference_update(pair)
            for one in pair:
                self.sources.pop(one, None)
            for one in pair:
                await one.close()

    def _mode_of(self, sock: Any) -> faults.Mode:
        """Return what becomes of a socket's traffic, by its client alone."""
        source = self.sources.get(sock, "")
        return self.cut_sources.get(source, faults.Mode.PASS)

    async def _forward(
        self, source: Any, sink: Any, blocked: faults.Mode
    ) -> None:
        """Forward one direction, which the mode `blocked` holds."""
        try:
            while data := await source.recv(_CHUNK_BYTES):
                if self.record is not None:
                    with self.record.open("ab") as file:
                        file.write(data)
                held_since = time.monotonic()
                await self._wait(blocked, source)
                if time.monotonic() - held_since > _LOST_AFTER_SECONDS:
                    raise ConnectionResetError("bytes were held for too long")
                await sink.sendall(data)
            await self._wait(blocked, source)
            await sink.shutdown(socket.SHUT_WR)
        except OSError:
            await _reset(source)
            await _reset(sink)

    async def _wait(self, blocked: faults.Mode, sock: Any) -> None:
        """Wait for the delay of the mode, or until the mode lets data pass."""
        if self.mode is faults.Mode.DELAY:
            await curio.sleep(_DELAY_SECONDS)
        held = (faults.Mode.SILENT, faults.Mode.DARK, blocked)
        while self.mode in held or self._mode_of(sock) in held:
            await curio.sleep(_POLL_SECONDS)


def source_of(entry: int) -> str:
    """Return the address that an entry opens connections to targets from."""
    return f"127.0.2.{entry + 1}"


async def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        await sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
