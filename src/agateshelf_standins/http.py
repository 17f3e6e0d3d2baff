"""A tiny HTTP/1.1 server on curio and h11, with kept connections."""

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
class Answer:
    """What a handler answers.

    Attributes:
        status: The status code.
        body: The whole body.
        headers: More headers; the framing is added by the server.
        chunked: Sends the body chunked instead of with its length.
        break_after: Closes the connection after this many bytes of body.
        lost: Closes the connection without any answer.
    """

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    chunked: bool = False
    break_after: int | None = None
    lost: bool = False


@dataclasses.dataclass
class Request:
    """One request as a handler sees it; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: "Connection"

    @property
    def connection_closed(self) -> bool:
        """Whether the caller closed the connection."""
        return self.connection.gone

    async def wait(self, event: Any, seconds: float | None = None) -> None:
        """Waits for an event, the caller's closing or the time to pass.

        Args:
            event: A curio event. It is set too when the caller closes.
            seconds: How long to wait at most; None waits without end.
        """
        if self.connection.gone:
            return
        self.connection.waiting = event
        try:
            if seconds is None:
                await event.wait()
            else:
                await curio.ignore_after(max(seconds, 0.0), event.wait)
        finally:
            self.connection.waiting = None


Handler = Callable[[Request], Awaitable[Answer]]


def json_answer(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Answer:
    """Builds an answer with a JSON body."""
    return Answer(
        status,
        json.dumps(value).encode(),
        {"Content-Type": "application/json", **(headers or {})},
    )


def error_answer(status: int, message: str) -> Answer:
    """Builds an answer that says in JSON what was wrong."""
    return json_answer({"error": message}, status)


class Connection:
    """One kept connection of a caller.

    Attributes:
        gone: Whether the caller closed it.
        frozen: Whether it neither reads nor answers for now.
        busy: Whether a request on it is not answered yet.
        waiting: The event to set when the caller closes.
    """

    def __init__(self, sock: Any, server: "Server") -> None:
        self.gone = False
        self.frozen = False
        self.busy = False
        self.waiting: Any = None
        self._sock = sock
        self._server = server
        self._chunks = curio.Queue(maxsize=16)
        self._h11 = h11.Connection(h11.SERVER)

    @property
    def unanswered(self) -> bool:
        """Whether bytes of a request were taken and not answered."""
        return self.busy or not self._chunks.empty()

    async def serve(self) -> None:
        """Answers requests until either side closes."""
        reader = await curio.spawn(self._read, daemon=True)
        try:
            while await self._exchange():
                pass
        except h11.RemoteProtocolError as error:
            await self._refuse(error)
        except (OSError, h11.LocalProtocolError):
            pass
        finally:
            self.busy = False
            await reader.cancel()
            await self._sock.close()

    async def _read(self) -> None:
        try:
            while data := await self._sock.recv(_CHUNK):
                await self._thawed()
                await self._chunks.put(data)
        except OSError:
            pass
        self.gone = True
        if self.waiting is not None:
            await self.waiting.set()
        await self._chunks.put(b"")

    async def _thawed(self) -> None:
        while self.frozen:
            await curio.sleep(_POLL_S)

    async def _next_event(self) -> Any:
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            if self._h11.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._sock.sendall(self._h11.send(go_on))
            self._h11.receive_data(await self._chunks.get())
        return event

    async def _exchange(self) -> bool:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        self.busy = True
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return False
        answer = await self._server.answer(self._request(head, bytes(body)))
        await self._thawed()
        if answer.lost:
            return False
        whole = await self._send(answer, method=head.method)
        self.busy = False
        if not whole or self._h11.our_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def _request(self, head: h11.Request, body: bytes) -> Request:
        path, _, query = head.target.decode("ascii").partition("?")
        return Request(
            head.method.decode("ascii"),
            urllib.parse.unquote(path),
            dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
            {n.decode("ascii"): v.decode("latin-1") for n, v in head.headers},
            body,
            self,
        )

    async def _send(self, answer: Answer, *, method: bytes) -> bool:
        headers = list(answer.headers.items())
        if answer.chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(len(answer.body))))
        if self._server.leaving:
            headers.append(("Connection", "close"))
        out = self._h11.send(
            h11.Response(status_code=answer.status, headers=headers)
        )
        body = b"" if method == b"HEAD" else answer.body
        whole = answer.break_after is None
        body = body[: answer.break_after]
        for at in range(0, len(body), _CHUNK):
            piece = h11.Data(data=body[at : at + _CHUNK])
            out += self._h11.send(piece) or b""
        if whole:
            out += self._h11.send(h11.EndOfMessage()) or b""
        await self._sock.sendall(out)
        return whole

    async def _refuse(self, error: h11.RemoteProtocolError) -> None:
        if self.gone or self._h11.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        status = error.error_status_hint
        try:
            await self._send(error_answer(status, str(error)), method=b"GET")
        except (OSError, h11.LocalProtocolError):
            return


class Server:
    """Serves a handler on one port.

    Attributes:
        connections: Those open now.
        leaving: Whether each answer asks its caller to close.
        address: Where it listens.
    """

    def __init__(self, handler: Handler) -> None:
        self.connections: set[Connection] = set()
        self.leaving = False
        self.address = ""
        self._handler = handler
        self._accepting: Any = None
        self._terminated = False

    async def start(self, port: int, host: str = "127.0.0.1") -> None:
        """Listens, prints where, and handles SIGTERM from now on."""
        signal.signal(signal.SIGTERM, self._on_terminate)
        listener = curio.network.tcp_server_socket(host, port, backlog=1024)
        self._accepting = await curio.spawn(self._accept, listener, daemon=True)
        self.address = f"{host}:{listener.getsockname()[1]}"
        print(f"listening on {self.address}", flush=True)

    async def until_terminated(self) -> None:
        """Waits for SIGTERM."""
        while not self._terminated:
            await curio.sleep(_POLL_S)

    async def stop(self) -> None:
        """Listens no more, and waits until all that was taken is answered."""
        self.leaving = True
        await self._accepting.cancel()
        while any(c.unanswered and not c.frozen for c in self.connections):
            await curio.sleep(_POLL_S)

    def freeze(self, *, but: Connection) -> None:
        """Stops reading and answering on all connections but one."""
        for connection in self.connections:
            connection.frozen = connection is not but

    def thaw(self) -> None:
        """Reads and answers on all connections again."""
        for connection in self.connections:
            connection.frozen = False

    async def answer(self, request: Request) -> Answer:
        """Runs the handler; an exception in it becomes a 500."""
        try:
            return await self._handler(request)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            return error_answer(500, repr(error))

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
    """Serves a handler until SIGTERM, then answers what it has taken."""
    server = Server(handler)
    await server.start(port)
    await server.until_terminated()
    await server.stop()
