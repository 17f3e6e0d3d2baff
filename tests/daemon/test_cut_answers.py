"""Log lines for answers that don't reach their callers as a whole."""

import curio
import logbook
import pytest
from tests.daemon import conftest
from tests.daemon import test_late_requests
from tests.daemon import test_routes

from agateshelf.daemon import clock

# More than the buffers of a connection and an entry hold.
BODY = b"x" * (24 << 20)


class Lines:
    """Collects log events in place of the structured log."""

    def __init__(self):
        self.events = []

    def write(self, event):
        self.events.append(event)


@pytest.fixture
def entry(virtual_run):
    """Return a function that runs a test on an entry with a large answer."""

    def run(test):
        async def large(_request, _sock):
            return conftest.http_response(BODY, extra=test_routes.VALID)

        async def body():
            rig = await test_routes.create_entry(
                [large], test_late_requests.create_table()
            )
            rig.driver.event_log = Lines()
            caller = await rig.caller()
            late = test_late_requests.Late(0.0, idempotent=True, timeout=8.0)
            await caller.send(late.head() + b"hi")
            await curio.sleep(1.0)
            return await test(rig, caller)

        return virtual_run(body)

    return run


def test_answer_that_its_caller_does_not_take_is_logged(entry):
    async def test(rig, caller):
        await caller.sock.close()
        await curio.sleep(1.0)
        return rig.driver.event_log.events

    (cut,) = [one for one in entry(test) if one.event == "answer.cut"]
    assert cut.request_id == "r1"
    assert dict(cut.details)["status"] == 200


def test_stop_that_cuts_answers_says_so(entry):
    async def test(rig, _caller):
        began = clock.now()
        stopped = await test_late_requests.stop(rig)
        await stopped.join()
        return clock.now() - began

    with logbook.TestHandler() as handler:
        seconds = entry(test)
    assert seconds <= test_late_requests.GRACE_SECONDS
    assert any("in flight." in line for line in handler.formatted_records[-1:])


@pytest.mark.parametrize("read_at", [5.3, 5.55, 5.7])
def test_answer_is_written_until_the_grace_period_ends(entry, read_at):
    # The target was done long before; its caller takes the answer late.
    async def test(rig, caller):
        began = clock.now()
        stopped = await test_late_requests.stop(rig)
        await curio.sleep(began + read_at - clock.now())
        await curio.spawn(caller.read_to_end, daemon=True)
        await stopped.join()
        return rig.driver.exchanges.in_flight.count, clock.now() - began

    in_flight, seconds = entry(test)
    assert in_flight == 0
    assert seconds <= 0.98 * test_late_requests.GRACE_SECONDS


@pytest.mark.parametrize("signal_lag", [0.0, 5.6, 5.9])
def test_stop_ends_in_the_grace_period_though_callers_read_nothing(
    entry, signal_lag
):
    async def test(rig, _caller):
        began = clock.now()
        stopped = await test_late_requests.stop(rig, signal_lag)
        await stopped.join()
        return clock.now() - began

    assert entry(test) <= test_late_requests.GRACE_SECONDS
