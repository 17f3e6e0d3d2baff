"""Targets that are at work before they have read a request to its end.

Guards against incident LOST. They need real time, since the kernel gives up
connections by its own clock.
"""

import curio
import pytest
from tests.daemon import test_late_requests
from tests.daemon import test_routes

BODY = b"x" * 300_000
HEAD = (
    b"POST %b HTTP/1.1\r\nHost: recall.example\r\nX-Request-Id: r1\r\n"
    b"X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n"
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\nok" % test_routes.VALID


async def read_late(sock, seconds):
    """Read a request with a pause behind its head, and answer it."""
    received = await sock.recv(1024)
    await curio.sleep(seconds)
    while len(received) < len(BODY):
        data = await sock.recv(65536)
        if not data:
            return
        received += data
    await sock.sendall(ANSWER)


async def send(path, seconds):
    """Return the status for a request whose target reads its body late."""
    rig = await test_routes.create_entry(
        [test_routes.responding(b"")], test_late_requests.create_table()
    )
    has_ended = curio.Event()

    async def serve(sock, _number):
        async with sock:
            await read_late(sock, seconds)
        await has_ended.set()

    rig.target[0]._serve = serve
    caller = await rig.caller()
    sender = await curio.spawn(caller.send, HEAD % (path, len(BODY)) + BODY)
    (response,) = await caller.read_responses()
    await sender.join()
    await has_ended.wait()
    await caller.sock.close()
    return response.status


@pytest.mark.parametrize("path", [b"/book/1", b"/vin/1"])
@pytest.mark.parametrize("seconds", [0.5, 1.5, 2.5])
def test_request_whose_body_is_read_late_is_not_broken_off(seconds, path):
    # Its route and its caller leave it 8 s.
    statuses = []

    async def run():
        async with curio.timeout_after(10):
            statuses.append(await send(path, seconds))

    with curio.Kernel() as kernel:
        kernel.run(run)
    assert statuses == [200]
