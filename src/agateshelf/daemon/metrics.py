"""Metrics, sent to a statsd service over UDP without blocking the loop."""

import dataclasses

import statsd

from agateshelf import const


@dataclasses.dataclass(slots=True)
class Metrics:
    """Counters and timings of this process.

    Attributes:
        client: The statsd client; None counts in memory only.
        counts: Every counter since the start, for `status`.
    """

    client: statsd.StatsClient | None
    counts: dict[str, int] = dataclasses.field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount
        if self.client is not None:
            self.client.incr(name, amount)

    def timing(self, name: str, seconds: float) -> None:
        """Report how long something took."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000.0)


def create_metrics(address: str | None) -> Metrics:
    """Create the metrics, towards a statsd address if one is given."""
    if address is None:
        return Metrics(None)
    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=const.PRODUCT)
    return Metrics(client)
