"""A minimal reverse proxy with curio and h11, the baseline of the live bench.

It buffers whole messages and forwards them to one fixed target, without any
decisions. The live bench compares the cost of an entry with it.
"""

import sys
from typing import Any

import curio
import curio.network
import h11

_READ_BYTES = 65536


class HttpConnection:
    """An HTTP connection.

    Attributes:
        sock: Socket of the connection.
        protocol: State of the HTTP protocol on it.
    """

    def __init__(self, sock: curio.io.Socket, role: Any) -> None:
        self.sock = sock
        self.protocol = h11.Connection(role)

    async def next_event(self) -> Any:
        """Return the next HTTP event, reading from the socket as needed."""
        while (event := self.protocol.next_event()) is h11.NEED_DATA:
            self.protocol.receive_data(await self.sock.recv(_READ_BYTES))
        return event

    async def read(self) -> tuple[Any, bytes]:
        """Read a whole message; return its head and body."""
        head = await self.next_event()
        parts = []
        while isinstance(event := await self.next_event(), h11.Data):
            parts.append(bytes(event.data))
        return head, b"".join(parts)

    async def write(self, head: h11.Event, body: bytes) -> None:
        """Send a whole message."""
        data = [self.protocol.send(head) or b""]
        if body:
            data.append(self.protocol.send(h11.Data(data=body)) or b"")
        data.append(self.protocol.send(h11.EndOfMessage()) or b"")
        await self.sock.sendall(b"".join(data))


async def _serve(sock: curio.io.Socket, target: tuple[str, int]) -> None:
    caller = HttpConnection(sock, h11.SERVER)
    target_sock = await curio.open_connection(*target)
    async with sock, target_sock:
        upstream = HttpConnection(target_sock, h11.CLIENT)
        while True:
            request, body = await caller.read()
            if not isinstance(request, h11.Request):
                return
            await upstream.write(request, body)
            answer, body = await upstream.read()
            await caller.write(answer, body)
            caller.protocol.start_next_cycle()
            upstream.protocol.start_next_cycle()


async def main(address: str) -> None:
    """Forward requests to a target until killed.

    Args:
        address: Address of the target, as `host:port`.
    """
    host, _, port = address.rpartition(":")
    listener = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=128)
    print(f"listening on 127.0.0.1:{listener.getsockname()[1]}", flush=True)
    while True:
        sock, _ = await listener.accept()
        await curio.spawn(_serve, sock, (host, int(port)), daemon=True)


if __name__ == "__main__":
    curio.run(main, sys.argv[1])
