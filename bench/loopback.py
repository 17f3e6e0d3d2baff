"""Load on loopback from plain sockets, bounded in count and time."""

import dataclasses
import selectors
import socket
import time

_REQUEST = (
    b"GET /recall/4T1BE46K19U123456 HTTP/1.1\r\nHost: recall.example\r\n"
    b"User-Agent: bench\r\nAccept: */*\r\n\r\n"
)
_READ_BYTES = 65536
_WAIT_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Run:
    """What a run of calls took.

    Attributes:
        seconds: How long the run was.
        latencies: Seconds of each call, sorted.
    """

    seconds: float
    latencies: list[float]

    def quantile(self, share: float) -> float:
        """Return the latency that a share of the calls kept."""
        if not self.latencies:
            return 0.0
        return self.latencies[int(share * (len(self.latencies) - 1))]


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), _WAIT_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _call(sock: socket.socket) -> None:
    sock.sendall(_REQUEST)
    _read(sock)


def _read(sock: socket.socket) -> None:
    """Read one answer, which arrives in one piece on loopback."""
    data = sock.recv(_READ_BYTES)
    if not data.startswith(b"HTTP/1.1 200"):
        raise ValueError(f"unexpected answer {data[:80]!r}")


def steady(address: str, rate: float, seconds: float) -> Run:
    """Call at a steady rate on one kept connection."""
    latencies = []
    with _connect(address) as sock:
        _call(sock)
        began = time.perf_counter()
        for number in range(int(rate * seconds)):
            wait = began + number / rate - time.perf_counter()
            if wait > 0:
                time.sleep(wait)
            sent = time.perf_counter()
            _call(sock)
            latencies.append(time.perf_counter() - sent)
        took = time.perf_counter() - began
    return Run(took, sorted(latencies))


def saturated(address: str, connections: int, seconds: float) -> Run:
    """Call without pause on some connections."""
    latencies = []
    socks = [_connect(address) for _ in range(connections)]
    with selectors.DefaultSelector() as selector:
        began = time.perf_counter()
        sent = dict.fromkeys(socks, began)
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ, sock)
            sock.sendall(_REQUEST)
        now = began
        while now - began < seconds:
            for key, _ in selector.select(_WAIT_SECONDS):
                sock = key.data
                _read(sock)
                now = time.perf_counter()
                latencies.append(now - sent[sock])
                sent[sock] = now
                sock.sendall(_REQUEST)
    for sock in socks:
        sock.close()
    return Run(now - began, sorted(latencies))
