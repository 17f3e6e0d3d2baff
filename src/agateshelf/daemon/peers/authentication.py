"""Authenticates peers by the system's CURVE key (ZAP, ZeroMQ RFC 27).

libzmq sends its requests to an in-process socket, which is served on the event
loop rather than on a thread of its own.
"""

from collections import abc
import dataclasses

import curio
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

CountCallback = abc.Callable[[str, int], None]


@dataclasses.dataclass(slots=True)
class Authenticator:
    """Answers libzmq's ZAP requests.

    Attributes:
        sock: REP socket that receives the requests.
        public_key: The system's public key, 32 bytes.
        count: Adds to a counter.
    """

    sock: "zmq.Socket[bytes]"
    public_key: bytes
    count: CountCallback

    async def run(self) -> None:
        """Answer ZAP requests; never returns."""
        while True:
            await readiness.wait_readable(self.sock)
            frames = self.sock.recv_multipart(zmq.NOBLOCK)
            self.sock.send_multipart(self.reply_to(frames), zmq.NOBLOCK)
            # A flood of handshakes must not keep other tasks from running.
            await curio.sleep(0)

    def reply_to(self, frames: list[bytes]) -> list[bytes]:
        """Return the reply to a ZAP request; count the denied ones."""
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
    context: "zmq.Context[zmq.Socket[bytes]]",
    public_key: str,
    count: CountCallback,
) -> Authenticator:
    """Create the authenticator.

    It must exist before a CURVE socket is bound: without it, libzmq admits
    clients with any key.
    """
    sock = context.socket(zmq.REP)
    sock.setsockopt(zmq.LINGER, 0)
    sock.bind(_ENDPOINT)
    return Authenticator(sock, zmq.utils.z85.decode(public_key), count)
