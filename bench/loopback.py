"""Load generator over loopback, with plain sockets.

Each run has a fixed number of calls or a fixed duration.
"""

import dataclasses
import selectors
import socket
import time

_REQUEST = (
    b"GET /recall/4T1BE46K19U123456 HTTP/1.1\r\nHost: recall.example\r\n"
    b"User-Agent: bench\r\nAccept: */*\r\n\r\n"
)
_READ_BYTES = 65536
_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Result of a load run.

    Attributes:
        seconds: Duration of the run.
        latencies: Latency of each call in seconds, in ascending order.
    """

    seconds: float
    latencies: list[float]

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies; 0 if there were no calls.

        Args:
            share: Quantile as a share, such as 0.99.
        """
        if not self.latencies:
            return 0.0
        return self.latencies[int(share * (len(self.latencies) - 1))]


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), _TIMEOUT_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _call(sock: socket.socket) -> None:
    sock.sendall(_REQUEST)
    _read(sock)


def _read(sock: socket.socket) -> None:
    """Read one answer; on loopback, it arrives in one segment."""
    data = sock.recv(_READ_BYTES)
    if not data.startswith(b"HTTP/1.1 200"):
        raise ValueError(f"expected status 200, got {data[:80]!r}")


def run_at_rate(address: str, rate: float, seconds: float) -> LoadResult:
    """Send calls at a constant rate over one persistent connection.

    A call that is due while the previous one is open is sent right after it.
    """
    latencies = []
    with _connect(address) as sock:
        _call(sock)
        started_at = time.perf_counter()
        for number in range(int(rate * seconds)):
            wait = started_at + number / rate - time.perf_counter()
            if wait > 0:
                time.sleep(wait)
            sent_at = time.perf_counter()
            _call(sock)
            latencies.append(time.perf_counter() - sent_at)
        duration = time.perf_counter() - started_at
    return LoadResult(duration, sorted(latencies))


def run_saturated(address: str, connections: int, seconds: float) -> LoadResult:
    """Send calls back to back over several connections."""
    latencies = []
    socks = [_connect(address) for _ in range(connections)]
    with selectors.DefaultSelector() as selector:
        started_at = time.perf_counter()
        sent_at = dict.fromkeys(socks, started_at)
        for sock in socks:
            selector.register(sock, selectors.EVENT_READ, sock)
            sock.sendall(_REQUEST)
        now = started_at
        while now - started_at < seconds:
            for key, _ in selector.select(_TIMEOUT_SECONDS):
                sock = key.data
                _read(sock)
                now = time.perf_counter()
                latencies.append(now - sent_at[sock])
                sent_at[sock] = now
                sock.sendall(_REQUEST)
    for sock in socks:
        sock.close()
    return LoadResult(now - started_at, sorted(latencies))
