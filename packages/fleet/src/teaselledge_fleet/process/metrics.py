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
    "running": Metric("gauge", "requests", "Requests that are read or answered."),
    "busy": Metric(
        "gauge", "part", "Part of its processor time that the router uses, 0 to 1."
    ),
    "unsent_bytes": Metric(
        "gauge", "bytes", "Bytes held for callers, relays and endpoints that read late."
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
    "region_round_trip_seconds": Metric(
        "gauge",
        "s",
        "Recent mean round trip to another region, the longest, 0 if none was asked.",
    ),
    "routers_answering": Metric("gauge", "routers", "Other routers heard lately."),
    "routers_advertised": Metric(
        "gauge", "routers", "Routers that callers are sent to, by this one's directory."
    ),
    "zone_spillover": Metric(
        "gauge", "part", "Part of this zone's callers sent to other zones, 0 to 1."
    ),
    "share_level_tokens": Metric(
        "gauge",
        "tokens",
        "Share of an organisation that requests more within 4 s, -1 if all fit.",
    ),
    "least_served_ratio": Metric(
        "gauge", "part", "Least part of its due that a waiting organisation got in 4 s."
    ),
    "requests_queued": Metric(
        "gauge", "requests", "This router's requests that wait for engines."
    ),
    "queue_entries": Metric(
        "gauge", "requests", "Requests that wait for engines it admits to."
    ),
    "relaying_allowed": Metric(
        "gauge", "part", "1 if connections may be passed on, else 0."
    ),
    "offload_candidates": Metric("gauge", "routers", "Routers of the zone with room."),
    "zones_drained": Metric(
        "gauge", "zones", "Zones whose endpoints get no new requests."
    ),
    "endpoints_warming_up": Metric(
        "gauge", "endpoints", "Endpoints whose requests are limited after a start."
    ),
    "endpoints_paused": Metric(
        "gauge",
        "endpoints",
        "Endpoints that asked this router for no requests for some time.",
    ),
    "engine_speed_spread": Metric(
        "gauge", "ratio", "Fastest engines to slowest of a service, 0 if unknown."
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
    "grants_revoked": Metric(
        "counter", "grants", "Places that were granted and not confirmed in time."
    ),
    "origin_rows_written": Metric(
        "counter", "rows", "Rows of the journal of streams' origins that it wrote."
    ),
    "unhandled_errors": Metric(
        "counter", "errors", "Errors of callbacks and tasks that no code handled."
    ),
    "slow_readers_disconnected": Metric(
        "counter",
        "connections",
        "Closed as the peer read too slowly: writes took too long (timeout), an"
        " endpoint was held up (stalled), or the most held of too much (total).",
        ("reader", "cause"),
    ),
    "connection_refusals": Metric(
        "counter",
        "connections",
        "Refused connections: over this router's limit, or as others refuse them, too.",
        ("cause",),
    ),
    "relay_responses": Metric(
        "counter",
        "responses",
        "Responses to connections that were passed on, by the reason of a refusal.",
        ("refused",),
    ),
    "relays_not_accepted": Metric(
        "counter",
        "connections",
        "Served here as the router to which they were offered did not accept them.",
    ),
    "relays_timed_out": Metric(
        "counter",
        "requests",
        "Relayed requests that this router ended at their time limit.",
    ),
    "task_restarts": Metric(
        "counter",
        "restarts",
        "Restarts of tasks that run as long as the process: each is a fault.",
        ("task",),
    ),
    "requests": Metric(
        "counter", "requests", "Ended requests.", ("outcome", "fault", "service")
    ),
    "attempts": Metric(
        "counter", "attempts", "Attempts at endpoints.", ("outcome", "service")
    ),
    "endpoint_ends": Metric(
        "counter",
        "endpoints",
        "Endpoints that ended while they had requests of this router.",
        ("service",),
    ),
    "contents_quarantined": Metric(
        "counter",
        "combinations",
        "Segments and contents that are refused since, as endpoints ended under them.",
    ),
    "retries": Metric(
        "counter",
        "attempts",
        "Retries that this router's part of the budget granted or denied.",
        ("result", "service"),
    ),
    "hedges_sent": Metric(
        "counter", "attempts", "Hedges: attempts beside a late one.", ("service",)
    ),
    "hedges_won": Metric(
        "counter", "attempts", "Hedges that responded first.", ("service",)
    ),
    "hedges_withheld": Metric(
        "counter",
        "requests",
        "Late requests without a hedge, by the reason.",
        ("reason", "service"),
    ),
    "hedge_wasted_seconds": Metric(
        "counter",
        "s",
        "Time of attempts at endpoints that were cancelled as another one responded.",
        ("service",),
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
    "place_requests": Metric(
        "counter",
        "requests",
        "Requests for places at engines: granted, declined at once, expired while they"
        " waited, withdrawn by their callers, or unanswered.",
        ("outcome", "service"),
    ),
    "place_wait_seconds": Metric(
        "histogram", "s", "Time until a place was granted or refused.", ("service",)
    ),
    "organisation_tokens": Metric(
        "counter",
        "tokens",
        "Tokens of this router's requests, as shares count them: all, those shed before"
        " placing, declined for want of room, allocated, returned as no endpoint began"
        " them, and started.",
        ("organisation", "use"),
    ),
}
"""All metrics, gauges and those without labels first, as a reader may truncate the
page."""


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

    def replace(self, name: str, values: Mapping[Labels, float]) -> None:
        """Set all values of a counter that is counted elsewhere, by its labels."""
        self._values[name] = defaultdict(float, values)

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
