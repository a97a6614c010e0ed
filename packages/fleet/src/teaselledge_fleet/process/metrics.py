"""Table of all metrics, and their values."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

__all__ = ["METRICS", "BUCKET_BOUNDS_SECONDS", "FleetMetrics", "Metric", "Histogram"]

BUCKET_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
"""Upper bounds of the histograms' buckets: narrow around the latency objectives of 0.2
to 0.8 s, wider up to the maximum deadline of 10 s."""


@dataclass(frozen=True)
class Metric:
    """Declaration of a metric.

    Attributes
    ----------
    kind : str
        ``counter``, ``gauge`` or ``histogram``.
    unit : str
        Unit of its value.
    description : str
        Meaning of its value, in one sentence.
    labels : tuple of str
        Names of its labels.
    """

    kind: str
    unit: str
    description: str
    labels: tuple[str, ...] = ()


METRICS: dict[str, Metric] = {
    "running": Metric(
        "gauge", "requests", "Requests that are being received or served."
    ),
    "busy": Metric(
        "gauge", "part", "Fraction of its CPU time that the router uses, 0 to 1."
    ),
    "caller_connections": Metric(
        "counter", "connections", "Connections accepted from callers."
    ),
    "connections_passed_on": Metric(
        "counter", "connections", "Connections offloaded to other routers of the zone."
    ),
    "connections_refused": Metric(
        "counter", "connections", "Connections refused because of overload."
    ),
    "version": Metric(
        "gauge", "version", "Version of the configuration in force, 0 if none."
    ),
    "store_age_seconds": Metric(
        "gauge", "s", "Age of the store cache, -1 if it is empty."
    ),
    "store_era": Metric(
        "gauge", "era", "Era of the store, which rises with each restore from a backup."
    ),
    "store_calls": Metric("counter", "calls", "Calls to the store."),
    "endpoint_connections": Metric(
        "counter", "connections", "Connections opened to endpoints."
    ),
    "peer_sent_bytes": Metric(
        "counter", "bytes", "Bytes sent to other routers in datagrams."
    ),
    "peer_malformed": Metric(
        "counter", "datagrams", "Malformed datagrams received from other routers."
    ),
    "admissions_asked": Metric(
        "counter", "questions", "Admission queries sent to coordinators of endpoints."
    ),
    "admissions_unanswered": Metric(
        "counter", "questions", "Admission queries that timed out."
    ),
    "routers_answering": Metric("gauge", "routers", "Other routers that are alive."),
    "routers_advertised": Metric(
        "gauge", "routers", "Routers that this router advertises to callers."
    ),
    "requests": Metric(
        "counter", "requests", "Completed requests.", ("outcome", "fault", "service")
    ),
    "attempts": Metric(
        "counter", "attempts", "Attempts sent to endpoints.", ("outcome", "service")
    ),
    "request_seconds": Metric(
        "histogram", "s", "Time from arrival to the end of the response.", ("service",)
    ),
    "first_event_seconds": Metric(
        "histogram", "s", "Time from arrival to the first event.", ("service",)
    ),
    "pause_seconds": Metric(
        "histogram", "s", "Longest gap between the events of a stream.", ("service",)
    ),
}
"""All metrics, those without labels first, as a reader may truncate the page."""


Labels = tuple[str, ...]
"""Values of a metric's labels, in their order."""


@dataclass
class Histogram:
    """Values of a histogram.

    Attributes
    ----------
    counts : list of int
        Observations by bucket, of which the last has no upper bound.
    sum_seconds : float
        Sum of all observations.
    """

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
    )
    sum_seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add an observation."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds

    def cumulative(self) -> Iterator[tuple[str, int]]:
        """Yield the upper bound of each bucket, and the count of values up to it."""
        total = 0
        for bound, count in zip(
            [*BUCKET_BOUNDS_SECONDS, "+Inf"], self.counts, strict=True
        ):
            total += count
            yield str(bound), total


class FleetMetrics:
    """Values of all metrics declared in `METRICS`."""

    def __init__(self) -> None:
        self._values: dict[str, defaultdict[Labels, float]] = {
            name: defaultdict(float) for name in METRICS
        }
        for name, metric in METRICS.items():
            if not metric.labels:
                self._values[name][()] = 0.0
        self._histograms: defaultdict[str, defaultdict[Labels, Histogram]]
        self._histograms = defaultdict(lambda: defaultdict(Histogram))

    def increment(self, name: str, value: float = 1, **labels: str) -> None:
        """Add to a counter."""
        self._values[name][_key(name, labels)] += value

    def set(self, name: str, value: float) -> None:
        """Set a gauge, or a counter that is counted elsewhere."""
        self._values[name][()] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        self._histograms[name][_key(name, labels)].observe(seconds)

    def values(self, name: str) -> Mapping[Labels, float]:
        """Return the values of a counter or gauge, by its labels."""
        return self._values[name]

    def histograms(self, name: str) -> Mapping[Labels, Histogram]:
        """Return the values of a histogram, by its labels."""
        return self._histograms[name]


def _key(name: str, labels: dict[str, str]) -> Labels:
    return tuple(labels[label] for label in METRICS[name].labels)
