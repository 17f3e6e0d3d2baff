"""Stand-in for a server that registers itself in the store (PROTOCOL.md)."""

import asyncio
import dataclasses
import hashlib
import json

from standins import http
from standins import record
from standins import store as store_lib

HEARTBEAT_SECONDS = 1.5


@dataclasses.dataclass(slots=True)
class Member:
    """A server with slots and a short queue.

    Attributes:
        work_seconds: How long a request takes.
        state: What it registers: `ready` or `draining`.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    store: store_lib.Store
    log: record.Record
    work_seconds: float = 0.05
    slots: int = 4
    queue: int = 8
    state: str = "ready"
    running: int = 0
    waiting: int = 0
    sequence: int = 0
    slot_free: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )
    server: http.Server | None = None
    beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        self.server = http.Server(self.handle)
        await self.server.start(self.host, self.port)
        self.register()
        self.beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    def register(self) -> None:
        """Write the entry of this server."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": 0,
            "sequence": self.sequence,
        }
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def leave(self) -> None:
        """Remove the entry and end."""
        if self.beating is not None:
            self.beating.cancel()
        self.store.delete(f"servers/{self.name}")
        await self.close()

    async def close(self) -> None:
        """End at once."""
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            await self.server.close()

    def _load(self) -> str:
        return f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, request: http.Request) -> http.Response:
        """Answer a request, or a question for the health."""
        headers = {"X-Server-Load": self._load()}
        if request.path == "/health":
            headers["X-Instance-Id"] = self.name
            status = 200 if self.state == "ready" else 503
            return http.Response(status, b"", headers)
        request_id = request.headers.get("x-request-id", "")
        headers["X-Request-Id"] = request_id
        if request.headers.get("x-target-instance", self.name) != self.name:
            headers["X-Instance-Id"] = self.name
            headers["X-Not-Executed"] = "1"
            return http.Response(421, b"", headers)
        if self.running >= self.slots and self.waiting >= self.queue:
            headers["X-Not-Executed"] = "1"
            return http.Response(503, b"", headers)
        self.waiting += 1
        async with self.slot_free:
            await self.slot_free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            return await self.run(request_id)
        finally:
            async with self.slot_free:
                self.running -= 1
                self.slot_free.notify()

    async def run(self, request_id: str) -> http.Response:
        """Run a request and return the signed answer."""
        self.log.add(
            "run", server=self.name, service=self.service, id=request_id
        )
        await asyncio.sleep(self.work_seconds)
        body = json.dumps({"server": self.name, "id": request_id}).encode()
        return http.Response(200, body, self.signed(request_id, body))

    def signed(self, request_id: str, body: bytes) -> dict[str, str]:
        """Return the headers of an answer."""
        digest = hashlib.sha256(request_id.encode() + body).hexdigest()[:16]
        return {
            "X-Request-Id": request_id,
            "X-Response-Signature": digest,
            "X-Server-Load": self._load(),
        }
