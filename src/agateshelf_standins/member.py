"""A target's stand-in as Harborline's platform has them.

It registers itself in the store, tells its load in the platform's headers,
signs what it answers and keeps a ledger of its runs in a file, which outlives
the process.
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
class Place:
    """Where a member runs and what it is.

    Attributes:
        name: Its identifier.
        service: Its service.
        failure_domain: Where it runs.
        store: Address of the store.
        advertised: Address that it registers; its own if that is empty.
        ledger: File to which a line is added for each run.
    """

    name: str
    service: str
    failure_domain: str
    store: str
    advertised: str
    ledger: pathlib.Path


def signature_of(request_id: str, body: bytes) -> str:
    """Return what proves that a member answered a request with a body."""
    digest = hashlib.sha256(_SIGNATURE_SALT + request_id.encode() + body)
    return digest.hexdigest()[:32]


class Member(target.Target):
    """A target that registers itself."""

    def __init__(self, place: Place, options: target.TargetOptions) -> None:
        super().__init__(place.name, options)
        self.place = place
        self.born = int(time.time() * 1000)
        self.address = place.advertised
        self.sequence = 0

    async def run(self, port: int) -> None:
        """Serve until SIGTERM; then say so, drain and leave."""
        await self.server.start(port)
        self.address = self.address or self.server.address
        await curio.spawn(self._beat, daemon=True)
        await self.server.until_terminated()
        self.options.draining = True
        await self._write("draining")
        await curio.sleep(self.options.drain_ms / 1000)
        await self._write(None)
        await self.server.stop()
        while self._in_flight:
            await curio.sleep(0.01)

    async def _beat(self) -> None:
        while not self.options.draining:
            self.sequence += 1
            await self._write("ready")
            await curio.sleep(_HEARTBEAT_SECONDS)

    async def _write(self, state: str | None) -> None:
        """Write the registration, or remove it; note when it was taken."""
        value = None
        if state is not None:
            value = json.dumps(
                {
                    "service": self.place.service,
                    "address": self.address,
                    "zone": self.place.failure_domain,
                    "version": "v1",
                    "slots": self.options.slots,
                    "state": state,
                    "warmup_left": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                }
            ).encode()
        key = const.PREFIX_TARGETS + self.place.name
        try:
            await curio.run_in_thread(
                system.write_key, self.place.store, key, value
            )
        except (OSError, ValueError) as error:
            self._note(kind="unregistered", why=repr(error))
            return
        if state != "ready":
            self._note(kind="left")

    def _note(self, **fields: Any) -> None:
        line = json.dumps({"at": time.time(), "by": self.place.name, **fields})
        file = os.open(self.place.ledger, os.O_WRONLY | os.O_APPEND)
        try:
            os.write(file, line.encode() + b"\n")
        finally:
            os.close(file)

    async def handle(self, request: http.Request) -> http.Answer:
        """Answer one request in the platform's terms."""
        if request.path == "/control":
            return options_lib.control(self.options, request)
        if request.path == "/health":
            status = 503 if self.options.draining else 200
            return http.Answer(status, headers=self._headers(request))
        wanted = request.headers.get("x-target-instance", self.place.name)
        if wanted != self.place.name:
            return self._not_run(421, request)
        if "x-request-id" not in request.headers:
            return self._not_run(400, request)
        return await self._run(request)

    async def _run(self, request: http.Request) -> http.Answer:
        request_id = request.headers["x-request-id"]
        seconds = float(request.headers.get("x-deadline-ms", "1e6")) / 1000
        self._note(kind="arrived", id=request_id)
        if self.options.reject_all:
            return self._not_run(503, request)
        refused = await self._enter(request, seconds)
        if refused is not None:
            if refused.lost:
                return refused
            return self._not_run(503, request)
        self._note(kind="run", id=request_id, path=request.path)
        try:
            await self._work_on(request)
        finally:
            self._in_flight -= 1
            await self._grant()
        body = json.dumps({"id": request_id, "by": self.place.name}).encode()
        headers = {
            **self._headers(request),
            "X-Response-Signature": signature_of(request_id, body),
        }
        return http.Answer(200, body, headers)

    async def _work_on(self, request: http.Request) -> None:
        mark = self.options.crash_mark
        if mark and mark in request.path:
            os._exit(1)
        seconds = self.options.service_ms * self.options.slow_factor / 1000
        await curio.sleep(seconds)

    def _headers(self, request: http.Request) -> dict[str, str]:
        load = self._load()
        speed = round(
            const.BASELINE_SLOWNESS_PERCENT * self.options.slow_factor
        )
        lie = self.options.load_lie
        told = [load.in_flight, load.queued, load.slots, round(speed * lie)]
        headers = {
            "X-Instance-Id": self.place.name,
            "X-Server-Load": ",".join(map(str, told)),
        }
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
        return headers

    def _not_run(self, status: int, request: http.Request) -> http.Answer:
        headers = {**self._headers(request), "X-Not-Executed": "1"}
        return http.Answer(status, b"", headers)


def read_ledger(path: pathlib.Path) -> list[dict[str, Any]]:
    """Return what members noted, in order; a cut last line is left out."""
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line) for line in lines]


def write_table(store: str, table: dict[str, Any]) -> None:
    """Write the operator's routes."""
    system.write_key(store, const.KEY_ROUTES, json.dumps(table).encode())


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--id", "name", required=True)
@click.option("--service", required=True)
@click.option("--domain", required=True, help="Its failure domain.")
@click.option("--store", required=True, help="Address of the store.")
@click.option("--advertised", default="", help="Address that it registers.")
@click.option("--ledger", type=click.Path(path_type=pathlib.Path))
@click.option("--slots", type=int, default=2)
@click.option("--service-ms", type=float, default=20.0)
@click.option("--drain-ms", type=float, default=2000.0)
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
) -> None:
    """Answer as a target that registers itself."""
    ledger.touch()
    place = Place(name, service, domain, store, advertised, ledger)
    options = target.TargetOptions(
        slots=slots, service_ms=service_ms, drain_ms=drain_ms
    )
    curio.run(Member(place, options).run, port)


if __name__ == "__main__":
    main()
