"""Answers whose connection breaks before their end.

Guards against incident MIXED: part of an answer was taken for all of it. They
need real time, since the kernel reports errors of connections.
"""

import contextlib
import errno
import itertools

import curio
import h11
import pytest
from returns import result
from tests.daemon.targets import broken_target

from agateshelf.core import effects
from agateshelf.daemon import fetching
from agateshelf.daemon.targets import connection
from agateshelf.daemon.targets import probing
from agateshelf.platform import dialect

SIZES = (300, 1_500_000)
UPLOADS = (4_000, 60_000, 4_000_000)
PAUSES = (0.0, 0.02)
PATHS = ("/book/1", "/vin/1")
FRAMINGS = ("none", "length", "chunked")
SIGNED = broken_target.signed_like(b"X-Request-Id: r1")
HEAD = b"HTTP/1.1 200 OK\r\n" + SIGNED


def begun_answer(framing, size):
    """Return the beginning of an answer with a part of its body."""
    part = b"x" * size
    if framing == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % (2 * size) + part
    if framing == "chunked":
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        return start + b"%x\r\n%b\r\n" % (size, part)
    return HEAD + b"\r\n" + part


async def ask_for_part(target, path, upload, relayed=None):
    """Return what a caller gets for an upload."""
    entry = await broken_target.start_entry(target, relayed)
    for _ in range(target.good):
        first = await broken_target.ask(entry.address, path, b"x", b"r0")
        assert (first.status, first.body) == (200, b"ok")
    received = await broken_target.ask(entry.address, path, b"u" * upload)
    relayed_calls = [rig.driver.exchanges.last_call for rig in entry.rigs[1:]]
    assert relayed_calls == ([target.good + 1] if relayed else [])
    return received


def receive(answer, path, upload, good=0, relayed=None):
    """Return what a caller got, and how often the target ran its request."""
    target = broken_target.BrokenTarget(answer, good)
    with contextlib.closing(target):
        received = broken_target.run(
            lambda: ask_for_part(target, path, upload, relayed)
        )
    return received, target.runs


def check_reset(*arguments, **options):
    received, runs = receive(*arguments, **options)
    told = (received.status, len(received.body), received.complete)
    assert not (received.complete and received.status < 500), told
    assert runs == 1


@pytest.mark.parametrize("good", [0, 1], ids=["fresh", "kept"])
@pytest.mark.parametrize("reads_all", [False, True])
@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_is_reset_is_not_complete(
    framing, size, upload, reads_all, good
):
    data = begun_answer(framing, size)
    for pause, path in itertools.product(PAUSES, PATHS):
        answer = broken_target.Answer(
            data, broken_target.End.RESET, pause, reads_all
        )
        check_reset(answer, path, upload, good)


@pytest.mark.parametrize("good", [0, 1], ids=["fresh", "kept"])
@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_is_reset_behind_a_relay_is_not_complete(
    framing, size, upload, good, monkeypatch
):
    data = begun_answer(framing, size)
    for pause, path in itertools.product(PAUSES, PATHS):
        answer = broken_target.Answer(data, broken_target.End.RESET, pause)
        check_reset(answer, path, upload, good, monkeypatch)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_is_reset_is_none_to_a_probe_or_of_the_store(framing):
    answer = broken_target.Answer(
        begun_answer(framing, 300), broken_target.End.RESET
    )
    posted = []

    async def post(event):
        posted.append(event)

    async def test():
        probe = effects.ProbeTarget("status", "t0", target.address, "/", 1.0)
        await probing.Prober(dialect.DIALECT).probe(probe, post)
        body = b"u" * UPLOADS[-1]
        for request in (
            fetching.Request("GET", "/kv-key?key=a"),
            fetching.Request("PUT", "/kv-key?key=a", body=body),
        ):
            fetched = await fetching.fetch(target.address, request, 1.0)
            assert isinstance(fetched, result.Failure)
        while not posted:
            await curio.sleep(0.01)

    target = broken_target.BrokenTarget(answer)
    with contextlib.closing(target):
        broken_target.run(test)
    assert [event.reached for event in posted] == [False]
    assert target.runs == 3


# Closing with unread bytes is a reset, unless the target has shut down its side
# of the connection before.
PROPER_ENDS = (
    (broken_target.End.CLOSE, True),
    (broken_target.End.CLOSE_THEN_RESET, True),
    (broken_target.End.CLOSE_THEN_RESET, False),
)


@pytest.mark.parametrize(("end", "reads_all"), PROPER_ENDS)
@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("size", SIZES)
def test_an_answer_that_ends_by_a_close_is_complete(
    size, upload, end, reads_all
):
    # A target may answer before it has read the request.
    for pause in PAUSES:
        answer = broken_target.Answer(
            begun_answer("none", size), end, pause, reads_all
        )
        received, _ = receive(answer, "/vin/1", upload)
        assert (received.status, received.complete) == (200, True)
        assert received.body == b"x" * size


@pytest.mark.parametrize("upload", UPLOADS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_old_caller_sees_that_a_streamed_answer_is_reset(framing, upload):
    # The end of an answer to an HTTP/1.0 caller is that of its connection.
    data = begun_answer(framing, 1_500_000)
    answer = broken_target.Answer(data, broken_target.End.RESET, 0.1)

    async def test():
        entry = await broken_target.start_entry(target)
        return await broken_target.ask_by_http_1_0(
            entry.address, "/vin/1", b"u" * upload
        )

    target = broken_target.BrokenTarget(answer)
    with contextlib.closing(target):
        received, is_reset = broken_target.run(test)
    assert is_reset or not received.startswith(b"HTTP/1.1 200")


class FailingSocket:
    """A socket whose error is reported to the first call that asks for it.

    A part of an answer has arrived before the error.
    """

    def __init__(self, part, error, *, sender_asks_first):
        self.part = part
        self.errors = [error]
        self.sender_asks_first = sender_asks_first

    async def sendall(self, _data):
        if self.sender_asks_first:
            raise OSError(self.errors.pop(), "reported to the sender")

    async def recv(self, _size):
        if self.part:
            part, self.part = self.part, b""
            return part
        if self.errors:
            raise OSError(self.errors.pop(), "reported to the reader")
        return b""


ERRORS = (
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ECONNABORTED,
)


async def read_to_end(sock):
    """Send a request as an attempt does, and read all of its answer."""
    conn = connection.TargetConnection(
        sock, h11.Connection(h11.CLIENT), "127.0.0.1:1"
    )
    head = h11.Request(method="GET", target="/", headers=[("host", "h")])
    data = conn.protocol.send(head) + conn.protocol.send(h11.EndOfMessage())
    with contextlib.suppress(OSError):
        await conn.send(data)
    await conn.read_head()
    while isinstance(event := await conn.next_event(), h11.Data):
        pass
    return event


@pytest.mark.parametrize("sender_asks_first", [False, True])
@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_error_that_ends_the_connection_ends_the_answer(
    framing, error, sender_asks_first
):
    sock = FailingSocket(
        begun_answer(framing, 300), error, sender_asks_first=sender_asks_first
    )
    with pytest.raises((OSError, h11.RemoteProtocolError)):
        curio.run(read_to_end, sock)


def test_a_send_after_the_end_of_the_answer_does_not_break_it():
    # EPIPE says that the peer had closed its side before it reset the rest.
    sock = FailingSocket(
        begun_answer("none", 300), errno.EPIPE, sender_asks_first=True
    )
    assert isinstance(curio.run(read_to_end, sock), h11.EndOfMessage)
