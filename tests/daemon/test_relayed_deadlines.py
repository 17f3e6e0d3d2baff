"""Relayed requests whose target doesn't answer: when their callers are told.

Guards against incident LOST: nothing but the caller's deadline and the timeout
of the route may end a request that a target is at work on.
"""

import curio
import pytest
from tests.daemon import conftest
from tests.daemon import test_late_requests
from tests.daemon import test_routes

from agateshelf.core.reach import models as reach_models
from agateshelf.core.reach import relays
from agateshelf.daemon import clock
from agateshelf.daemon import listening
from agateshelf.documents import settings


@pytest.fixture
def relayed(virtual_run, monkeypatch):
    """Return a function that sends a booking that needs a relay.

    It returns the status of the response, the seconds until it, and the number
    of runs at the target.
    """

    def run(timeout, work_seconds):
        async def work(_request, _sock):
            await curio.sleep(work_seconds)
            return conftest.http_response(extra=test_routes.VALID)

        async def body():
            table = test_late_requests.create_table()
            relay = await test_routes.create_entry([work], table, is_relay=True)
            listener = listening.create_listener(
                settings.SecureListen(port=0), relay.server.serve, "/relay"
            )
            await listener.start()
            address = listener.address
            monkeypatch.setattr(relays, "choose", lambda *_: "entry-1")
            monkeypatch.setattr(relays, "address_of", lambda *_: address)
            rig = await test_routes.create_entry([work], table)
            state = rig.driver.state
            for service in state.directory.services:
                cut = reach_models.ServiceReach(cut_since=clock.now())
                state.reach.services[service] = cut
            caller = await rig.caller()
            began = clock.now()
            late = test_late_requests.Late(0.0, timeout=timeout)
            response = await caller.request(late.head() + b"hi")
            seconds = clock.now() - began
            return response.status, seconds, len(relay.target[0].requests)

        return virtual_run(body)

    return run


@pytest.mark.parametrize("timeout", [1.0, 2.0, 4.0])
def test_relayed_request_is_not_ended_before_its_deadline(relayed, timeout):
    _, seconds, runs = relayed(timeout, work_seconds=9.0)
    assert runs == 1
    assert seconds >= timeout - 0.0005
