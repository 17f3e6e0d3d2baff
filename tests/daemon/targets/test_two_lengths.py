"""Answers in chunks that have a Content-Length as well (RFC 9112, 6.3).

Guards against incident MIXED: the caller of a streamed answer was told the
length, and took what had come up to it for all of the answer.
"""

import contextlib

import pytest
from tests.daemon.targets import broken_target

HEAD = b"HTTP/1.1 200 OK\r\n" + broken_target.signed_like(b"")
# Buffered, and streamed.
SIZES = (2_000, 1_500_000)
REST = b"y" * 1_000


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class PausingTarget(broken_target.BrokenTarget):
    """A target that pauses before the last part of its answer."""

    def _break(self, sock):
        sock.recv(1024)
        sock.sendall(self.answer.data)
        self.stopped.wait(0.1)
        sock.sendall(chunk(REST) + b"0\r\n\r\n")
        self.stopped.wait()


@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize("difference", [-1, 0, 1, len(REST), len(REST) + 1])
@pytest.mark.parametrize("size", SIZES)
def test_chunks_go_before_a_length(size, difference, relayed, monkeypatch):
    async def test():
        entry = await broken_target.start_entry(
            target, monkeypatch if relayed else None
        )
        return await broken_target.ask(entry.address, "/vin/1")

    length = b"Content-Length: %d\r\n" % (size + difference)
    data = HEAD + length + b"Transfer-Encoding: chunked\r\n\r\n"
    answer = broken_target.Answer(data + chunk(b"x" * size))
    target = PausingTarget(answer)
    with contextlib.closing(target):
        received = broken_target.run(test)
    assert (received.status, received.complete) == (200, True)
    assert received.body == b"x" * size + REST
