"""Listening sockets whose connections outlive them."""

from collections import abc
import contextlib
import dataclasses
from typing import Any

import curio
import curio.network

from agateshelf.documents import settings

_BACKLOG = 512

Serve = abc.Callable[[Any, tuple[str, int]], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Listener:
    """A listening socket; closing it leaves its connections to finish.

    Attributes:
        sock: The listening socket.
        serve: Serves one connection.
        task: The task that accepts connections.
    """

    sock: curio.io.Socket
    serve: Serve
    task: curio.Task | None = None

    @property
    def address(self) -> str:
        """Return `HOST:PORT` as bound."""
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Begin to accept connections."""
        self.task = await curio.spawn(self._accept, daemon=True)

    async def close(self) -> None:
        """Accept no further connection."""
        if self.task is not None:
            await self.task.cancel()
        await self._take_waiting()
        await self.sock.close()

    async def _take_waiting(self) -> None:
        """Serve connections that the kernel has accepted already.

        Closing the socket would reset them, with requests on their way.
        """
        with contextlib.suppress(OSError):
            while True:
                accepted, address = self.sock._socket.accept()  # noqa: SLF001
                await self._spawn(curio.io.Socket(accepted), address)

    async def _accept(self) -> None:
        while True:
            sock, address = await self.sock.accept()
            await self._spawn(sock, address)

    async def _spawn(
        self, sock: curio.io.Socket, address: tuple[str, int]
    ) -> None:
        await curio.spawn(self._serve_one, sock, address, daemon=True)

    async def _serve_one(
        self, sock: curio.io.Socket, address: tuple[str, int]
    ) -> None:
        async with sock:
            await self.serve(sock, address)


def create_listener(listen: settings.Listen, serve: Serve) -> Listener:
    """Create a listener.

    Raises:
        OSError: The address can't be bound.
    """
    sock = curio.network.tcp_server_socket(
        listen.host, listen.port, backlog=_BACKLOG
    )
    return Listener(sock, serve)
