"""Metrics of the router, sent by statsd."""

from dataclasses import dataclass
from typing import Protocol

import statsd

__all__ = ["METRICS", "Metric", "Metrics", "NullMetrics", "StatsdMetrics"]


@dataclass(frozen=True)
class Metric:
    """One metric of the router.

    Attributes
    ----------
    kind : str
        ``counter``, ``gauge`` or ``timer``.
    unit : str
        Unit of the value.
    meaning : str
        Description in one sentence.
    """

    kind: str
    unit: str
    meaning: str


METRICS: dict[str, Metric] = {
    "request.answered": Metric("counter", "requests", "Complete responses sent."),
    "request.refused": Metric("counter", "requests", "Error responses, by kind."),
    "request.wait": Metric(
        "timer", "ms", "Time from a request's arrival to its grant."
    ),
    "peer.sent_bytes": Metric("counter", "bytes", "Bytes sent to other routers."),
    "peer.bad_frames": Metric("counter", "frames", "Malformed frames received."),
    "engines.orders": Metric("counter", "orders", "Engine orders that ended."),
    "engines.waiting": Metric(
        "counter", "looks", "Checks that found an engine order still waiting."
    ),
    "peer.bad_messages": Metric(
        "counter", "messages", "Messages that could not be processed."
    ),
    "peer.dropped_messages": Metric(
        "counter", "messages", "Messages discarded before they were sent."
    ),
    "dispatch.free_slots": Metric("gauge", "slots", "Free slots of a shard."),
    "dispatch.waiting": Metric("gauge", "requests", "Requests waiting in a shard."),
    "order.reads": Metric("counter", "calls", "Reads of the order journal."),
    "order.writes": Metric("counter", "calls", "Commits to the order journal."),
    "order.unknown": Metric(
        "counter", "orders", "Orders reported with unknown outcome, by reason."
    ),
    "order.replayed": Metric("counter", "orders", "Responses served from the journal."),
    "order.idle_slot": Metric(
        "timer", "ms", "Time a granted slot stayed idle until the order was claimed."
    ),
    "request.retried": Metric(
        "counter", "requests", "Retries, by outcome of the failed attempt."
    ),
    "version.in_force": Metric(
        "gauge", "version", "Version of the configuration in force."
    ),
    "version.store_age": Metric(
        "gauge", "s", "Time since a router last read the store successfully."
    ),
    "version.unreadable": Metric(
        "counter", "versions", "Versions that the router can't read."
    ),
    "dispatch.gap": Metric(
        "gauge",
        "cost per share",
        "Highest minus lowest normalised usage with a backlog.",
    ),
    "dispatch.bad_costs": Metric(
        "counter", "costs", "Reported costs that were missing or out of range."
    ),
    "dispatch.bad_reports": Metric(
        "counter", "accounts", "Rejected accounts in dispatchers' reports, by cause."
    ),
    "dispatch.declined": Metric("counter", "grants", "Grants that were declined."),
    "dispatch.expired": Metric(
        "counter", "grants", "Grants that were not accepted in time."
    ),
    "dispatch.fetched": Metric(
        "counter", "requests", "Requests fetched from other zones."
    ),
    "dispatch.rebuilt": Metric(
        "counter", "snapshots", "Snapshots from which a dispatcher rebuilt its state."
    ),
    "dispatch.suspected": Metric(
        "counter", "VMs", "Dispatchers suspected because they did not respond."
    ),
    "store.errors": Metric("counter", "calls", "Failed calls to the platform."),
}


class Metrics(Protocol):
    """Receiver of the router's metrics."""

    def count(self, name: str, value: float = 1, label: str = "") -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""

    def time(self, name: str, seconds: float, label: str = "") -> None:
        """Record a duration, given in seconds."""


class NullMetrics:
    """Discards metrics, for settings without statsd."""

    def count(self, name: str, value: float = 1, label: str = "") -> None:
        """Check that the metric exists."""
        METRICS[name]

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Check that the metric exists."""
        METRICS[name]

    def time(self, name: str, seconds: float, label: str = "") -> None:
        """Check that the metric exists."""
        METRICS[name]


class StatsdMetrics:
    """Metrics sent to a statsd daemon by UDP."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        self._client = statsd.StatsClient(host, port, prefix)

    def count(self, name: str, value: float = 1, label: str = "") -> None:
        """Add to a counter."""
        self._client.incr(_labelled(name, label), value)

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._client.gauge(_labelled(name, label), value)

    def time(self, name: str, seconds: float, label: str = "") -> None:
        """Record a duration, given in seconds."""
        self._client.timing(_labelled(name, label), seconds * 1000)


def _labelled(name: str, label: str) -> str:
    METRICS[name]
    return f"{name}.{label}" if label else name
