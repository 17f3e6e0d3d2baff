"""Memory that bodies in many small chunks take while they are read.

Guards against incident LOST: a machine that kept what faulty targets sent ran
out of memory.
"""

import tracemalloc

import pytest
from returns import result
from tests.daemon import conftest
from tests.daemon import test_routes

from agateshelf.daemon import fetching

CHUNKS = 100_000
# Chunks of one byte are no test: such objects are shared.
SIZES = (2, 7)
# What the limits count is the size of the body; some copies of it may exist.
MAX_COPIES = 4
OTHER_BYTES = 256 * 1024


class Peak:
    """Peak of the memory allocated since it was created."""

    def __init__(self):
        tracemalloc.start()
        self.before, _ = tracemalloc.get_traced_memory()

    def stop(self):
        """Return the peak in bytes."""
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return peak - self.before


def small_chunks(size):
    """Return a script that answers with a body in chunks of a size."""

    async def script(_request, sock):
        await sock.sendall(
            b"HTTP/1.1 200 OK\r\n"
            + test_routes.VALID
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        some = b"%x\r\n%b\r\n" % (size, b"x" * size) * 1000
        for _ in range(CHUNKS // 1000):
            await sock.sendall(some)
        return b"0\r\n\r\n"

    return script


@pytest.mark.parametrize("size", SIZES)
def test_an_answer_takes_the_memory_that_is_counted(virtual_run, size):
    async def body():
        rig = await test_routes.create_entry((small_chunks(size),))
        caller = await rig.caller()
        peak = Peak()
        response = await caller.request(test_routes.GET)
        return response, peak.stop()

    response, peak = virtual_run(body)
    assert (response.status, len(response.body)) == (200, CHUNKS * size)
    assert peak <= MAX_COPIES * CHUNKS * size + OTHER_BYTES


@pytest.mark.parametrize("size", SIZES)
def test_an_answer_of_the_store_takes_its_size(virtual_run, size):
    async def body():
        target = conftest.ScriptedTarget(small_chunks(size))
        await target.start()
        peak = Peak()
        fetched = await fetching.fetch(
            target.address, fetching.Request("GET", "/kv-key?key=a"), 30.0
        )
        return fetched, peak.stop()

    fetched, peak = virtual_run(body)
    assert isinstance(fetched, result.Success)
    assert len(fetched.unwrap().body) == CHUNKS * size
    assert peak <= MAX_COPIES * CHUNKS * size + OTHER_BYTES


@pytest.mark.parametrize("size", SIZES)
def test_a_request_takes_the_memory_that_is_counted(virtual_run, size):
    async def body():
        script = test_routes.responding(
            conftest.http_response(extra=test_routes.VALID)
        )
        rig = await test_routes.create_entry((script,))
        caller = await rig.caller()
        some = b"%x\r\n%b\r\n" % (size, b"x" * size) * 1000
        peak = Peak()
        await caller.send(
            b"POST /book/1 HTTP/1.1\r\nHost: recall.example\r\n"
            b"X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(CHUNKS // 1000):
            await caller.send(some)
        measured = peak.stop()
        response = await caller.request(b"0\r\n\r\n")
        (request,) = rig.target[0].requests
        return response, request, measured

    response, request, peak = virtual_run(body)
    assert (response.status, len(request.body)) == (200, CHUNKS * size)
    assert peak <= MAX_COPIES * CHUNKS * size + OTHER_BYTES
