"""Stand-in for a target of the platform, run as a process of its own.

It registers itself in the store, reports its load in the platform's headers and
signs its responses. Its ledger of runs is a file, so that it outlives a crash.
"""

import dataclasses
import hashlib
import json
import os
import pathlib
import time
from typing import Any

import click
import curio
import msgspec

from agateshelf.platform import const
from agateshelf_standins import http
from agateshelf_standins import options as options_lib
from agateshelf_standins import system
from agateshelf_standins import target

_HEARTBEAT_SECONDS = 0.5
_SIGNATURE_SALT = b"member"


@dataclasses.dataclass(frozen=True)
class MemberConfig:
    """Identity of a member and the addresses and files it uses.

    Attributes:
        name: Target identifier.
        service: Service that it belongs to.
        failure_domain: Failure domain that it registers.
        store: `HOST:PORT` of the store.
        advertised: `HOST:PORT` that it registers; empty for the one it listens
            on.
        ledger: File to which a JSON line is appended for each event.
    """

    name: str
    service: str
    failure_domain: str
    store: str
    advertised: str
    ledger: pathlib.Path


def signature_of(request_id: str, body: bytes) -> str:
    """Return the signature of a response body for a request."""
    digest = hashlib.sha256(_SIGNATURE_SALT + request_id.encode() + body)
    return digest.hexdigest()[:32]


class Member(target.Target):
    """A target that registers itself in the store.

    Its `crash_mark` is looked for in the path of a request, and its `load_lie`
    applies to the speed figure alone.

    Attributes:
        config: Its identity, addresses and files.
        born: Unix time of its start in milliseconds, which tells its processes
            apart.
        address: `HOST:PORT` that it registers.
        sequence: Number of the last heartbeat.
    """

    def __init__(
        self, config: MemberConfig, options: target.TargetOptions
    ) -> None:
        super().__init__(config.name, options)
        self.config = config
        self.born = int(time.time() * 1000)
        self.address = config.advertised
        self.sequence = 0

    async def run(self, port: int) -> None:
        """Serve until SIGTERM, then announce draining, drain and deregister."""
        self._append_to_ledger(kind="started")
        await self.server.start(port)
        self.address = self.address or self.server.address
        await curio.spawn(self._send_heartbeats, daemon=True)
        await self.server.wait_for_termination()
        self.options.draining = True
        await self._write_registration("draining")
        async with curio.ignore_after(self.options.drain_ms / 1000):
            await self._repeat_draining()
        await self._write_registration(None)
        await self.server.stop()
        while self._in_flight:
            await curio.sleep(0.01)

    async def _send_heartbeats(self) -> None:
        while not self.options.draining:
            self.sequence += 1
            await self._write_registration("ready")
            await curio.sleep(_HEARTBEAT_SECONDS)

    async def _repeat_draining(self) -> None:
        while True:
            await curio.sleep(_HEARTBEAT_SECONDS)
            self.sequence += 1
            await self._write_registration("draining")

    async def _write_registration(self, state: str | None) -> None:
        """Write the registration, or delete it if `state` is None.

        The ledger records a write that failed, and each successful write of a
        state other than `ready`.
        """
        if not self.options.registers:
            return
        value = None
        if state is not None:
            value = json.dumps(
                {
                    "service": self.config.service,
                    "address": self.address,
                    "zone": self.config.failure_domain,
                    "version": "v1",
                    "slots": self.options.slots,
                    "state": state,
                    "warmup_left": self._cold_ms(),
                    "sequence": self.sequence,
                    "born": self.born,
                }
            ).encode()
        key = const.PREFIX_TARGETS + self.config.name
        try:
            await curio.run_in_thread(
                system.write_key, self.config.store, key, value
            )
        except (OSError, ValueError) as error:
            self._append_to_ledger(kind="unregistered", why=repr(error))
            return
        if state != "ready":
            self._append_to_ledger(kind="left")

    def _append_to_ledger(self, **fields: Any) -> None:
        line = json.dumps({"at": time.time(), "by": self.config.name, **fields})
        file = os.open(self.config.ledger, os.O_WRONLY | os.O_APPEND)
        try:
            os.write(file, line.encode() + b"\n")
        finally:
            os.close(file)

    async def handle(self, request: http.Request) -> http.Response:
        """Handle one request according to the platform's protocol."""
        if request.path == "/control":
            return options_lib.handle_control(self.options, request)
        if request.path == "/health":
            status = 503 if self.options.draining else 200
            headers = self._response_headers(request)
            if cold_ms := self._cold_ms():
                headers["X-Warmup-Ms"] = str(cold_ms)
            return http.Response(status, headers=headers)
        addressed_target = request.headers.get(
            "x-target-instance", self.config.name
        )
        if addressed_target != self.config.name:
            return self._not_run_response(421, request)
        if "x-request-id" not in request.headers:
            return self._not_run_response(400, request)
        return await self._run_request(request)

    async def _run_request(self, request: http.Request) -> http.Response:
        request_id = request.headers["x-request-id"]
        seconds = float(request.headers.get("x-deadline-ms", "1e6")) / 1000
        is_cold = self._cold_ms() > 0
        self._append_to_ledger(kind="arrived", id=request_id, cold=is_cold)
        if self.options.reject_all:
            return self._not_run_response(503, request)
        if self.options.pause:
            return self._pause_response(request)
        rejection = await self._acquire_slot(request, seconds)
        if rejection is not None:
            if rejection.lost:
                return rejection
            return self._not_run_response(503, request)
        self._append_to_ledger(
            kind="run",
            id=request_id,
            path=request.path,
            workspace=request.headers.get("x-tenant-id"),
            has_key="authorization" in request.headers,
        )
        try:
            await self._simulate_work(request)
        finally:
            self._in_flight -= 1
            await self._grant_slots()
        body = json.dumps({"id": request_id, "by": self.config.name}).encode()
        headers = {
            **self._response_headers(request),
            "X-Response-Signature": signature_of(request_id, body),
        }
        return http.Response(200, body, headers)

    def _cold_ms(self) -> int:
        """Return the milliseconds for which it is still cold."""
        return max(0, round((self.options.cold_until - time.time()) * 1000))

    async def _simulate_work(self, request: http.Request) -> None:
        mark = self.options.crash_mark
        if mark and mark in request.path:
            os._exit(1)
        service_ms = self.options.service_ms
        long_mark = self.options.long_mark
        if long_mark and long_mark in request.path:
            service_ms = self.options.long_ms
        await curio.sleep(service_ms * self.options.slow_factor / 1000)

    def _pause_response(self, request: http.Request) -> http.Response:
        pause = self.options.pause
        request_id = request.headers["x-request-id"]
        self._append_to_ledger(kind="paused", id=request_id, seconds=pause)
        response = self._not_run_response(503, request)
        headers = {**response.headers, "Retry-After": pause}
        return dataclasses.replace(response, headers=headers)

    def _response_headers(self, request: http.Request) -> dict[str, str]:
        load = self._current_load()
        slowness = round(
            const.BASELINE_SLOWNESS_PERCENT * self.options.slow_factor
        )
        error_factor = self.options.load_lie
        figures = [
            load.in_flight,
            load.queued,
            load.slots,
            round(slowness * error_factor),
        ]
        headers = {
            "X-Instance-Id": self.config.name,
            "X-Server-Load": ",".join(map(str, figures)),
        }
        if self.options.leaving:
            headers["Server-Leaving"] = "1"
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
            if self.options.named_limit:
                headers["Server-Limit"] = self.options.named_limit
        return headers

    def _not_run_response(
        self, status: int, request: http.Request
    ) -> http.Response:
        headers = {**self._response_headers(request), "X-Not-Executed": "1"}
        return http.Response(status, b"", headers)


