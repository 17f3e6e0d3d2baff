"""Golden files of complete exchanges: each message, each event, each effect.

They guard against an unintended change of what an entry sends, to callers or to
targets, and of the decisions that lead to it.
"""

import dataclasses

import curio
import pytest
from tests.daemon.conftest import create_rig
from tests.daemon.conftest import http_response

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.daemon import driver as daemon_driver

GET = b"GET /recall/1 HTTP/1.1\r\nHost: recall.example\r\n\r\n"
POST = (
    b"POST /bookings/ HTTP/1.1\r\nHost: bookings.example\r\n"
    b"Content-Length: 5\r\n\r\nbay=2"
)
BACKGROUND = (events.Tick, events.ConfigurationRead)


class RecordingDriver(daemon_driver.Driver):
    """A driver that records the events and effects that it handles."""

    async def post(self, event):
        if not isinstance(event, BACKGROUND):
            self.lines.append(f"event   {event}")
        await super().post(event)

    async def _perform(self, effect):
        self.lines.append(f"effect  {effect}")
        await super()._perform(effect)


def create_recording_driver(driver):
    fields = dataclasses.fields(driver)
    values = {field.name: getattr(driver, field.name) for field in fields}
    recorder = RecordingDriver(**values)
    recorder.lines = []
    return recorder


class Session:
    """One recorded connection of a caller."""

    def __init__(self, rig, caller):
        self.rig = rig
        self.caller = caller
        self.lines = rig.driver.lines
        self.lines.clear()

    async def send(self, data):
        self.lines.append(f"caller  sends {data!r}")
        await self.caller.send(data)

    async def read(self, count=1):
        await self.caller.read_responses(count)
        self.lines.append(f"caller  reads {self.caller.received!r}")
        self.caller.received = b""

    def text(self):
        text = "\n".join(self.lines)
        for request in self.rig.target.requests:
            text += f"\ntarget  saw {request.method!r} {request.target!r}"
            text += f" on connection {request.connection}"
            for name, value in request.headers:
                text += f"\n          {name.decode()}: {value.decode()}"
            text += f"\n          {request.body!r}"
        return text.replace(self.rig.target.address, "TARGET")


async def add_second_target(rig):
    (service,) = rig.driver.state.cfg.services.values()
    (target,) = service.targets
    second_target = dataclasses.replace(target, id="t1")
    changed_service = dataclasses.replace(
        service, targets=(target, second_target)
    )
    cfg = models.Configuration(2, {service.name: changed_service})
    await rig.driver.post(events.ConfigurationRead(cfg))


@pytest.fixture
def record(virtual_run):
    def run(script, interact, targets=1):
        async def body():
            rig = await create_rig(script, wrap=create_recording_driver)
            if targets > 1:
                await add_second_target(rig)
            session = Session(rig, await rig.caller())
            await interact(session)
            return session.text()

        return virtual_run(body)

    return run


async def answer_immediately(_request, _sock):
    extra = b"Content-Type: text/plain\r\n"
    extra += b"Target-Load: in-flight=1, queued=0, slots=2\r\n"
    return http_response(b"no open recall", extra=extra)


async def send_one_request(session, data=GET):
    await session.send(data)
    await session.read()


def test_plain_lookup(record, snapshot):
    assert record(answer_immediately, send_one_request) == snapshot


def test_retry(record, snapshot):
    async def fail_first_connection(request, sock):
        if request.connection == 1:
            return None
        return await answer_immediately(request, sock)

    assert (
        record(fail_first_connection, send_one_request, targets=2) == snapshot
    )


def test_refusal(record, snapshot):
    async def close_connection(_request, _sock):
        return None

    async def send_booking(session):
        await send_one_request(session, POST)

    assert record(close_connection, send_booking, targets=2) == snapshot


def test_drain(record, snapshot):
    async def answer_late(request, sock):
        await curio.sleep(0.3)
        return await answer_immediately(request, sock)

    async def stop_during_request(session):
        await session.send(GET)
        await curio.sleep(0.1)
        session.lines.append("entry   is asked to stop")
        await session.rig.driver.post(events.StopRequested())
        await session.rig.server.stop()
        await session.read()
        remaining = await session.caller.read_to_end()
        session.lines.append(f"caller  reads to the end {remaining!r}")

    assert record(answer_late, stop_during_request) == snapshot
