"""A small HTTP/1.1 server on curio and h11 for the stand-ins.

It supports keep-alive and can inject faults: truncated response bodies, closed
connections and connections that stop reading.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
import signal
import socket
import sys
import traceback
from typing import Any
import urllib.parse

import curio
import h11

_CHUNK = 65536
_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Response:
    """A handler's response, with the faults to inject into it.

    Attributes:
        status: The status code.
        body: The complete body.
        headers: Headers apart from those that frame the body, which the server
            adds.
        chunked: Whether to use chunked transfer coding instead of a
            `Content-Length`.
        break_after: Number of body bytes after which the connection is closed,
            or None to send the complete body.
        lost: Whether to close the connection without a response.
    """

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    chunked: bool = False
    break_after: int | None = None
    lost: bool = False


@dataclasses.dataclass
class Request:
    """A request as passed to a handler; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: "Connection"

    @property
    def connection_closed(self) -> bool:
        """Whether the caller closed the connection."""
        return self.connection.peer_closed

    async def wait(self, event: Any, seconds: float | None = None) -> None:
        """Wait until an event is set, the caller disconnects or time runs out.

        Args:
            event: A curio event. It is also set when the caller disconnects.
            seconds: Longest time to wait; None for no limit.
        """
        if self.connection.peer_closed:
            return
        self.connection.awaited_event = event
        try:
            if seconds is None:
                await event.wait()
            else:
                await curio.ignore_after(max(seconds, 0.0), event.wait)
        finally:
            self.connection.awaited_event = None


Handler = Callable[[Request], Awaitable[Response]]


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status,
        json.dumps(value).encode(),
        {"Content-Type": "application/json", **(headers or {})},
    )


def error_response(status: int, message: str) -> Response:
    """Return a response with an error message in a JSON body."""
    return json_response({"error": message}, status)


class Connection:
    """A persistent connection of a caller.

    Attributes:
        peer_closed: Whether the caller closed it.
        paused: Whether it neither reads requests nor sends responses for now.
        in_exchange: Whether a request was read whose response has not been sent
            yet.
        awaited_event: Event that the handler waits for, to be set when the
            caller disconnects.
    """

    def __init__(self, sock: Any, server: "Server") -> None:
        self.peer_closed = False
        self.paused = False
        self.in_exchange = False
        self.awaited_event: Any = None
        self._sock = sock
        self._server = server
        self._chunks = curio.Queue(maxsize=16)
        self._h11 = h11.Connection(h11.SERVER)

    @property
    def has_pending_request(self) -> bool:
        """Whether bytes of a request were received that has no response yet."""
        return self.in_exchange or not self._chunks.empty()

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        reader = await curio.spawn(self._read, daemon=True)
        try:
            while await self._exchange():
                pass
        except h11.RemoteProtocolError as error:
            await self._send_error(error)
        except (OSError, h11.LocalProtocolError):
            pass
        finally:
            self.in_exchange = False
            await reader.cancel()
            await self._sock.close()

    async def _read(self) -> None:
        try:
            while data := await self._sock.recv(_CHUNK):
                await self._wait_until_resumed()
                await self._chunks.put(data)
        except OSError:
            pass
        self.peer_closed = True
        if self.awaited_event is not None:
            await self.awaited_event.set()
        await self._chunks.put(b"")

    async def _wait_until_resumed(self) -> None:
        while self.paused:
            await curio.sleep(_POLL_S)

    async def _next_event(self) -> Any:
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            if self._h11.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._sock.sendall(self._h11.send(continue_response))
            self._h11.receive_data(await self._chunks.get())
        return event

    async def _exchange(self) -> bool:
        """Handle one request; return whether the connection can be reused."""
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        self.in_exchange = True
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return False
        response = await self._server.respond(
            self._build_request(head, bytes(body))
        )
        await self._wait_until_resumed()
        if response.lost:
            return False
        complete = await self._send(response, method=head.method)
        self.in_exchange = False
        if not complete or self._h11.our_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def _build_request(self, head: h11.Request, body: bytes) -> Request:
        path, _, query = head.target.decode("ascii").partition("?")
        return Request(
            head.method.decode("ascii"),
            urllib.parse.unquote(path),
            dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
            {n.decode("ascii"): v.decode("latin-1") for n, v in head.headers},
            body,
            self,
        )

    async def _send(self, response: Response, *, method: bytes) -> bool:
        """Send a response; return whether it was sent completely."""
        headers = list(response.headers.items())
        if response.chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(len(response.body))))
        if self._server.draining:
            headers.append(("Connection", "close"))
        output = self._h11.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        body = b"" if method == b"HEAD" else response.body
        complete = response.break_after is None
        body = body[: response.break_after]
        for offset in range(0, len(body), _CHUNK):
            chunk = h11.Data(data=body[offset : offset + _CHUNK])
            output += self._h11.send(chunk) or b""
        if complete:
            output += self._h11.send(h11.EndOfMessage()) or b""
        await self._sock.sendall(output)
        return complete

    async def _send_error(self, error: h11.RemoteProtocolError) -> None:
        if self.peer_closed or self._h11.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        status = error.error_status_hint
        try:
            await self._send(error_response(status, str(error)), method=b"GET")
        except (OSError, h11.LocalProtocolError):
            return


class Server:
    """Serves a handler on one port.

    Attributes:
        connections: Open connections.
        draining: Whether each response carries `Connection: close`.
        address: `HOST:PORT` it listens on.
    """

    def __init__(self, handler: Handler) -> None:
        self.connections: set[Connection] = set()
        self.draining = False
        self.address = ""
        self._handler = handler
        self._accept_task: Any = None
        self._terminated = False

    async def start(self, port: int, host: str = "127.0.0.1") -> None:
        """Listen, print the address and install the SIGTERM handler."""
        signal.signal(signal.SIGTERM, self._on_terminate)
        listener = curio.network.tcp_server_socket(host, port, backlog=1024)
        self._accept_task = await curio.spawn(
            self._accept, listener, daemon=True
        )
        self.address = f"{host}:{listener.getsockname()[1]}"
        print(f"listening on {self.address}", flush=True)

    async def wait_for_termination(self) -> None:
        """Wait for SIGTERM."""
        while not self._terminated:
            await curio.sleep(_POLL_S)

    async def stop(self) -> None:
        """Stop accepting and wait until all received requests are answered."""
        self.draining = True
        await self._accept_task.cancel()
        while any(
            c.has_pending_request and not c.paused for c in self.connections
        ):
            await curio.sleep(_POLL_S)

    def pause(self, *, exempt: Connection) -> None:
        """Stop reading and responding on all connections but one."""
        for connection in self.connections:
            connection.paused = connection is not exempt

    def resume(self) -> None:
        """Resume reading and responding on all connections."""
        for connection in self.connections:
            connection.paused = False

    async def respond(self, request: Request) -> Response:
        """Run the handler; an exception raised by it becomes a 500 response."""
        try:
            return await self._handler(request)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            return error_response(500, repr(error))

    def _on_terminate(self, _signo: int, _frame: Any) -> None:
        self._terminated = True

    async def _accept(self, listener: Any) -> None:
        async with listener:
            while True:
                sock, _ = await listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: Any) -> None:
        connection = Connection(sock, self)
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)


async def serve_until_terminated(handler: Handler, port: int) -> None:
    """Serve a handler until SIGTERM, then finish the requests received."""
    server = Server(handler)
    await server.start(port)
    await server.wait_for_termination()
    await server.stop()
