"""Stand-in for a target, run as a process of its own.

It simulates service time, concurrency and overload, reports its load, and keeps
a ledger of the requests that it ran.
"""

import collections
import dataclasses
import json
import os
import time
from typing import Any

import click
import curio

from agateshelf_standins import http
from agateshelf_standins import options as options_lib

_COLD_FACTOR = 5
_LATENCY_WEIGHT = 0.1
_CRASH_STATUS = 1


@dataclasses.dataclass
class TargetOptions:
    """Options that `/control` changes.

    Attributes:
        slots: Maximum number of requests that run at once.
        queue: Maximum number of requests that wait for a slot.
        service_ms: Service time of a request in milliseconds.
        cold_ms: Milliseconds after the start during which the service time is
            five times as long.
        drain_ms: Milliseconds after SIGTERM during which new requests are still
            accepted.
        draining: Whether responses carry `Target-State: draining` and `/health`
            answers 503.
        reject_all: Whether every request is shed.
        slow_factor: Factor applied to the service time.
        load_lag_ms: Age of the load that `/load` reports, in milliseconds.
        load_lie: Factor by which the load that `/load` reports is wrong.
        silent: Whether the connections that were open when it was set, except
            the one that set it, get no responses.
        crash_mark: Value of the `Crash-Mark` header of a request that ends the
            process; empty for none.
        named_limit: Value of the `Server-Limit` header of a member's responses;
            empty for no header.
        leaving: Whether a member's responses carry `Server-Leaving: 1`.
        pause: Value of the `Retry-After` header with which a member turns every
            request away; empty to serve them.
        cold_until: Unix time until which a member is cold, which it says in
            answers to health checks and in its registration.
        registers: Whether a member writes its registration.
        long_mark: Part of the path of a request that a member runs for
            `long_ms`; empty for none.
        long_ms: Service time of such a request in milliseconds.
        refusal_mark: Header, as `Name: value`, of the response to a request
            that did not run; empty for none.
    """

    slots: int = 2
    queue: int = 8
    service_ms: float = 5
    cold_ms: float = 0
    drain_ms: float = 0
    draining: bool = False
    reject_all: bool = False
    slow_factor: float = 1
    load_lag_ms: float = 0
    load_lie: float = 1
    silent: bool = False
    crash_mark: str = ""
    named_limit: str = ""
    leaving: bool = False
    pause: str = ""
    cold_until: float = 0
    registers: bool = True
    long_mark: str = ""
    long_ms: float = 0
    refusal_mark: str = ""


@dataclasses.dataclass(frozen=True)
class _Load:
    at: float
    in_flight: int
    queued: int
    slots: int
    latency_ms: float


@dataclasses.dataclass(slots=True)
class _Run:
    key: str | None
    path: str
    began: float
    finished: float | None = None


@dataclasses.dataclass(eq=False)
class _Waiter:
    event: curio.Event = dataclasses.field(default_factory=curio.Event)
    granted: bool = False


