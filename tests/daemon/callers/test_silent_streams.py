"""Targets that pause within an answer that is passed on as it arrives.

Guards against incident LOST: a target's silence is no reason to end an answer
before the request's own time.
"""

import curio
import msgspec
import pytest
from tests.daemon import test_late_requests
from tests.daemon import test_routes

from agateshelf.daemon import clock

SIZE = 2 << 20
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n" % (
    SIZE + 2,
    test_routes.VALID,
)


@pytest.mark.parametrize("pause", [0.5, 1.5, 3.0])
def test_pause_of_a_target_does_not_cut_its_answer(virtual_run, pause):
    # Its route and its caller leave it 8 s; clients may be idle for 1 s.
    async def respond(_request, sock):
        await sock.sendall(HEAD + b"x" * SIZE)
        await curio.sleep(pause)
        return b"ok"

    async def body():
        rig = await test_routes.create_entry(
            [respond], test_late_requests.create_table()
        )
        rig.server.limits = msgspec.structs.replace(
            rig.server.limits, idle_seconds=1.0
        )
        caller = await rig.caller()
        late = test_late_requests.Late(0.0, timeout=8.0)
        response = await caller.request(late.head() + b"hi")
        return len(response.body)

    assert virtual_run(body) == SIZE + 2


def test_a_caller_that_leaves_keeps_no_silent_target_at_work(virtual_run):
    # It had the whole time of the request, as nothing is written meanwhile.
    ended = []

    async def respond(_request, sock):
        await sock.sendall(HEAD + b"x" * SIZE)
        await sock.recv(1)
        ended.append(clock.now())

    async def body():
        rig = await test_routes.create_entry(
            [respond], test_late_requests.create_table()
        )
        rig.server.limits = msgspec.structs.replace(
            rig.server.limits, idle_seconds=1.0
        )
        caller = await rig.caller()
        late = test_late_requests.Late(0.0, timeout=8.0)
        await caller.send(late.head() + b"hi")
        left = SIZE
        while left > 0:
            left -= len(await caller.sock.recv(1 << 16))
        began = clock.now()
        await caller.sock.close()
        await curio.sleep(9.0)
        return ended[0] - began

    assert virtual_run(body) <= 1.1
