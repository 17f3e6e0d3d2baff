"""The platform's store: a stand-in that speaks its protocol (docs/PLATFORM.md).

A process of its own.
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

_TICK_S = 0.01
_PAGE_ITEMS = 500
_LONGEST_WAIT_MS = 30_000
# The platform's own keys, and the header by which its operator and targets
# are told from the product.
_PLATFORM_PREFIXES = ("op/", "servers/")
PLATFORM_HEADER = "platform-writer"


@dataclasses.dataclass
class StoreOptions:
    """What the control address changes.

    Attributes:
        latency_ms: How long each call takes before it has its effect.
        outage: Refuses every call with 503, but for the platform's own.
        silent: Answers no call, but for the platform's own.
        lose_answers: How many changes to come lose their answer.
        stale_reads: Reads of a key and of a range answer as of the moment
            this was set, if they allow it.
        forgotten: Revision up to which no history is known any more.
    """

    latency_ms: float = 1
    outage: bool = False
    silent: bool = False
    lose_answers: int = 0
    stale_reads: bool = False
    forgotten: int = 0


@dataclasses.dataclass(eq=False)
class _Watcher:
    prefix: str
    after: int
    event: curio.Event = dataclasses.field(default_factory=curio.Event)


class Store:
    """Answers the protocol's requests from a KeyValueStore."""

    def __init__(self, options: StoreOptions) -> None:
        self.options = options
        self._state = keyvalue.KeyValueStore()
        self._stale = self._state.snapshot() if options.stale_reads else None
        self._watchers: set[_Watcher] = set()
        self._woken_at = 0
        self._calls: collections.Counter[str] = collections.Counter()

    async def run(self, port: int) -> None:
        """Serves until SIGTERM."""
        await curio.spawn(self._tick, daemon=True)
        await http.serve_until_terminated(self.handle, port)

    async def handle(self, request: http.Request) -> http.Answer:
        """Answers one request."""
        if request.path == "/control":
            return await self._control(request)
        if request.path == "/control/calls":
            return http.json_answer(dict(self._calls))
        kind, call = self._route(request)
        if call is None:
            return http.error_answer(404, f"no {request.method} {request.path}")
        self._calls[kind] += 1
        if self.options.latency_ms:
            await curio.sleep(self.options.latency_ms / 1000)
        refused = await self._refuse(request)
        if refused is not None:
            return refused
        answer = await self._answer(call, request)
        await self._wake()
        if self._loses_answer(request, answer):
            return http.Answer(lost=True)
        return answer

    async def _refuse(self, request: http.Request) -> http.Answer | None:
        if PLATFORM_HEADER in request.headers:
            return None
        if self.options.outage:
            return http.error_answer(503, "out of service")
        while self.options.silent:
            if request.connection_closed:
                return http.Answer(lost=True)
            await request.wait(curio.Event(), _TICK_S)
        return None

    def _loses_answer(self, request: http.Request, answer: http.Answer) -> bool:
        if request.method == "GET" or answer.status != 200:
            return False
        if self.options.lose_answers <= 0 or PLATFORM_HEADER in request.headers:
            return False
        self.options.lose_answers -= 1
        return True

    def _route(
        self, request: http.Request
    ) -> tuple[str, Callable[[http.Request], Awaitable[http.Answer]] | None]:
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
                return "end", self._end
        return "", None

    async def _answer(
        self,
        call: Callable[[http.Request], Awaitable[http.Answer]],
        request: http.Request,
    ) -> http.Answer:
        try:
            return await call(request)
        except documents.BadRequestError as error:
            return http.error_answer(400, str(error))
        except keyvalue.ValueTooLargeError as error:
            return http.error_answer(413, str(error))
        except keyvalue.KeyValueError as error:
            return http.error_answer(404, repr(error))

    async def _get(self, request: http.Request) -> http.Answer:
        key = request.query.get("key", "")
        state = self._readable(request)
        entry = state.get(key, now=time.monotonic())
        if entry is None:
            return http.error_answer(404, f"no key {key!r}")
        item = documents.item_of(entry)
        return http.json_answer({**item, "current_rev": state.revision})

    async def _range(self, request: http.Request) -> http.Answer:
        state = self._readable(request)
        entries, more = state.range(
            request.query.get("prefix", ""),
            after=request.query.get("after", ""),
            limit=_PAGE_ITEMS,
            now=time.monotonic(),
        )
        return http.json_answer(
            {
                "items": [documents.item_of(entry) for entry in entries],
                "has_more": more,
                "current_rev": state.revision,
            }
        )

    async def _watch(self, request: http.Request) -> http.Answer:
        query = request.query
        after = documents.number(query.get("after", ""), "after")
        wait_ms = documents.number(query.get("wait_ms", "0"), "wait_ms")
        if wait_ms > _LONGEST_WAIT_MS:
            raise documents.BadRequestError(
                f"wait_ms: above {_LONGEST_WAIT_MS}"
            )
        if after < self.options.forgotten:
            return http.error_answer(410, "this history is gone")
        watcher = _Watcher(query.get("prefix", ""), after)
        if not self._changes(watcher):
            self._watchers.add(watcher)
            try:
                await request.wait(watcher.event, wait_ms / 1000)
            finally:
                self._watchers.discard(watcher)
        refused = await self._refuse(request)
        if refused is not None:
            return refused
        if after < self.options.forgotten:
            return http.error_answer(410, "this history is gone")
        events = [self._event(*change) for change in self._changes(watcher)]
        return http.json_answer(
            {"events": events, "current_rev": self._state.revision}
        )

    def _event(self, key: str, revision: int) -> dict[str, Any]:
        entry = self._state.get(key, now=time.monotonic())
        if entry is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return documents.item_of(entry)

    async def _change(self, request: http.Request) -> http.Answer:
        change = documents.read_change(request.body)
        if PLATFORM_HEADER not in request.headers:
            for key in change.touched():
                if key.startswith(_PLATFORM_PREFIXES):
                    return http.error_answer(403, f"{key!r} is the platform's")
        now = time.monotonic()
        for key, version in change.precondition.items():
            entry = self._state.get(key, now=now)
            if version != (0 if entry is None else entry.version):
                return self._unmet(change)
        revision = self._state.commit(change.writes, change.deletes, now=now)
        return http.json_answer({"revision": revision})

    def _unmet(self, change: documents.Change) -> http.Answer:
        now = time.monotonic()
        found = [self._state.get(key, now=now) for key in change.precondition]
        items = [documents.item_of(entry) for entry in found if entry]
        return http.json_answer({"items": items}, 412)

    async def _grant(self, request: http.Request) -> http.Answer:
        ttl_ms = documents.read_ttl(request.body)
        lease = self._state.grant(ttl_s=ttl_ms / 1000, now=time.monotonic())
        return http.json_answer({"lease": int(lease), "ttl_time": ttl_ms})

    async def _renew(self, request: http.Request) -> http.Answer:
        lease = request.path.split("/")[2]
        ttl_s = self._state.renew(lease, now=time.monotonic())
        return http.json_answer({"ttl_time": round(ttl_s * 1000)})

    async def _end(self, request: http.Request) -> http.Answer:
        self._state.revoke(request.path.split("/")[2], now=time.monotonic())
        return http.Answer()

    async def _control(self, request: http.Request) -> http.Answer:
        answer = options_lib.control(self.options, request)
        if not self.options.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._state.snapshot()
        if self.options.outage or self.options.forgotten:
            for watcher in list(self._watchers):
                await watcher.event.set()
        return answer

    def _readable(self, request: http.Request) -> keyvalue.KeyValueStore:
        if self._stale is None or "serializable" not in request.query:
            return self._state
        return self._stale

    def _changes(self, watcher: _Watcher) -> list[tuple[str, int]]:
        return self._state.changes(
            watcher.prefix, after=watcher.after, now=time.monotonic()
        )

    async def _tick(self) -> None:
        while True:
            await curio.sleep(_TICK_S)
            self._state.expire(now=time.monotonic())
            await self._wake()

    async def _wake(self) -> None:
        if self._state.revision == self._woken_at:
            return
        self._woken_at = self._state.revision
        for watcher in list(self._watchers):
            if self._changes(watcher):
                await watcher.event.set()


@click.command()
@click.option("--port", default=0, help="0 picks a free port.")
@click.option("--latency-ms", type=click.FloatRange(0), default=1.0)
@click.option("--outage", is_flag=True)
@click.option("--lose-answers", type=click.IntRange(0), default=0)
def main(
    port: int,
    latency_ms: float,
    outage: bool,
    lose_answers: int,
) -> None:
    """Answers as the platform's store."""
    options = StoreOptions(
        latency_ms=latency_ms, outage=outage, lose_answers=lose_answers
    )
    curio.run(Store(options).run, port)


if __name__ == "__main__":
    main()
