"""Callers of a soak: requests over kept connections, and the words on them."""

import dataclasses
import itertools
import json
import random
import time
from typing import Any

import curio
import h11

from agateshelf_standins import member
from soak import records

HOST = "soak.example"
LOOKUP_SECONDS = 1.0
BOOKING_SECONDS = 1.5
_PATIENCE_SECONDS = 4.0
_LEAVING_SHARE = 0.05
_CHUNKED_SHARE = 0.2
_LONGEST_BODY = 3000
_REQUESTS_PER_CONNECTION = 40


class _GoneError(Exception):
    """The connection ended before a whole answer."""


@dataclasses.dataclass(eq=False)
class Caller:
    """One caller, which sends one request after another.

    Attributes:
        scene: What it may call.
        record: Where its words are kept.
        rng: Its choices.
        pause: Mean seconds between two requests.
    """

    scene: Any
    record: records.Record
    rng: random.Random
    pause: float = 0.06
    numbers: Any = dataclasses.field(default_factory=itertools.count)

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            entry = self.rng.randrange(len(self.scene.entries))
            try:
                await self._use(entry)
            except OSError:
                await curio.sleep(self.pause)

    async def _use(self, entry: int) -> None:
        """Send requests over one connection until it ends."""
        process = self.scene.entries[entry].process_id
        sock = await _connect(self.scene.entries[entry].front)
        conn = h11.Connection(h11.CLIENT)
        async with sock:
            for _ in range(self.rng.randint(1, _REQUESTS_PER_CONNECTION)):
                call = self._create_call(entry, process)
                leaves = self.rng.random() < _LEAVING_SHARE
                await _send(sock, conn, call, self._parts(call))
                call.sent = time.time()
                self.record.calls.append(call)
                if leaves:
                    await curio.sleep(self.rng.uniform(0.0, 0.04))
                    call.left = True
                    return
                if not await _hear(sock, conn, call):
                    return
                await curio.sleep(self.rng.expovariate(1 / self.pause))

    def _create_call(self, entry: int, process: int) -> records.Call:
        name = f"c{id(self):x}-{next(self.numbers)}"
        draw = self.rng.random()
        version = max(self.record.tables)
        if draw < 0.15:
            path, repeatable = f"/m{version}/{name}", True
        elif draw < 0.65:
            path, repeatable = f"/vin/{name}", True
        else:
            path, repeatable = f"/book/{name}", False
        timeout = LOOKUP_SECONDS if repeatable else BOOKING_SECONDS
        return records.Call(
            name, path, repeatable, entry, process, 0.0, timeout
        )

    def _parts(self, call: records.Call) -> tuple[list[bytes], bool]:
        """Return the body's parts, and whether it is sent chunked."""
        if call.repeatable:
            return [], False
        size = self.rng.randint(1, _LONGEST_BODY)
        half = self.rng.randrange(size)
        parts = [part for part in (b"x" * half, b"y" * (size - half)) if part]
        return parts, self.rng.random() < _CHUNKED_SHARE


async def _connect(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        async with curio.timeout_after(1.0):
            return await curio.open_connection(host, int(port))
    except curio.TaskTimeout:
        raise TimeoutError(address) from None


async def _send(
    sock: Any,
    conn: h11.Connection,
    call: records.Call,
    body: tuple[list[bytes], bool],
) -> None:
    parts, chunked = body
    headers = [
        ("Host", HOST),
        ("X-Request-Id", call.id),
        ("X-Deadline-Ms", "3000"),
    ]
    if chunked:
        headers.append(("Transfer-Encoding", "chunked"))
    else:
        headers.append(("Content-Length", str(sum(map(len, parts)))))
    method = "GET" if call.repeatable else "POST"
    head = h11.Request(method=method, target=call.path, headers=headers)
    await sock.sendall(conn.send(head))
    for part in parts:
        await sock.sendall(conn.send(h11.Data(data=part)))
    await sock.sendall(conn.send(h11.EndOfMessage()) or b"")


async def _hear(sock: Any, conn: h11.Connection, call: records.Call) -> bool:
    """Wait for the word on a call; return whether another may follow."""
    try:
        async with curio.timeout_after(_PATIENCE_SECONDS):
            await _read(sock, conn, call)
    except curio.TaskTimeout:
        return False
    except (OSError, h11.RemoteProtocolError, _GoneError):
        call.ended = time.time()
        return False
    call.ended = time.time()
    if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
        return False
    conn.start_next_cycle()
    return True


async def _read(sock: Any, conn: h11.Connection, call: records.Call) -> None:
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
            raise _GoneError(call.id)
    headers = dict(head.headers)
    call.status = head.status_code
    call.retry_after = b"retry-after" in headers
    if call.status == 200:
        call.own = _is_own(call, headers, body)


def _is_own(
    call: records.Call, headers: dict[bytes, bytes], body: bytes
) -> bool:
    signature = headers.get(b"x-response-signature", b"").decode()
    if signature != member.signature_of(call.id, body):
        return False
    return bool(json.loads(body)["id"] == call.id)
