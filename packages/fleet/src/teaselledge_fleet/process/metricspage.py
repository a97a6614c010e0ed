"""The page of all metrics in the Prometheus text format.

This module is loaded at the first request for the page: the import of the library takes
a tenth of a router's start time.
"""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from teaselledge_fleet.process import metrics as declared
from teaselledge_fleet.process.metrics import METRICS, FleetMetrics

__all__ = ["metrics_page"]

PREFIX = "teaselledge_"
KINDS = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily}


def metrics_page(metrics: FleetMetrics) -> bytes:
    """Return the metrics page."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Page(metrics))
    return generate_latest(registry)


class _Page(Collector):
    def __init__(self, metrics: FleetMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics in the order of `METRICS`."""
        for name, metric in METRICS.items():
            if metric.kind == "histogram":
                yield self._histogram(name, metric)
            else:
                yield self._family(name, metric)

    def _family(self, name: str, metric: declared.Metric) -> Metric:
        family = KINDS[metric.kind](
            PREFIX + name, metric.description, labels=metric.labels
        )
        for labels, value in self._metrics.values(name).items():
            family.add_metric(labels, value)
        return family

    def _histogram(self, name: str, metric: declared.Metric) -> Metric:
        family = HistogramMetricFamily(
            PREFIX + name, metric.description, labels=metric.labels
        )
        for labels, values in self._metrics.histograms(name).items():
            family.add_metric(labels, list(values.cumulative()), values.sum_seconds)
        return family
