"""Fuzz tests of one caller's bytes while other callers use the same entry.

Malformed or split requests must not crash a task, leak memory or connections,
or get an answer of another caller.
"""

import itertools

import curio
import hypothesis
from hypothesis import strategies
import pytest
from tests import conftest as shared
from tests.daemon import conftest
from tests.daemon.conftest import http_response

FRAGMENTS = [
    b"GET /a HTTP/1.1\r\n",
    b"POST /b HTTP/1.1\r\n",
    b"HEAD /c HTTP/1.0\r\n",
    b"Host: h\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Expect: 100-continue\r\n",
    b"X: " + b"y" * 2000 + b"\r\n",
    b" folded\r\n",
    b"\r\n",
    b"\n",
    b"\x00",
    b"hello",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    b"ffffffffffffffff\r\n",
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
    b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
]
FRAGMENT_LISTS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=40)
    ),
    max_size=14,
)
CHUNK_SIZES = strategies.lists(strategies.integers(1, 60), max_size=8)
LIMITS = {
    "header_bytes": 1024,
    "request_body_bytes": 1024,
    "idle_seconds": 3,
    "request_seconds": 2,
}


async def echo_mark(seen, _sock):
    marks = seen.header(b"x-mark")
    return http_response(b"for " + (marks[0] if marks else b"nobody"))


def split(data, chunk_sizes):
    offset = 0
    for size in itertools.chain(chunk_sizes, itertools.repeat(len(data) + 1)):
        if offset >= len(data):
            return
        yield data[offset : offset + size]
        offset += size


async def send_chunks(rig, data, chunk_sizes):
    """Send the chunks and read to the end; return what was read."""
    caller = await rig.caller()
    try:
        for chunk in split(data, chunk_sizes):
            await caller.send(chunk)
            await curio.sleep(0.01)
        return await caller.read_to_end()
    except ConnectionError:
        return caller.received


async def send_valid_requests(rig, mark):
    caller = await rig.caller()
    head = b"GET /mine HTTP/1.1\r\nHost: h\r\nX-Mark: " + mark
    answers = []
    for _ in range(3):
        answer = await caller.request(head + b"\r\n\r\n")
        answers.append(answer.body)
        caller.received = b""
        await curio.sleep(0.02)
    await caller.sock.close()
    return answers


async def run_session(data, chunk_sizes):
    rig = await conftest.create_rig(echo_mark, LIMITS)
    tasks = [
        await curio.spawn(send_valid_requests, rig, b"%d" % number)
        for number in range(2)
    ]
    async with curio.timeout_after(60):
        got = await send_chunks(rig, data, chunk_sizes)
        for number, task in enumerate(tasks):
            assert await task.join() == [b"for %d" % number] * 3
    await curio.sleep(2)
    return got, rig


@pytest.fixture
def reported_crashes(monkeypatch):
    """Collect the errors that the kernel logs about crashed tasks."""
    crashes = []
    monkeypatch.setattr(
        "curio.kernel.log.error", lambda *args, **_: crashes.append(args)
    )
    return crashes


@hypothesis.given(fragments=FRAGMENT_LISTS, chunk_sizes=CHUNK_SIZES)
@hypothesis.settings(
    max_examples=150,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_hostile_bytes_do_not_affect_other_callers(
    reported_crashes, fragments, chunk_sizes
):
    with shared.create_virtual_run() as run:
        got, rig = run(run_session, b"".join(fragments), chunk_sizes)
    assert reported_crashes == []
    assert got == b"" or got.startswith(b"HTTP/1.1 ")
    assert b"for 0" not in got
    assert b"for 1" not in got
    assert rig.open == 0
    assert rig.budget.reserved == 0
    assert rig.driver.exchanges.open == {}
    assert rig.driver.exchanges.in_flight.count == 0


@hypothesis.given(chunk_sizes=CHUNK_SIZES)
@hypothesis.settings(max_examples=30)
def test_split_requests_are_answered_in_order(chunk_sizes):
    request = b"POST /b HTTP/1.1\r\nHost: h\r\nX-Mark: %d\r\n"
    framings = [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ]
    data = b"".join(
        request % number + framings[number % 2] for number in range(7)
    )
    data += b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    with shared.create_virtual_run() as run:
        got, rig = run(run_session, data, chunk_sizes)
    bodies = [answer.body for answer in conftest.split_responses(got)]
    assert bodies == [b"for %d" % n for n in range(7)] + [b"for nobody"]
    assert b"".join(seen.body for seen in rig.target.requests) == b"hello" * 7
