"""The key-value service's stand-in, a process of its own."""

import base64
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time

import click
import curio

from agateshelf_standins import http
from agateshelf_standins import keyvalue
from agateshelf_standins import options as options_lib

_TICK_S = 0.01
_MAX_LIMIT = 1000


@dataclasses.dataclass
class StoreOptions:
    """What the control address changes.

    Attributes:
        latency_ms: How long each call takes before it has its effect.
        outage: Refuses every call with 503.
        lose_answers: How many writes to come lose their answer.
        stale_reads: GET of a key and of a range answer as of the moment this
            was set.
    """

    latency_ms: float = 1
    outage: bool = False
    lose_answers: int = 0
    stale_reads: bool = False


@dataclasses.dataclass(eq=False)
class _Watcher:
    prefix: str
    after: int
    event: curio.Event = dataclasses.field(default_factory=curio.Event)


class _BadRequestError(Exception):
    """A request that breaks the protocol."""


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
        if self.options.outage:
            return http.error_answer(503, "out of service")
        answer = await self._refusing(call, request)
        await self._wake()
        if (
            request.method != "GET"
            and answer.status == 200
            and self.options.lose_answers > 0
        ):
            self.options.lose_answers -= 1
            return http.Answer(lost=True)
        return answer

    def _route(
        self, request: http.Request
    ) -> tuple[str, Callable[[http.Request], Awaitable[http.Answer]] | None]:
        match request.method, request.path.split("/")[1:]:
            case "GET", ["v1", "kv", _, *_]:
                return "get", self._get
            case "PUT", ["v1", "kv", _, *_]:
                return "put", self._put
            case "DELETE", ["v1", "kv", _, *_]:
                return "delete", self._delete
            case "GET", ["v1", "range"]:
                return "range", self._range
            case "GET", ["v1", "watch"]:
                return "watch", self._watch
            case "POST", ["v1", "leases"]:
                return "lease", self._grant
            case "POST", ["v1", "leases", _, "renew"]:
                return "renew", self._renew
            case "DELETE", ["v1", "leases", _]:
                return "revoke", self._revoke
        return "", None

    async def _refusing(
        self,
        call: Callable[[http.Request], Awaitable[http.Answer]],
        request: http.Request,
    ) -> http.Answer:
        try:
            return await call(request)
        except keyvalue.VersionConflictError as error:
            return http.json_answer(
                {"error": str(error)}, 409, {"Version": str(error.version)}
            )
        except keyvalue.ValueTooLargeError as error:
            return http.error_answer(413, str(error))
        except keyvalue.KeyValueError as error:
            return http.error_answer(404, repr(error))
        except _BadRequestError as error:
            return http.error_answer(400, str(error))

    async def _get(self, request: http.Request) -> http.Answer:
        key = _key(request)
        entry = self._readable().get(key, now=time.monotonic())
        if entry is None:
            return http.error_answer(404, f"no key {key!r}")
        return http.Answer(200, entry.value, {"Version": str(entry.version)})

    async def _put(self, request: http.Request) -> http.Answer:
        version = self._state.put(
            _key(request),
            request.body,
            if_version=_if_version(request),
            lease=request.headers.get("lease"),
            now=time.monotonic(),
        )
        return http.Answer(200, headers={"Version": str(version)})

    async def _delete(self, request: http.Request) -> http.Answer:
        version = self._state.delete(
            _key(request), if_version=_if_version(request), now=time.monotonic()
        )
        return http.Answer(200, headers={"Version": str(version)})

    async def _range(self, request: http.Request) -> http.Answer:
        state = self._readable()
        limit = _number(request.query.get("limit", str(_MAX_LIMIT)), "limit")
        entries, more = state.range(
            request.query.get("prefix", ""),
            after=request.query.get("after", ""),
            limit=min(max(limit, 1), _MAX_LIMIT),
            now=time.monotonic(),
        )
        shown = [
            {
                "key": entry.key,
                "version": entry.version,
                "value": base64.b64encode(entry.value).decode("ascii"),
            }
            for entry in entries
        ]
        return http.json_answer(
            {"revision": state.revision, "entries": shown, "more": more}
        )

    async def _watch(self, request: http.Request) -> http.Answer:
        query = request.query
        watcher = _Watcher(
            query.get("prefix", ""), _number(query.get("after", ""), "after")
        )
        timeout_ms = _number(query.get("timeout_ms", "30000"), "timeout_ms")
        changes = self._changes(watcher)
        if not changes:
            self._watchers.add(watcher)
            try:
                await request.wait(watcher.event, timeout_ms / 1000)
            finally:
                self._watchers.discard(watcher)
            changes = self._changes(watcher)
        if self.options.outage:
            return http.error_answer(503, "out of service")
        return http.json_answer(
            {
                "revision": self._state.revision,
                "changes": [
                    {"key": key, "version": version} for key, version in changes
                ],
            }
        )

    async def _grant(self, request: http.Request) -> http.Answer:
        try:
            ttl_ms = json.loads(request.body)["ttl_ms"]
        except (ValueError, KeyError, TypeError) as error:
            raise _BadRequestError('expected {"ttl_ms": T}') from error
        if type(ttl_ms) not in (int, float) or not 0 < ttl_ms < 1e12:
            raise _BadRequestError("ttl_ms: expected a number above 0")
        lease = self._state.grant(ttl_s=ttl_ms / 1000, now=time.monotonic())
        return http.json_answer({"lease": lease})

    async def _renew(self, request: http.Request) -> http.Answer:
        self._state.renew(request.path.split("/")[3], now=time.monotonic())
        return http.Answer()

    async def _revoke(self, request: http.Request) -> http.Answer:
        self._state.revoke(request.path.split("/")[3], now=time.monotonic())
        return http.Answer()

    async def _control(self, request: http.Request) -> http.Answer:
        answer = options_lib.control(self.options, request)
        if not self.options.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._state.snapshot()
        if self.options.outage:
            for watcher in list(self._watchers):
                await watcher.event.set()
        return answer

    def _readable(self) -> keyvalue.KeyValueStore:
        return self._state if self._stale is None else self._stale

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


def _key(request: http.Request) -> str:
    key = request.path.removeprefix("/v1/kv/")
    if not key:
        raise _BadRequestError("the key is empty")
    return key


def _if_version(request: http.Request) -> int:
    return _number(request.headers.get("if-version", ""), "If-Version")


def _number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) < 19):
        raise _BadRequestError(f"{name}: expected a whole number, not {text!r}")
    return int(text)


@click.command()
@click.option("--port", default=0, help="0 picks a free port.")
@click.option("--latency-ms", type=click.FloatRange(0), default=1.0)
@click.option("--outage", is_flag=True)
@click.option("--lose-answers", type=click.IntRange(0), default=0)
@click.option("--stale-reads", is_flag=True)
def main(
    port: int,
    latency_ms: float,
    outage: bool,
    lose_answers: int,
    stale_reads: bool,
) -> None:
    """Answers the platform's key-value service."""
    options = StoreOptions(latency_ms, outage, lose_answers, stale_reads)
    curio.run(Store(options).run, port)


if __name__ == "__main__":
    main()
