"""Listening sockets.

curio's own server cancels its connections when it is cancelled. Here a listener
can be closed during a graceful stop while its connections go on.
"""

from collections import abc
import contextlib
import dataclasses
import socket
from typing import Any

import curio
import curio.network
import logbook

from agateshelf.daemon import certificates
from agateshelf.documents import settings

_BACKLOG = 512
_ACCEPT_RETRY_SECONDS = 0.05

_log = logbook.Logger("listening")

Serve = abc.Callable[[Any, tuple[str, int]], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Listener:
    """Accepts connections, each of which is served by a task of its own.

    Attributes:
        sock: The listening socket.
        serve: Serves one connection.
        tls: Certificate for TLS, or None for plain connections.
        task: Task that accepts connections.
    """

    sock: curio.io.Socket
    serve: Serve
    tls: certificates.Certificates | None = None
    task: curio.Task | None = None

    @property
    def address(self) -> str:
        """`HOST:PORT` to which the socket is bound."""
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start to accept connections."""
        self.task = await curio.spawn(self._accept, daemon=True)

    async def close(self) -> None:
        """Close the socket; open connections go on.

        Connections that wait in the kernel's accept queue are served as well:
        closing the socket would reset them, though requests may be on their
        way. No other task runs between emptying the queue and closing the
        socket.
        """
        if self.task is not None:
            await self.task.cancel()
        queued = self._accept_queued()
        await self.sock.close()
        for accepted, address in queued:
            await self._spawn(curio.io.Socket(accepted), address)

    def _accept_queued(self) -> list[tuple[socket.socket, tuple[str, int]]]:
        queued: list[tuple[socket.socket, tuple[str, int]]] = []
        with contextlib.suppress(OSError):
            while True:
                queued.append(self.sock._socket.accept())  # noqa: SLF001
        return queued

    async def _accept(self) -> None:
        while True:
            try:
                sock, address = await self.sock.accept()
            except OSError as exc:
                _log.warning("Cannot accept a connection: {}.", exc)
                await curio.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            await self._spawn(sock, address)
            # A flood of connections must not keep other tasks from running.
            await curio.sleep(0)

    async def _spawn(
        self, sock: curio.io.Socket, address: tuple[str, int]
    ) -> None:
        await curio.spawn(self._serve_one, sock, address, daemon=True)

    async def _serve_one(
        self, sock: curio.io.Socket, address: tuple[str, int]
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.tls is not None:
            try:
                sock = await self.tls.wrap(sock)
            except OSError as exc:
                _log.debug("TLS handshake failed: {}.", exc)
                return
        async with sock:
            await self.serve(sock, address)


def create_listener(
    listen: settings.SecureListen, serve: Serve, path: str
) -> Listener:
    """Create a listener.

    Args:
        listen: Address to listen on and TLS settings.
        serve: Serves one connection.
        path: JSON Pointer of `listen` in the settings, for errors.

    Raises:
        DocumentError: The certificate can't be loaded.
        OSError: The address can't be bound.
    """
    sock = curio.network.tcp_server_socket(
        listen.host, listen.port, backlog=_BACKLOG
    )
    tls: certificates.Certificates | None = None
    if listen.tls is not None:
        tls = certificates.create_certificates(listen.tls, f"{path}/tls")
    return Listener(sock, serve, tls)
