"""Stand-in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import base64
import dataclasses
import json
import time
from typing import Any

from standins import http

_PAGE_ITEMS = 500
_ANSWER_SECONDS = 0.004


@dataclasses.dataclass(slots=True)
class Item:
    """A stored key."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the time at which it ends."""

    ttl: float
    ends: float


@dataclasses.dataclass(slots=True)
class Store:
    """Linearizable keys with revisions, watches and leases.

    Attributes:
        down: Whether calls of the system get no answer.
        era: Value of `Store-Era`.
    """

    items: dict[str, Item] = dataclasses.field(default_factory=dict)
    history: list[tuple[int, str, bytes | None, int]] = dataclasses.field(
        default_factory=list
    )
    leases: dict[int, Lease] = dataclasses.field(default_factory=dict)
    revision: int = 10
    oldest: int = 10
    era: int = 0
    down: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    server: http.Server | None = None
    calls: dict[str, int] = dataclasses.field(default_factory=dict)

    async def start(self, host: str, port: int) -> None:
        """Serve the system at an address."""
        self.server = http.Server(self.handle)
        await self.server.start(host, port)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the platform does; return its revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append((self.revision, key, value, lease))
        self._notify()
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None, 0))
            self._notify()
        return self.revision

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for number, lease in list(self.leases.items()):
            if lease.ends <= now:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        keys = [k for k, item in self.items.items() if item.lease == number]
        for key in keys:
            self.delete(key)

    async def handle(self, request: http.Request) -> http.Response:
        """Answer a call of the system."""
        await asyncio.sleep(_ANSWER_SECONDS)
        name = request.path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        while self.down:
            await asyncio.sleep(0.05)
            if request.reader.at_eof():
                return http.Response(drop=True)
        self._expire()
        status, body = await self._answer(name, request)
        return http.Response(
            status,
            json.dumps(body).encode(),
            {
                "Content-Type": "application/json",
                "Store-Era": str(self.era),
            },
        )

    async def _answer(
        self, name: str, request: http.Request
    ) -> tuple[int, dict[str, Any]]:
        match request.method, name:
            case "GET", "kv-key":
                return self._get(request.query.get("key", ""))
            case "GET", "kv-range":
                return self._range(request.query)
            case "GET", "kv-watch":
                return await self._watch(request.query)
            case "POST", "kv-txn":
                return self._change(json.loads(request.body))
            case "POST", "kv-lease":
                ttl = json.loads(request.body)["ttl_time"]
                number = len(self.leases) + self.revision * 1000
                ends = time.monotonic() + ttl / 1000
                self.leases[number] = Lease(ttl, ends)
                return 200, {"lease": number, "ttl_time": ttl}
            case "POST", "kv-keep":
                lease = self.leases.get(int(request.path.split("/")[2]))
                if lease is None:
                    return 404, {}
                lease.ends = time.monotonic() + lease.ttl / 1000
                return 200, {"ttl_time": lease.ttl}
            case "DELETE", "kv-lease-end":
                self._end_lease(int(request.path.split("/")[2]))
                return 200, {}
        return 404, {}

    def _get(self, key: str) -> tuple[int, dict[str, Any]]:
        item = self.items.get(key)
        if item is None:
            return 404, {"current_rev": self.revision}
        return 200, {**_encode(key, item), "current_rev": self.revision}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = [_encode(k, self.items[k]) for k in keys[:_PAGE_ITEMS]]
        return 200, {
            "items": page,
            "has_more": len(keys) > _PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            if after < self.oldest or after > self.revision:
                return 410, {}
            events = [
                _encode_event(*change)
                for change in self.history
                if change[0] > after and change[1].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(min(left, 0.25)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, change: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in change.get("precondition", []):
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                rows = change["precondition"]
                found = [
                    _encode(row["key"], self.items[row["key"]])
                    for row in rows
                    if row["key"] in self.items
                ]
                return 412, {"items": found}
        for write in change.get("writes", []):
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in change.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in change.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


def _encode(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created_rev": item.created,
        "lease": item.lease,
    }


def _encode_event(
    revision: int, key: str, value: bytes | None, lease: int
) -> dict[str, Any]:
    if value is None:
        return {"key": key, "revision": revision, "tombstone": True}
    return _encode(key, Item(value, revision, revision, lease))
