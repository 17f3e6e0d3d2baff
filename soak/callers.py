"""Callers of the soak test.

They send requests over keep-alive connections, sometimes disconnect early, and
record the outcome of each request.
"""

import contextlib
import dataclasses
import itertools
import json
import random
import time
from typing import Any

import curio
import h11

from agateshelf_standins import member
from soak import history as history_lib
from soak import pipelining
from soak import workspaces

HOST = "soak.example"
LOOKUP_TIMEOUT_SECONDS = 1.0
BOOKING_TIMEOUT_SECONDS = 1.5
DEADLINE_SECONDS = 4.0
_RESPONSE_TIMEOUT_SECONDS = 4.0
_DISCONNECT_SHARE = 0.05
_CHUNKED_SHARE = 0.2
_MAX_BODY_BYTES = 3000
_MAX_REQUESTS_PER_CONNECTION = 40


_single_numbers = itertools.count()


class _ConnectionClosedError(Exception):
    """The connection was closed before a complete response."""


@dataclasses.dataclass(eq=False)
class Caller:
    """A caller that sends one request at a time, or several pipelined.

    Attributes:
        cluster: System whose entries it calls.
        history: History to which its requests are added.
        rng: Random number generator of its choices.
        mean_pause: Mean pause between two requests, in seconds.
        line_share: Share of its requests that are several pipelined lookups.
        line_lengths: Smallest and largest number of these.
        numbers: Numbers of its requests, which make their identifiers unique.
    """

    # Not typed, as the module of the cluster imports this one.
    cluster: Any
    history: history_lib.History
    rng: random.Random
    mean_pause: float = 0.06
    line_share: float = pipelining.LINE_SHARE
    line_lengths: tuple[int, int] = pipelining.LINE_LENGTHS
    numbers: Any = dataclasses.field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send requests to random entries until cancelled."""
        while True:
            entry = self.rng.randrange(len(self.cluster.entries))
            try:
                await self._use_connection(entry)
            except OSError:
                await curio.sleep(self.mean_pause)

    async def _use_connection(self, entry: int) -> None:
        """Send requests over one connection until it is closed."""
        process_id = self.cluster.entries[entry].process_id
        sock = await connect(self.cluster.entries[entry].caller_address)
        conn = h11.Connection(h11.CLIENT)
        async with sock:
            for _ in range(self.rng.randint(1, _MAX_REQUESTS_PER_CONNECTION)):
                if self.rng.random() < self.line_share:
                    last = await self._use_line(sock, conn, entry, process_id)
                    if last is None:
                        return
                    conn = last
                    await curio.sleep(self.rng.expovariate(1 / self.mean_pause))
                    continue
                call = self._create_call(entry, process_id)
                who = workspaces.draw_credentials(
                    self.rng, self.cluster.workspaces
                )
                call.workspace, call.key = who.workspace, who.key
                disconnects = self.rng.random() < _DISCONNECT_SHARE
                await _send(sock, conn, call, self._create_body(call), who)
                call.sent_at = time.time()
                self.history.calls.append(call)
                if disconnects:
                    await curio.sleep(self.rng.uniform(0.0, 0.04))
                    call.disconnected = True
                    return
                if not await await_response(sock, conn, call):
                    return
                conn.start_next_cycle()
                await curio.sleep(self.rng.expovariate(1 / self.mean_pause))

    async def _use_line(
        self, sock: Any, first: h11.Connection, entry: int, process_id: int
    ) -> h11.Connection | None:
        """Send several lookups, then await their responses in order.

        Returns:
            State of the connection after the last one; None if it can't be
            reused.
        """
        line: list[tuple[history_lib.Call, h11.Connection]] = []
        data = b""
        for _ in range(self.rng.randint(*self.line_lengths)):
            call = self._create_call(entry, process_id, is_lookup=True)
            call.line = line[0][0].id if line else call.id
            who = workspaces.draw_credentials(self.rng, self.cluster.workspaces)
            call.workspace, call.key = who.workspace, who.key
            conn = h11.Connection(h11.CLIENT) if line else first
            data += b"".join(encode(conn, call, ([], False), who))
            line.append((call, conn))
        calls = [call for call, _ in line]
        split = len(data)
        if self.rng.random() < pipelining.SPLIT_SHARE:
            split = self.rng.randrange(len(data))
        for call in calls:
            call.sent_at_once = split == len(data)
            call.sent_at = time.time()
        self.history.calls += calls
        disconnects = self.rng.random() < _DISCONNECT_SHARE
        for call in calls:
            call.disconnected = disconnects
        # Responses to the first piece can be read although the second fails.
        with contextlib.suppress(OSError):
            await sock.sendall(data[:split])
            if split < len(data):
                await curio.sleep(self.rng.uniform(0.0, 0.02))
                await sock.sendall(data[split:])
        if disconnects:
            await curio.sleep(self.rng.uniform(0.0, 0.04))
            return None
        rest = b""
        for number, (call, conn) in enumerate(line):
            if rest:
                conn.receive_data(rest)
            if not await await_response(sock, conn, call):
                pipelining.note_close(calls[number + 1 :], call)
                return None
            rest = conn.trailing_data[0]
        calls[-1].surplus = len(rest)
        conn.start_next_cycle()
        return conn

    def _create_call(
        self, entry: int, process_id: int, *, is_lookup: bool = False
    ) -> history_lib.Call:
        request_id = f"c{id(self):x}-{next(self.numbers)}"
        draw = self.rng.uniform(0.0, 0.65) if is_lookup else self.rng.random()
        version = max(self.history.table_written_at)
        if draw < 0.15:
            path, idempotent = f"/m{version}/{request_id}", True
        elif draw < 0.65:
            path, idempotent = f"/vin/{request_id}", True
        else:
            path, idempotent = f"/book/{request_id}", False
        timeout = (
            LOOKUP_TIMEOUT_SECONDS if idempotent else BOOKING_TIMEOUT_SECONDS
        )
        return history_lib.Call(
            request_id, path, idempotent, entry, process_id, 0.0, timeout
        )

    def _create_body(self, call: history_lib.Call) -> tuple[list[bytes], bool]:
        """Return the parts of a body, and whether it is sent chunked."""
        if call.idempotent:
            return [], False
        size = self.rng.randint(1, _MAX_BODY_BYTES)
        half = self.rng.randrange(size)
        parts = [part for part in (b"x" * half, b"y" * (size - half)) if part]
        return parts, self.rng.random() < _CHUNKED_SHARE


async def send_once(
    cluster: Any,
    history: history_lib.History,
    entry: int,
    path: str,
    source: str = "",
    who: workspaces.Credentials | None = None,
) -> None:
    """Send a lookup to an entry over a new connection and record it.

    Args:
        cluster: The cluster.
        history: History that the call is added to.
        entry: Number of the entry.
        path: Path of the lookup.
        source: Loopback address that it is sent from; empty for any.
        who: What the caller says who it is; None for a drawn workspace.
    """
    if who is None:
        rng = random.Random(0)
        who = workspaces.draw_credentials(rng, cluster.workspaces)
    call = history_lib.Call(
        f"x{next(_single_numbers)}",
        path,
        True,
        entry,
        cluster.entries[entry].process_id,
        0.0,
        LOOKUP_TIMEOUT_SECONDS,
        workspace=who.workspace,
        key=who.key,
    )
    try:
        sock = await connect(cluster.entries[entry].caller_address, source)
    except OSError:
        return
    async with sock:
        await send_on(sock, history, call, who)


async def send_on(
    sock: Any,
    history: history_lib.History,
    call: history_lib.Call,
    who: workspaces.Credentials,
) -> None:
    """Send a request without a body on an open connection and record it."""
    conn = h11.Connection(h11.CLIENT)
    call.sent_at = time.time()
    try:
        await _send(sock, conn, call, ([], False), who)
    except OSError:
        return
    history.calls.append(call)
    await await_response(sock, conn, call)


async def connect(address: str, source: str = "") -> Any:
    """Connect to an entry, from a loopback address if one is given.

    Raises:
        OSError: It accepts no connection in time.
    """
    host, _, port = address.rpartition(":")
    bound = (source, 0) if source else None
    try:
        async with curio.timeout_after(1.0):
            return await curio.open_connection(
                host, int(port), source_addr=bound
            )
    except curio.TaskTimeout:
        raise TimeoutError(address) from None


async def _send(
    sock: Any,
    conn: h11.Connection,
    call: history_lib.Call,
    body: tuple[list[bytes], bool],
    who: workspaces.Credentials,
) -> None:
    for part in encode(conn, call, body, who):
        await sock.sendall(part)


def encode(
    conn: h11.Connection,
    call: history_lib.Call,
    body: tuple[list[bytes], bool],
    who: workspaces.Credentials,
) -> list[bytes]:
    """Return the bytes of a request, in the pieces that are sent singly."""
    parts, chunked = body
    headers = [
        ("Host", HOST),
        ("X-Request-Id", call.id),
        ("X-Deadline-Ms", str(round(1000 * DEADLINE_SECONDS))),
        *who.headers(),
    ]
    if chunked:
        headers.append(("Transfer-Encoding", "chunked"))
    else:
        headers.append(("Content-Length", str(sum(map(len, parts)))))
    method = "GET" if call.idempotent else "POST"
    head = h11.Request(method=method, target=call.path, headers=headers)
    data = [conn.send(head)]
    data += [conn.send(h11.Data(data=part)) for part in parts]
    data.append(conn.send(h11.EndOfMessage()))
    return data


async def await_response(
    sock: Any, conn: h11.Connection, call: history_lib.Call
) -> bool:
    """Wait for the response; return whether the connection can be reused."""
    try:
        async with curio.timeout_after(_RESPONSE_TIMEOUT_SECONDS):
            await _read_response(sock, conn, call)
    except curio.TaskTimeout:
        return False
    except (OSError, h11.RemoteProtocolError, _ConnectionClosedError):
        call.ended_at = time.time()
        return False
    call.ended_at = time.time()
    return conn.our_state is h11.DONE and conn.their_state is h11.DONE


async def _read_response(
    sock: Any, conn: h11.Connection, call: history_lib.Call
) -> None:
    head: h11.Response | None = None
    body = b""
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await sock.recv(65536))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            break
        else:
            raise _ConnectionClosedError(call.id)
    headers = dict(head.headers)
    call.status = head.status_code
    call.answered_as = headers.get(b"x-request-id", b"").decode()
    call.has_retry_after = b"retry-after" in headers
    if b"x-response-signature" in headers:
        call.answered_by = headers.get(b"x-instance-id", b"").decode()
        call.said_leaving = b"server-leaving" in headers
    if call.status == 200:
        call.verified = _is_valid_response(call, headers, body)


def _is_valid_response(
    call: history_lib.Call, headers: dict[bytes, bytes], body: bytes
) -> bool:
    """Return whether a body is complete and was produced for this request."""
    signature = headers.get(b"x-response-signature", b"").decode()
    if signature != member.signature_of(call.id, body):
        return False
    return bool(json.loads(body)["id"] == call.id)
