"""Counters and timings, sent to a statsd server over UDP.

They are sent in batches from a non-blocking socket, so that the event loop is
never blocked.
"""

import bisect
import dataclasses

import curio
import statsd

from agateshelf import const

_FLUSH_SECONDS = 1.0
_MAX_TIMINGS_PER_FLUSH = 2000


# Upper bounds of the histogram buckets, in seconds. They are chosen around the
# latency targets of the requests served, from 0.3 s to some seconds.
BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


@dataclasses.dataclass(slots=True)
class Histogram:
    """Durations, counted by bucket.

    Attributes:
        counts: Number of durations in each of `BUCKETS`, and above the last.
        total: Sum of all durations, in seconds.
    """

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS) + 1)
    )
    total: float = 0.0

    def add(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


@dataclasses.dataclass(slots=True)
class Metrics:
    """Counters and timings of this process.

    Attributes:
        client: The statsd client, or None to count in memory only.
        counts: Counters since the start, for status reports and Prometheus.
        gauges: Latest values, by name.
        pending_counts: Counters since the last flush.
        pending_timings: Names and durations in seconds since the last flush;
            bounded.
        histograms: Durations since the start, by name.
    """

    client: statsd.StatsClient | None
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    gauges: dict[str, float] = dataclasses.field(default_factory=dict)
    pending_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    pending_timings: list[tuple[str, float]] = dataclasses.field(
        default_factory=list
    )
    histograms: dict[str, Histogram] = dataclasses.field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount
        if self.client is not None:
            self.pending_counts[name] = (
                self.pending_counts.get(name, 0) + amount
            )

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Add a duration."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = Histogram()
            self.histograms[name] = histogram
        histogram.add(seconds)
        if self.client is None:
            return
        if len(self.pending_timings) < _MAX_TIMINGS_PER_FLUSH:
            self.pending_timings.append((name, seconds))

    def flush(self) -> None:
        """Send the pending metrics, several in each datagram."""
        if self.client is None:
            return
        pipe = self.client.pipeline()
        for name, amount in self.pending_counts.items():
            pipe.incr(name, amount)
        for name, value in self.gauges.items():
            pipe.gauge(name, value)
        for name, seconds in self.pending_timings:
            pipe.timing(name, seconds * 1000.0)
        self.pending_counts = {}
        self.pending_timings = []
        pipe.send()

    async def run(self) -> None:
        """Flush periodically; never returns."""
        while True:
            await curio.sleep(_FLUSH_SECONDS)
            self.flush()


def create_metrics(address: str | None) -> Metrics:
    """Create the metrics.

    Args:
        address: `HOST:PORT` of the statsd server, or None to count in memory
            only.
    """
    if address is None:
        return Metrics(None)
    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=const.PRODUCT)
    client._sock.setblocking(False)  # noqa: SLF001
    return Metrics(client)
