"""A target's stand-in, a process of its own."""

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
    """What the control address changes.

    Attributes:
        slots: How many requests run at once.
        queue: How many requests wait for a slot at most.
        service_ms: How long a request runs.
        cold_ms: For how long after the start requests run five times longer.
        drain_ms: For how long after SIGTERM new requests are still taken.
        draining: Says so in each answer and in ``/health``.
        reject_all: Sheds each request.
        slow_factor: Requests run longer by this factor.
        load_lag_ms: How old the load is that ``/load`` tells.
        load_lie: The factor by which ``/load`` is wrong.
        silent: Connections open when it is set are not read or answered.
        crash_mark: A request with this ``Crash-Mark`` ends the process.
        refusal_mark: The header that a request not run is answered with.
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
class _Ticket:
    event: curio.Event = dataclasses.field(default_factory=curio.Event)
    granted: bool = False


class Target:
    """Slots, a queue before them, and the ledger of what ran."""

    def __init__(self, name: str, options: TargetOptions) -> None:
        self.options = options
        self.server = http.Server(self.handle)
        self._name = name
        self._started = time.monotonic()
        self._in_flight = 0
        self._queue: collections.deque[_Ticket] = collections.deque()
        self._ledger: list[_Run] = []
        self._latency_ms = 0.0
        self._past: collections.deque[_Load] = collections.deque()

    async def run(self, port: int) -> None:
        """Serves until SIGTERM, then drains."""
        await self.server.start(port)
        await self.server.until_terminated()
        self.options.draining = True
        await curio.sleep(self.options.drain_ms / 1000)
        await self.server.stop()
        while self._in_flight:
            await curio.sleep(0.01)

    async def handle(self, request: http.Request) -> http.Answer:
        """Answers one request."""
        answer = await self._route(request)
        headers = {**answer.headers, "Target-Load": self._load_text()}
        if self.options.draining:
            headers["Target-State"] = "draining"
        return dataclasses.replace(answer, headers=headers)

    async def _route(self, request: http.Request) -> http.Answer:
        match request.path:
            case "/load":
                return self._answer_load()
            case "/health":
                return http.Answer(503 if self.options.draining else 200)
            case "/control":
                return await self._control(request)
            case "/control/ledger":
                return self._answer_ledger(request)
        return await self._work(request)

    async def _work(self, request: http.Request) -> http.Answer:
        arrived = time.monotonic()
        headers = request.headers
        try:
            timeout_ms = float(headers.get("request-timeout-ms", "inf"))
            size = _whole(headers.get("answer-bytes"))
            break_after = _whole(headers.get("answer-break"))
        except ValueError as error:
            return http.error_answer(400, str(error))
        if self.options.reject_all:
            return self._refuse(503, "shedding all")
        if not timeout_ms > 0:
            return self._refuse(504, "expired on arrival")
        refused = await self._enter(request, timeout_ms / 1000)
        if refused is not None:
            return refused
        try:
            number, key = await self._serve(request)
        finally:
            self._in_flight -= 1
            await self._grant()
        took_ms = (time.monotonic() - arrived) * 1000
        self._latency_ms += (took_ms - self._latency_ms) * _LATENCY_WEIGHT
        body = json.dumps(
            {
                "target": self._name,
                "path": request.path,
                "run": number,
                "key": key,
                "echo": len(request.body),
            }
        ).encode()
        if size is not None:
            body = body[:size].ljust(size)
        return http.Answer(
            200,
            body,
            {"Content-Type": "application/json"},
            chunked=headers.get("answer-chunked") == "1",
            break_after=break_after,
        )

    async def _enter(
        self, request: http.Request, timeout_s: float
    ) -> http.Answer | None:
        """Takes a slot, or returns why the request does not run."""
        if self._in_flight < self.options.slots and not self._queue:
            self._in_flight += 1
            self._record()
            return None
        if len(self._queue) >= self.options.queue:
            return self._refuse(503, "the queue is full")
        ticket = _Ticket()
        self._queue.append(ticket)
        self._record()
        seconds = timeout_s if timeout_s < 1e9 else None
        await request.wait(ticket.event, seconds)
        if ticket.granted:
            if not request.connection_closed:
                return None
            # Granted and closed at once: it has not begun.
            self._in_flight -= 1
            await self._grant()
        else:
            self._queue.remove(ticket)
            self._record()
        if request.connection_closed:
            return http.Answer(lost=True)
        return self._refuse(504, "expired in the queue")

    async def _grant(self) -> None:
        while self._queue and self._in_flight < self.options.slots:
            ticket = self._queue.popleft()
            ticket.granted = True
            self._in_flight += 1
            await ticket.event.set()
        self._record()

    async def _serve(self, request: http.Request) -> tuple[int, str | None]:
        key = request.headers.get("idempotency-key")
        run = _Run(key, request.path, time.time())
        self._ledger.append(run)
        number = len(self._ledger)
        seconds = self.options.service_ms * self.options.slow_factor / 1000
        if time.monotonic() - self._started < self.options.cold_ms / 1000:
            seconds *= _COLD_FACTOR
        mark = self.options.crash_mark
        if mark and request.headers.get("crash-mark") == mark:
            await curio.sleep(seconds / 2)
            os._exit(_CRASH_STATUS)
        if seconds > 0:
            await curio.sleep(seconds)
        run.finished = time.time()
        return number, key

    def _refuse(self, status: int, why: str) -> http.Answer:
        name, _, value = self.options.refusal_mark.partition(":")
        headers = {name.strip(): value.strip()} if name.strip() else {}
        return http.json_answer({"error": why}, status, headers)

    def _load(self) -> _Load:
        return _Load(
            time.monotonic(),
            self._in_flight,
            len(self._queue),
            self.options.slots,
            self._latency_ms,
        )

    def _record(self) -> None:
        lag_s = self.options.load_lag_ms / 1000
        if not lag_s:
            self._past.clear()
            return
        load = self._load()
        self._past.append(load)
        while len(self._past) > 1 and self._past[1].at <= load.at - lag_s:
            self._past.popleft()

    def _load_text(self) -> str:
        load = self._load()
        return (
            f"in-flight={load.in_flight}, queued={load.queued},"
            f" slots={load.slots}"
        )

    def _answer_load(self) -> http.Answer:
        load = self._load()
        by = load.at - self.options.load_lag_ms / 1000
        shown = next((p for p in reversed(self._past) if p.at <= by), None)
        if self.options.load_lag_ms and shown is None and self._past:
            shown = self._past[0]
        shown = shown or load
        lie = self.options.load_lie
        return http.json_answer(
            {
                "in_flight": round(shown.in_flight * lie),
                "queued": round(shown.queued * lie),
                "slots": shown.slots,
                "latency_ms": round(shown.latency_ms * lie, 3),
                "age_ms": round(self.options.load_lag_ms),
            }
        )

    def _answer_ledger(self, request: http.Request) -> http.Answer:
        key = request.query.get("key")
        return http.json_answer(
            [
                dataclasses.asdict(run)
                for run in self._ledger
                if key is None or run.key == key
            ]
        )

    async def _control(self, request: http.Request) -> http.Answer:
        silent = self.options.silent
        answer = options_lib.control(self.options, request)
        if self.options.silent and not silent:
            self.server.freeze(but=request.connection)
        elif silent and not self.options.silent:
            self.server.thaw()
        await self._grant()
        return answer


def _whole(text: str | None) -> int | None:
    if text is None:
        return None
    number = int(text)
    if number < 0:
        raise ValueError(f"expected 0 or more, not {number}")
    return number


def _options() -> list[click.Option]:
    """Makes a command-line option of each field of the options."""
    made = []
    for field in dataclasses.fields(TargetOptions):
        flag = "--" + field.name.replace("_", "-")
        kind: Any = field.type
        if kind in (int, float):
            kind = click.IntRange(0) if kind is int else click.FloatRange(0)
        made.append(
            click.Option(
                [flag],
                type=kind,
                is_flag=field.type is bool,
                default=field.default,
                show_default=True,
            )
        )
    return made


def _main(port: int, name: str, **values: Any) -> None:
    curio.run(Target(name, TargetOptions(**values)).run, port)


main = click.Command(
    "target",
    callback=_main,
    help="Answers as a target.",
    params=[
        click.Option(["--port"], type=int, default=0),
        click.Option(["--id", "name"], default="target"),
        *_options(),
    ],
)

if __name__ == "__main__":
    main()
