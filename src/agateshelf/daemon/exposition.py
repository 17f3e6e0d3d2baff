"""Counters and latency histograms in the Prometheus text format."""

from collections import abc
import itertools

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from agateshelf import const
from agateshelf.daemon import metrics

Builds = abc.Mapping[tuple[str, int], int]


class _Collector(registry.Collector):
    """Collects the metrics of this process."""

    def __init__(self, counters: metrics.Metrics, builds: Builds) -> None:
        self.metrics = counters
        self.builds = builds

    def collect(self) -> abc.Iterable[core.Metric]:
        """Yield each counter and each histogram, and the running builds."""
        entries = core.GaugeMetricFamily(
            _metric_name("entries"),
            "Live entries, by build and message format.",
            labels=("build", "format"),
        )
        for (build, spoken), count in sorted(self.builds.items()):
            entries.add_metric((build, str(spoken)), count)
        yield entries
        for name, count in sorted(self.metrics.counts.items()):
            yield core.CounterMetricFamily(
                _metric_name(name), f"Count of {name}.", value=count
            )
        for name, value in sorted(self.metrics.gauges.items()):
            yield core.GaugeMetricFamily(
                _metric_name(name), f"Value of {name}.", value=value
            )
        for name, histogram in sorted(self.metrics.histograms.items()):
            yield core.HistogramMetricFamily(
                _metric_name(name),
                f"Seconds of {name}.",
                buckets=_buckets(histogram),
                sum_value=histogram.total,
            )


def _metric_name(name: str) -> str:
    return f"{const.PRODUCT}_{name}".replace(".", "_").replace("-", "_")


def _buckets(histogram: metrics.Histogram) -> list[tuple[str, float]]:
    bounds = [*(str(bound) for bound in metrics.BUCKETS), "+Inf"]
    return list(
        zip(bounds, itertools.accumulate(histogram.counts), strict=True)
    )


def text_of(counters: metrics.Metrics, builds: Builds) -> bytes:
    """Return all metrics as text.

    Args:
        counters: The metrics of this process.
        builds: Number of live entries, by build and message format.
    """
    collectors = prometheus_client.CollectorRegistry()
    collectors.register(_Collector(counters, builds))
    return prometheus_client.generate_latest(collectors)