def read_ledger(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return the lines of a ledger; an incomplete last line is left out."""
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line) for line in lines]


def write_route_table(store: str, table: dict[str, Any]) -> None:
    """Write a route table as the platform's operator does."""
    system.write_key(store, const.KEY_ROUTES, json.dumps(table).encode())


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--id", "name", required=True)
@click.option("--service", required=True)
@click.option("--domain", required=True, help="Failure domain to register.")
@click.option("--store", required=True, help="HOST:PORT of the store.")
@click.option("--advertised", default="", help="HOST:PORT to register.")
@click.option("--ledger", type=click.Path(path_type=pathlib.Path))
@click.option("--slots", type=int, default=2)
@click.option("--service-ms", type=float, default=20.0)
@click.option("--drain-ms", type=float, default=2000.0)
@click.option("--crash-mark", default="", help="Part of a path that crashes.")
@click.option("--long-mark", default="", help="Part of a path that runs long.")
@click.option("--long-ms", type=float, default=0.0)
def main(
    port: int,
    name: str,
    service: str,
    domain: str,
    store: str,
    advertised: str,
    ledger: pathlib.Path,
    slots: int,
    service_ms: float,
    drain_ms: float,
    crash_mark: str,
    long_mark: str,
    long_ms: float,
) -> None:
    """Run a stand-in for a target that registers itself."""
    ledger.touch()
    config = MemberConfig(name, service, domain, store, advertised, ledger)
    options = target.TargetOptions(
        slots=slots,
        service_ms=service_ms,
        drain_ms=drain_ms,
        crash_mark=crash_mark,
        long_mark=long_mark,
        long_ms=long_ms,
    )
    curio.run(Member(config, options).run, port)


if __name__ == "__main__":
    main()
