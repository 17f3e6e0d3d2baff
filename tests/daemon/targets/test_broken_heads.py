"""Answers whose head the grammar of HTTP rules out, wherever they are read.

Guards against incident MIXED: such answers were passed on to callers.
"""

import curio
import h11
import pytest
from returns import result
from tests.daemon import conftest
from tests.daemon import test_routes
from tests.daemon.targets import broken_heads
from tests.daemon.targets import broken_target

from agateshelf.core import effects
from agateshelf.daemon import fetching
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import probing
from agateshelf.platform import dialect

REQUESTS = (test_routes.GET, test_routes.POST)
LARGE = b"x" * 1_500_000
# Some lines of each kind, for tests that start an entry for each.
STATUS_LINES = (
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
    b"HTTP/2.0 200 X",
    b"HTTP/1.1 200 X\x01Y",
)
NAME_LINES = (
    b"X A: 1",
    b"X-A : 1",
    b"X\x01A: 1",
    b" X-A: 1",
    b"\tX-A: 1",
    b"\nX-A: 1",
    b"\x0bX-A: 1",
    b" Transfer-Encoding: chunked",
    b" Content-Length: 1",
)
VALUE_LINES = (b"X-A: 1\x012", b"X-A: \x7f", b"X-A: 1\n", b"X-A: \x00")
# Answers by the kind of line that is broken.
BROKEN = {
    "status": [
        broken_heads.with_status_line(line)
        for line in broken_heads.STATUS_LINES
    ],
    "name": [
        broken_heads.with_field_line(line) for line in broken_heads.NAME_LINES
    ],
    "value": [
        broken_heads.with_field_line(line) for line in broken_heads.VALUE_LINES
    ],
}
SAMPLES = {
    "status": [
        broken_heads.with_status_line(line, body)
        for line in STATUS_LINES
        for body in (broken_heads.BODY, LARGE)
    ],
    "name": [
        broken_heads.with_field_line(line, body)
        for line in NAME_LINES
        for body in (broken_heads.BODY, LARGE)
    ],
    "value": [
        broken_heads.with_field_line(line, body)
        for line in VALUE_LINES
        for body in (broken_heads.BODY, LARGE)
    ],
}
PROPER = [
    broken_heads.with_status_line(b"HTTP/1.1 %d X" % status)
    for status in broken_heads.STATUSES
]
PROPER += [
    broken_heads.with_field_line(line) for line in broken_heads.PROPER_LINES
]
WHOLE = broken_heads.with_status_line(b"HTTP/1.1 200 X")
PROPER.append(WHOLE.replace(b"\r\n", b"\n"))


class FakeSocket:
    """A socket that receives given bytes in parts, then its end."""

    def __init__(self, data, size):
        self.parts = [
            data[start : start + size] for start in range(0, len(data), size)
        ]

    async def recv(self, _size):
        return self.parts.pop(0) if self.parts else b""


async def read_answer(data, size):
    """Return status and body of an answer that arrives in parts of a size."""
    conn = connection.TargetConnection(
        FakeSocket(data, size), h11.Connection(h11.CLIENT), "127.0.0.1:1"
    )
    conn.protocol.send(
        h11.Request(method="GET", target="/", headers=[("host", "h")])
    )
    conn.protocol.send(h11.EndOfMessage())
    head = await conn.read_head()
    body = b""
    while isinstance(event := await conn.next_event(), h11.Data):
        body += event.data
    return head.status_code, body


@pytest.mark.parametrize("size", [1, 7, 65536])
@pytest.mark.parametrize("kind", BROKEN)
def test_a_broken_head_is_an_error(kind, size):
    for data in BROKEN[kind]:
        with pytest.raises(h11.RemoteProtocolError):
            curio.run(read_answer, data, size)


@pytest.mark.parametrize("size", [1, 7, 65536])
@pytest.mark.parametrize("data", PROPER)
def test_a_proper_head_is_read(data, size):
    status, body = curio.run(read_answer, data, size)
    assert status == int(data.split()[1])
    assert body == (b"" if status in (204, 304) else b"ok")


@pytest.mark.parametrize("size", [1, 7, 65536])
@pytest.mark.parametrize("usual", [b"\r\n", b"\n"])
def test_a_line_that_ends_unlike_the_others_is_an_error(usual, size):
    *lines, rest = WHOLE.split(b"\r\n")
    other = b"\n" if usual == b"\r\n" else b"\r\n"
    for unlike in range(len(lines)):
        data = b"".join(
            line + (other if number == unlike else usual)
            for number, line in enumerate(lines)
        )
        with pytest.raises(h11.RemoteProtocolError):
            curio.run(read_answer, data + rest, size)


