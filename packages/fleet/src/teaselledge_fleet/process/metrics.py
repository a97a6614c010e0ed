"""Metrics, declared in one table and served as text."""

from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)
from prometheus_client.exposition import generate_latest

__all__ = ["METRICS", "FleetMetrics", "Metric"]

PREFIX = "teaselledge_"
SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
"""Edges of the histograms: around the objectives of 0.2 to 0.8 s, up to the longest
deadlines of 10 s."""


@dataclass(frozen=True)
class Metric:
    """One metric.

    Attributes
    ----------
    kind : str
        ``counter``, ``gauge`` or ``histogram``.
    unit : str
        Unit of its value.
    meaning : str
        What it tells, in one sentence.
    labels : tuple of str
        Names of its labels.
    """

    kind: str
    unit: str
    meaning: str
    labels: tuple[str, ...] = ()


METRICS: dict[str, Metric] = {
    "running": Metric("gauge", "requests", "Requests that are read or answered."),
    "busy": Metric(
        "gauge", "part", "Part of its processor time that the router uses, 0 to 1."
    ),
    "caller_connections": Metric(
        "counter", "connections", "Connections that callers opened."
    ),
    "connections_passed_on": Metric(
        "counter", "connections", "Those that another router of the zone took over."
    ),
    "connections_refused": Metric(
        "counter", "connections", "Those that the router had no time for."
    ),
    "version": Metric("gauge", "version", "Configuration in force, 0 without one."),
    "store_age_seconds": Metric(
        "gauge", "s", "Age of what is known of the store, -1 if nothing is known."
    ),
    "store_era": Metric(
        "gauge", "era", "Rises each time the store comes back from an older copy."
    ),
    "store_calls": Metric("counter", "calls", "Calls to the store."),
    "endpoint_connections": Metric(
        "counter", "connections", "Connections opened to endpoints."
    ),
    "peer_sent_bytes": Metric(
        "counter", "bytes", "Bytes sent to other routers in datagrams."
    ),
    "peer_malformed": Metric(
        "counter", "datagrams", "Datagrams that could not be read."
    ),
    "admissions_asked": Metric(
        "counter", "questions", "Questions to routers that admit to an endpoint."
    ),
    "admissions_unanswered": Metric(
        "counter", "questions", "Those that got no answer in time."
    ),
    "routers_answering": Metric("gauge", "routers", "Other routers heard lately."),
    "routers_advertised": Metric(
        "gauge", "routers", "Routers that callers are sent to, by this one's directory."
    ),
    "requests": Metric(
        "counter", "requests", "Ended requests.", ("outcome", "fault", "service")
    ),
    "attempts": Metric(
        "counter", "attempts", "Attempts at endpoints.", ("outcome", "service")
    ),
    "request_seconds": Metric(
        "histogram", "s", "Time from arrival to the end of an answer.", ("service",)
    ),
    "first_event_seconds": Metric(
        "histogram", "s", "Time from arrival to the first event.", ("service",)
    ),
    "pause_seconds": Metric(
        "histogram", "s", "Longest pause between the events of a stream.", ("service",)
    ),
}
"""All metrics, short ones first: a reader may take no more than a page's beginning."""


class FleetMetrics:
    """Counts, and writes what was counted as text."""

    def __init__(self) -> None:
        # they double the page's length, and the process tells when it started
        disable_created_metrics()
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}
        self._totals: dict[str, float] = {}
        for name, metric in METRICS.items():
            self._declare(name, metric)

    def count(self, name: str, value: float = 1, **labels: str) -> None:
        """Add to a counter."""
        family = self._counters[name]
        (family.labels(**labels) if labels else family).inc(value)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name].set(value)

    def set_total(self, name: str, total: float) -> None:
        """Bring a counter to a total that is kept elsewhere."""
        self.count(name, max(0.0, total - self._totals.get(name, 0.0)))
        self._totals[name] = total

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add to a histogram."""
        family = self._histograms[name]
        (family.labels(**labels) if labels else family).observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in the text format that monitoring tools read."""
        return generate_latest(self._registry)

    def _declare(self, name: str, metric: Metric) -> None:
        arguments = (PREFIX + name, metric.meaning, metric.labels)
        registry = self._registry
        if metric.kind == "counter":
            self._counters[name] = Counter(*arguments, registry=registry)
        elif metric.kind == "gauge":
            self._gauges[name] = Gauge(*arguments, registry=registry)
        else:
            self._histograms[name] = Histogram(
                *arguments, registry=registry, buckets=SECONDS
            )
