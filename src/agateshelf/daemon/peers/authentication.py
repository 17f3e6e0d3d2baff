"""Admits only clients that hold the system's key (ZAP, RFC 27).

libzmq asks on an in-process socket; the answer is given on the loop.
"""

from collections import abc
import dataclasses

import zmq
import zmq.utils.z85

from agateshelf.daemon.peers import const
from agateshelf.daemon.peers import readiness

_ENDPOINT = "inproc://zeromq.zap.01"
_VERSION = b"1.0"
_MECHANISM = b"CURVE"
_FRAMES = 7
_ACCEPTED = (b"200", b"OK")
_DENIED = (b"400", b"denied")

Count = abc.Callable[[str, int], None]


@dataclasses.dataclass(slots=True)
class Authenticator:
    """Answers libzmq's questions about clients.

    Attributes:
        sock: Socket that the questions come in on.
        public_key: The system's public key, 32 bytes.
        count: Adds to a counter.
    """

    sock: "zmq.Socket[bytes]"
    public_key: bytes
    count: Count

    async def run(self) -> None:
        """Answer questions; never returns."""
        while True:
            await readiness.wait_readable(self.sock)
            frames = self.sock.recv_multipart(zmq.NOBLOCK)
            self.sock.send_multipart(self.answer_to(frames), zmq.NOBLOCK)

    def answer_to(self, frames: list[bytes]) -> list[bytes]:
        """Return the answer to a question."""
        request = frames[1] if len(frames) > 1 else b""
        if self._is_admitted(frames):
            return [_VERSION, request, *_ACCEPTED, b"entry", b""]
        self.count(const.COUNT_STRANGERS, 1)
        return [_VERSION, request, *_DENIED, b"", b""]

    def _is_admitted(self, frames: list[bytes]) -> bool:
        if len(frames) != _FRAMES or frames[0] != _VERSION:
            return False
        return frames[5] == _MECHANISM and frames[6] == self.public_key


def create_authenticator(
    context: "zmq.Context[zmq.Socket[bytes]]", public_key: str, count: Count
) -> Authenticator:
    """Create the authenticator; it must be there before sockets are bound."""
    sock = context.socket(zmq.REP)
    sock.setsockopt(zmq.LINGER, 0)
    sock.bind(_ENDPOINT)
    return Authenticator(sock, zmq.utils.z85.decode(public_key), count)