# h11 reads more here too, but the fields behind a chunked body are dropped.
TRAILERS = (b"X-A: 1", b"X-A: \x01", b"X-B: 1\r\n X-A: 1", b"X-A: 1\nX-C: 2")


@pytest.mark.parametrize("trailers", TRAILERS)
def test_fields_behind_a_chunked_body_are_not_passed_on(virtual_run, trailers):
    async def body():
        data = (
            b"HTTP/1.1 200 X\r\n%bTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n%b\r\n\r\n"
        )
        script = test_routes.responding(data % (test_routes.VALID, trailers))
        rig = await test_routes.create_entry((script,))
        return await (await rig.caller()).request(test_routes.POST)

    response = virtual_run(body)
    assert (response.status, response.body) == (200, b"ok")
    assert b"x-a" not in response.head.lower()


def test_a_switch_of_protocols_that_was_not_asked_for_is_an_error():
    data = broken_heads.with_status_line(b"HTTP/1.1 101 X")
    with pytest.raises(h11.RemoteProtocolError):
        curio.run(read_answer, data, 65536)


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_statuses_are_skipped(status):
    interim = b"HTTP/1.1 %d X\r\n\r\n" % status
    data = interim + broken_heads.with_status_line(b"HTTP/1.1 200 X")
    assert curio.run(read_answer, data, 65536) == (200, b"ok")


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("request_bytes", REQUESTS)
@pytest.mark.parametrize("kind", BROKEN)
def test_a_broken_head_is_not_passed_on(
    virtual_run, kind, request_bytes, is_kept
):
    async def test_one(data):
        async def script(request, sock):
            if request.header(b"x-request-id") == [b"r0"]:
                mine = test_routes.VALID.replace(b"r1", b"r0")
                return conftest.http_response(extra=mine)
            await sock.sendall(data)
            await curio.sleep(10)
            return None

        rig = await test_routes.create_entry((script,))
        if is_kept:
            earlier = request_bytes.replace(b"r1", b"r0")
            await (await rig.caller()).request(earlier)
        response = await (await rig.caller()).request(request_bytes)
        assert response.status == 502, data
        assert b"x-response-signature" not in response.head.lower()
        runs = [
            request
            for request in rig.target[0].requests
            if request.header(b"x-request-id") == [b"r1"]
        ]
        if request_bytes is test_routes.POST:
            assert len(runs) == 1

    for data in SAMPLES[kind]:
        virtual_run(test_one, data)


@pytest.mark.parametrize("good", [0, 1], ids=["fresh", "kept"])
@pytest.mark.parametrize("kind", BROKEN)
def test_a_broken_head_is_not_passed_on_by_a_relay(kind, good, monkeypatch):
    async def ask(target):
        entry = await broken_target.start_entry(target, monkeypatch)
        for _ in range(good):
            await broken_target.ask(entry.address, "/book/1", b"x", b"r0")
        received = await broken_target.ask(entry.address, "/book/1", b"hi")
        assert entry.rigs[1].driver.exchanges.last_call == good + 1
        return received

    for data in SAMPLES[kind]:
        target = broken_target.BrokenTarget(broken_target.Answer(data), good)
        received = broken_target.run(lambda: ask(target))  # noqa: B023
        target.close()
        assert (received.status, received.complete) == (502, True), data
        assert target.runs == 1


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("kind", BROKEN)
def test_a_broken_head_is_no_answer_to_a_probe(kind, is_kept, virtual_run):
    proper = [WHOLE] if is_kept else []

    async def body():
        posted = []

        async def post(event):
            posted.append(event)

        for data in BROKEN[kind]:
            answers = iter((*proper, data))

            async def script(_request, _sock, answers=answers):
                return next(answers)

            target = conftest.ScriptedTarget(script)
            await target.start()
            probe = effects.ProbeTarget(
                "status", "t0", target.address, "/health", 0.5
            )
            prober = probing.Prober(dialect.DIALECT)
            for _ in (*proper, data):
                await prober.probe(probe, post)
                await curio.sleep(1.0)
            assert target.connections == 1
        return posted

    reached = [event.reached for event in virtual_run(body)]
    assert reached == [*([True] * len(proper)), False] * len(BROKEN[kind])


@pytest.mark.parametrize("kind", BROKEN)
def test_a_broken_head_is_no_answer_of_the_store(kind, virtual_run):
    async def body():
        for data in BROKEN[kind]:
            target = conftest.ScriptedTarget(test_routes.responding(data))
            await target.start()
            fetched = await fetching.fetch(
                target.address, fetching.Request("GET", "/kv-key?key=a"), 1.0
            )
            assert isinstance(fetched, result.Failure), data

    virtual_run(body)
