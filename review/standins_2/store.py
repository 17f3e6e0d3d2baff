"""Stand-in of the platform's store: keys, ranges, watches and changes."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
import urllib.parse

from standins_2 import http

_PAGE_ITEMS = 500
_ANSWER_SECONDS = 0.004


class Store:
    """The platform's store; leases never end while a script runs."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.address = ""
        self._items: dict[str, tuple[int, bytes]] = {}
        self._log: list[tuple[int, str]] = []
        self._revision = 10
        self._changed = asyncio.Event()

    async def start(self, host: str) -> None:
        """Listen on a free port of an address."""
        server = await asyncio.start_server(
            self._serve, host, 0, limit=http.STREAM_LIMIT
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, key: str, value: Any) -> int:
        """Write a value as JSON; return its revision."""
        return self._write(key, json.dumps(value).encode())

    def _write(self, key: str, value: bytes | None) -> int:
        self._revision += 1
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = (self._revision, value)
        self._log.append((self._revision, key))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._revision

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_rev": revision,
            "lease": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await http.read_head(reader)
                body = await http.read_body(reader, head.headers)
                await asyncio.sleep(_ANSWER_SECONDS)
                url = urllib.parse.urlsplit(head.start[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self._answer(url.path, query, body)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d Answer\r\n"
                    b"Content-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data))
                )
                writer.write(data)
                await writer.drain()
        except (http.BrokenMessageError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        match path.split("/")[1:]:
            case ["kv-range"]:
                return 200, self._range(query)
            case ["kv-key"]:
                if query["key"] not in self._items:
                    return 404, {}
                item = self._item(query["key"])
                return 200, {**item, "current_rev": self._revision}
            case ["kv-watch"]:
                return await self._watch(query)
            case ["kv-txn"]:
                return self._change(json.loads(body))
            case ["kv-lease"]:
                return 200, {**json.loads(body), "lease": 77}
            case _:
                return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get("prefix", ""))
            and key > query.get("after", "")
        )
        return {
            "items": [self._item(key) for key in keys[:_PAGE_ITEMS]],
            "has_more": len(keys) > _PAGE_ITEMS,
            "current_rev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self._revision:
            return 410, {}
        while True:
            found = {
                key: revision
                for revision, key in self._log
                if revision > after and key.startswith(query["prefix"])
            }
            left = end - time.monotonic()
            if found or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        events = [
            self._item(key)
            if key in self._items
            else {"key": key, "revision": revision, "tombstone": True}
            for key, revision in sorted(found.items(), key=lambda pair: pair[1])
        ]
        return 200, {"events": events, "current_rev": self._revision}

    def _change(self, change: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = change.get("precondition", [])
        keys = [row["key"] for row in rows]
        for row in rows:
            if self._items.get(row["key"], (0, b""))[0] != row["revision"]:
                held = [self._item(key) for key in keys if key in self._items]
                return 412, {"items": held}
        for row in change.get("writes", []):
            self._write(row["key"], base64.b64decode(row["value"]))
        for key in change.get("deletes", []):
            self._write(key, None)
        return 200, {"revision": self._revision}