class Target:
    """A target with a limited number of slots, a queue and a ledger of runs."""

    def __init__(self, name: str, options: TargetOptions) -> None:
        self.options = options
        self.server = http.Server(self.handle)
        self._name = name
        self._started_at = time.monotonic()
        self._in_flight = 0
        self._queue: collections.deque[_Waiter] = collections.deque()
        self._ledger: list[_Run] = []
        self._latency_ms = 0.0
        self._load_history: collections.deque[_Load] = collections.deque()

    async def run(self, port: int) -> None:
        """Serve until SIGTERM, then drain."""
        await self.server.start(port)
        await self.server.wait_for_termination()
        self.options.draining = True
        await curio.sleep(self.options.drain_ms / 1000)
        await self.server.stop()
        while self._in_flight:
            await curio.sleep(0.01)

    async def handle(self, request: http.Request) -> http.Response:
        """Handle one request."""
        response = await self._route(request)
        headers = {**response.headers, "Target-Load": self._format_load()}
        if self.options.draining:
            headers["Target-State"] = "draining"
        return dataclasses.replace(response, headers=headers)

    async def _route(self, request: http.Request) -> http.Response:
        match request.path:
            case "/load":
                return self._load_response()
            case "/health":
                return http.Response(503 if self.options.draining else 200)
            case "/control":
                return await self._control(request)
            case "/control/ledger":
                return self._ledger_response(request)
        return await self._process(request)

    async def _process(self, request: http.Request) -> http.Response:
        arrived_at = time.monotonic()
        headers = request.headers
        try:
            timeout_ms = float(headers.get("request-timeout-ms", "inf"))
            body_size = _parse_count(headers.get("answer-bytes"))
            break_after = _parse_count(headers.get("answer-break"))
        except ValueError as error:
            return http.error_response(400, str(error))
        if self.options.reject_all:
            return self._reject(503, "rejecting all requests")
        if not timeout_ms > 0:
            return self._reject(504, "deadline passed on arrival")
        rejection = await self._acquire_slot(request, timeout_ms / 1000)
        if rejection is not None:
            return rejection
        try:
            number, key = await self._execute(request)
        finally:
            self._in_flight -= 1
            await self._grant_slots()
        elapsed_ms = (time.monotonic() - arrived_at) * 1000
        self._latency_ms += (elapsed_ms - self._latency_ms) * _LATENCY_WEIGHT
        body = json.dumps(
            {
                "target": self._name,
                "path": request.path,
                "run": number,
                "key": key,
                "echo": len(request.body),
            }
        ).encode()
        if body_size is not None:
            body = body[:body_size].ljust(body_size)
        return http.Response(
            200,
            body,
            {"Content-Type": "application/json"},
            chunked=headers.get("answer-chunked") == "1",
            break_after=break_after,
        )

    async def _acquire_slot(
        self, request: http.Request, timeout_s: float
    ) -> http.Response | None:
        """Wait for a slot; return None, or the rejection if there is none."""
        if self._in_flight < self.options.slots and not self._queue:
            self._in_flight += 1
            self._record_load()
            return None
        if len(self._queue) >= self.options.queue:
            return self._reject(503, "queue is full")
        waiter = _Waiter()
        self._queue.append(waiter)
        self._record_load()
        seconds = timeout_s if timeout_s < 1e9 else None
        await request.wait(waiter.event, seconds)
        if waiter.granted:
            if not request.connection_closed:
                return None
            # The caller disconnected as the slot was granted: the request has
            # not started.
            self._in_flight -= 1
            await self._grant_slots()
        else:
            self._queue.remove(waiter)
            self._record_load()
        if request.connection_closed:
            return http.Response(lost=True)
        return self._reject(504, "deadline passed in the queue")

    async def _grant_slots(self) -> None:
        while self._queue and self._in_flight < self.options.slots:
            waiter = self._queue.popleft()
            waiter.granted = True
            self._in_flight += 1
            await waiter.event.set()
        self._record_load()

    async def _execute(self, request: http.Request) -> tuple[int, str | None]:
        key = request.headers.get("idempotency-key")
        run = _Run(key, request.path, time.time())
        self._ledger.append(run)
        number = len(self._ledger)
        seconds = self.options.service_ms * self.options.slow_factor / 1000
        if time.monotonic() - self._started_at < self.options.cold_ms / 1000:
            seconds *= _COLD_FACTOR
        mark = self.options.crash_mark
        if mark and request.headers.get("crash-mark") == mark:
            await curio.sleep(seconds / 2)
            os._exit(_CRASH_STATUS)
        if seconds > 0:
            await curio.sleep(seconds)
        run.finished = time.time()
        return number, key

    def _reject(self, status: int, reason: str) -> http.Response:
        name, _, value = self.options.refusal_mark.partition(":")
        headers = {name.strip(): value.strip()} if name.strip() else {}
        return http.json_response({"error": reason}, status, headers)

    def _current_load(self) -> _Load:
        return _Load(
            time.monotonic(),
            self._in_flight,
            len(self._queue),
            self.options.slots,
            self._latency_ms,
        )

    def _record_load(self) -> None:
        lag_s = self.options.load_lag_ms / 1000
        if not lag_s:
            self._load_history.clear()
            return
        load = self._current_load()
        self._load_history.append(load)
        while (
            len(self._load_history) > 1
            and self._load_history[1].at <= load.at - lag_s
        ):
            self._load_history.popleft()

    def _format_load(self) -> str:
        load = self._current_load()
        return (
            f"in-flight={load.in_flight}, queued={load.queued},"
            f" slots={load.slots}"
        )

    def _load_response(self) -> http.Response:
        load = self._current_load()
        measured_until = load.at - self.options.load_lag_ms / 1000
        reported = next(
            (p for p in reversed(self._load_history) if p.at <= measured_until),
            None,
        )
        if self.options.load_lag_ms and reported is None and self._load_history:
            reported = self._load_history[0]
        reported = reported or load
        error_factor = self.options.load_lie
        return http.json_response(
            {
                "in_flight": round(reported.in_flight * error_factor),
                "queued": round(reported.queued * error_factor),
                "slots": reported.slots,
                "latency_ms": round(reported.latency_ms * error_factor, 3),
                "age_ms": round(self.options.load_lag_ms),
            }
        )

    def _ledger_response(self, request: http.Request) -> http.Response:
        key = request.query.get("key")
        return http.json_response(
            [
                dataclasses.asdict(run)
                for run in self._ledger
                if key is None or run.key == key
            ]
        )

    async def _control(self, request: http.Request) -> http.Response:
        was_silent = self.options.silent
        response = options_lib.handle_control(self.options, request)
        if self.options.silent and not was_silent:
            self.server.pause(exempt=request.connection)
        elif was_silent and not self.options.silent:
            self.server.resume()
        await self._grant_slots()
        return response


def _parse_count(text: str | None) -> int | None:
    if text is None:
        return None
    number = int(text)
    if number < 0:
        raise ValueError(f"must be at least 0, not {number}")
    return number


def _command_line_options() -> list[click.Option]:
    """Return a command-line option for each field of `TargetOptions`."""
    result = []
    for field in dataclasses.fields(TargetOptions):
        flag = "--" + field.name.replace("_", "-")
        kind: Any = field.type
        if kind in (int, float):
            kind = click.IntRange(0) if kind is int else click.FloatRange(0)
        result.append(
            click.Option(
                [flag],
                type=kind,
                is_flag=field.type is bool,
                default=field.default,
                show_default=True,
            )
        )
    return result


def _main(port: int, name: str, **values: Any) -> None:
    curio.run(Target(name, TargetOptions(**values)).run, port)


main = click.Command(
    "target",
    callback=_main,
    help="Run a stand-in for a target.",
    params=[
        click.Option(["--port"], type=int, default=0),
        click.Option(["--id", "name"], default="target"),
        *_command_line_options(),
    ],
)

if __name__ == "__main__":
    main()
