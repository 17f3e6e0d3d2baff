"""Stand-in for the platform's store, run as a process of its own.

It serves the store's protocol (docs/PLATFORM.md) and can simulate outages,
lost responses and stale reads.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
from typing import Any

import click
import curio

from agateshelf_standins import http
from agateshelf_standins import keyvalue
from agateshelf_standins import options as options_lib
from agateshelf_standins import storedocuments as documents

_POLL_S = 0.01
_PAGE_SIZE = 500
_MAX_WAIT_MS = 30_000
# Keys that only the platform may write, and the request header that marks its
# operator and its targets; requests without it come from the product.
_PLATFORM_PREFIXES = ("op/", "servers/")
PLATFORM_HEADER = "platform-writer"


@dataclasses.dataclass
class StoreOptions:
    """Options that `/control` changes.

    Attributes:
        latency_ms: Delay in milliseconds before a request takes effect.
        outage: Whether requests are rejected with 503, except the platform's.
        silent: Whether requests are held without a response, except the
            platform's.
        lose_answers: Number of coming changes that take effect without a
            response.
        stale_reads: Whether reads of a key or a range that allow it are served
            from a snapshot taken when this was set.
        forgotten: Revision up to which the history has been compacted; a watch
            from an earlier revision gets 410.
        backups: Number of backups made so far; raising it makes one.
        era: Value of the `Store-Era` header; raising it brings the store back
            from the last backup.
    """

    latency_ms: float = 1
    outage: bool = False
    silent: bool = False
    lose_answers: int = 0
    stale_reads: bool = False
    forgotten: int = 0
    backups: int = 0
    era: int = 0


@dataclasses.dataclass(eq=False)
class _Watcher:
    prefix: str
    after: int
    event: curio.Event = dataclasses.field(default_factory=curio.Event)


class Store:
    """Serves the protocol's requests from a `KeyValueStore`."""

    def __init__(self, options: StoreOptions) -> None:
        self.options = options
        self._state = keyvalue.KeyValueStore()
        self._snapshot = self._state.snapshot() if options.stale_reads else None
        self._backup = self._state.backup()
        self._watchers: set[_Watcher] = set()
        self._notified_revision = 0
        self._call_counts: collections.Counter[str] = collections.Counter()

    async def run(self, port: int) -> None:
        """Serve until SIGTERM."""
        await curio.spawn(self._expire_leases, daemon=True)
        await http.serve_until_terminated(self.handle, port)

    async def handle(self, request: http.Request) -> http.Response:
        """Handle one request."""
        response = await self._handle(request)
        headers = {**response.headers, "Store-Era": str(self.options.era)}
        return dataclasses.replace(response, headers=headers)

    async def _handle(self, request: http.Request) -> http.Response:
        if request.path == "/control":
            return await self._control(request)
        if request.path == "/control/calls":
            return http.json_response(dict(self._call_counts))
        kind, handler = self._route(request)
        if handler is None:
            return http.error_response(
                404, f"not found: {request.method} {request.path}"
            )
        self._call_counts[kind] += 1
        if self.options.latency_ms:
            await curio.sleep(self.options.latency_ms / 1000)
        fault = await self._inject_fault(request)
        if fault is not None:
            return fault
        response = await self._respond(handler, request)
        await self._notify_watchers()
        if self._drops_response(request, response):
            return http.Response(lost=True)
        return response

    async def _inject_fault(
        self, request: http.Request
    ) -> http.Response | None:
        if PLATFORM_HEADER in request.headers:
            return None
        if self.options.outage:
            return http.error_response(503, "simulated outage")
        while self.options.silent:
            if request.connection_closed:
                return http.Response(lost=True)
            await request.wait(curio.Event(), _POLL_S)
        return None

    def _drops_response(
        self, request: http.Request, response: http.Response
    ) -> bool:
        if request.method == "GET" or response.status != 200:
            return False
        if self.options.lose_answers <= 0 or PLATFORM_HEADER in request.headers:
            return False
        self.options.lose_answers -= 1
        return True

    def _route(
        self, request: http.Request
    ) -> tuple[str, Callable[[http.Request], Awaitable[http.Response]] | None]:
        match request.method, request.path.split("/")[1:]:
            case "GET", ["kv-key"]:
                return "get", self._get
            case "GET", ["kv-range"]:
                return "range", self._range
            case "GET", ["kv-watch"]:
                return "watch", self._watch
            case "POST", ["kv-txn"]:
                return "change", self._change
            case "POST", ["kv-lease"]:
                return "lease", self._grant
            case "POST", ["kv-keep", _]:
                return "renew", self._renew
            case "DELETE", ["kv-lease-end", _]:
                return "end", self._revoke
        return "", None

    async def _respond(
        self,
        handler: Callable[[http.Request], Awaitable[http.Response]],
        request: http.Request,
    ) -> http.Response:
        try:
            return await handler(request)
        except documents.BadRequestError as error:
            return http.error_response(400, str(error))
        except keyvalue.ValueTooLargeError as error:
            return http.error_response(413, str(error))
        except keyvalue.KeyValueError as error:
            return http.error_response(404, repr(error))

    async def _get(self, request: http.Request) -> http.Response:
        key = request.query.get("key", "")
        state = self._state_to_read(request)
        key_value = state.get(key, now=time.monotonic())
        if key_value is None:
            return http.error_response(404, f"key {key!r} does not exist")
        item = documents.encode_item(key_value)
        return http.json_response({**item, "current_rev": state.revision})

    async def _range(self, request: http.Request) -> http.Response:
        state = self._state_to_read(request)
        key_values, has_more = state.range(
            request.query.get("prefix", ""),
            after=request.query.get("after", ""),
            limit=_PAGE_SIZE,
            now=time.monotonic(),
        )
        return http.json_response(
            {
                "items": [
                    documents.encode_item(key_value) for key_value in key_values
                ],
                "has_more": has_more,
                "current_rev": state.revision,
            }
        )

    async def _watch(self, request: http.Request) -> http.Response:
        query = request.query
        after = documents.parse_number(query.get("after", ""), "after")
        wait_ms = documents.parse_number(query.get("wait_ms", "0"), "wait_ms")
        if wait_ms > _MAX_WAIT_MS:
            raise documents.BadRequestError(
                f"wait_ms: must be at most {_MAX_WAIT_MS}"
            )
        if self._lacks_history(after):
            return _history_gone()
        watcher = _Watcher(query.get("prefix", ""), after)
        if not self._matching_changes(watcher):
            self._watchers.add(watcher)
            try:
                await request.wait(watcher.event, wait_ms / 1000)
            finally:
                self._watchers.discard(watcher)
        fault = await self._inject_fault(request)
        if fault is not None:
            return fault
        if self._lacks_history(after):
            return _history_gone()
        events = [
            self._encode_event(*change)
            for change in self._matching_changes(watcher)
        ]
        return http.json_response(
            {"events": events, "current_rev": self._state.revision}
        )

    def _lacks_history(self, after: int) -> bool:
        return not self.options.forgotten <= after <= self._state.revision

    def _encode_event(self, key: str, revision: int) -> dict[str, Any]:
        key_value = self._state.get(key, now=time.monotonic())
        if key_value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return documents.encode_item(key_value)

    async def _change(self, request: http.Request) -> http.Response:
        change = documents.decode_change(request.body)
        if PLATFORM_HEADER not in request.headers:
            for key in change.changed_keys():
                if key.startswith(_PLATFORM_PREFIXES):
                    return http.error_response(
                        403, f"only the platform may write {key!r}"
                    )
        now = time.monotonic()
        for key, version in change.precondition.items():
            key_value = self._state.get(key, now=now)
            if version != (0 if key_value is None else key_value.version):
                return self._precondition_failed(change)
        revision = self._state.commit(change.writes, change.deletes, now=now)
        return http.json_response({"revision": revision})

    def _precondition_failed(self, change: documents.Change) -> http.Response:
        now = time.monotonic()
        found = [self._state.get(key, now=now) for key in change.precondition]
        items = [
            documents.encode_item(key_value) for key_value in found if key_value
        ]
        return http.json_response({"items": items}, 412)

    async def _grant(self, request: http.Request) -> http.Response:
        ttl_ms = documents.decode_ttl(request.body)
        lease = self._state.grant(ttl_s=ttl_ms / 1000, now=time.monotonic())
        return http.json_response({"lease": int(lease), "ttl_time": ttl_ms})

    async def _renew(self, request: http.Request) -> http.Response:
        lease = request.path.split("/")[2]
        ttl_s = self._state.renew(lease, now=time.monotonic())
        return http.json_response({"ttl_time": round(ttl_s * 1000)})

    async def _revoke(self, request: http.Request) -> http.Response:
        self._state.revoke(request.path.split("/")[2], now=time.monotonic())
        return http.Response()

    async def _control(self, request: http.Request) -> http.Response:
        backups, era = self.options.backups, self.options.era
        response = options_lib.handle_control(self.options, request)
        if self.options.backups > backups:
            self._backup = self._state.backup()
        if self.options.era > era:
            await self._restore()
        if not self.options.stale_reads:
            self._snapshot = None
        elif self._snapshot is None:
            self._snapshot = self._state.snapshot()
        if self.options.outage or self.options.forgotten:
            for watcher in list(self._watchers):
                await watcher.event.set()
        return response

    async def _restore(self) -> None:
        self._state = self._backup.backup()
        self._notified_revision = self._state.revision
        for watcher in list(self._watchers):
            await watcher.event.set()

    def _state_to_read(self, request: http.Request) -> keyvalue.KeyValueStore:
        if self._snapshot is None or "serializable" not in request.query:
            return self._state
        return self._snapshot

    def _matching_changes(self, watcher: _Watcher) -> list[tuple[str, int]]:
        return self._state.changes(
            watcher.prefix, after=watcher.after, now=time.monotonic()
        )

    async def _expire_leases(self) -> None:
        while True:
            await curio.sleep(_POLL_S)
            self._state.expire(now=time.monotonic())
            await self._notify_watchers()

    async def _notify_watchers(self) -> None:
        if self._state.revision == self._notified_revision:
            return
        self._notified_revision = self._state.revision
        for watcher in list(self._watchers):
            if self._matching_changes(watcher):
                await watcher.event.set()


def _history_gone() -> http.Response:
    return http.error_response(
        410, "history is not available; read the range again"
    )


@click.command()
@click.option(
    "--port", default=0, help="Port to listen on; 0 picks a free one."
)
@click.option("--latency-ms", type=click.FloatRange(0), default=1.0)
@click.option("--outage", is_flag=True)
@click.option("--lose-answers", type=click.IntRange(0), default=0)
def main(
    port: int,
    latency_ms: float,
    outage: bool,
    lose_answers: int,
) -> None:
    """Run a stand-in for the platform's store."""
    options = StoreOptions(
        latency_ms=latency_ms, outage=outage, lose_answers=lose_answers
    )
    curio.run(Store(options).run, port)


if __name__ == "__main__":
    main()
