"""Tests of the page of metrics."""

from teaselledge_fleet.process.metrics import METRICS, FleetMetrics

COLLECTED_BYTES = 4096
"""What a collector may keep of each page."""


def test_gauges_stand_before_what_grows_with_services():
    """Of a cut page, on-call needs how busy a router is more than its histograms."""
    metrics = FleetMetrics()
    for service in range(10):
        metrics.observe("request_seconds", 0.1, service=f"s{service}")
        metrics.count("requests", outcome="whole", fault="", service=f"s{service}")
    page = metrics.text()[:COLLECTED_BYTES].decode()
    for name, metric in METRICS.items():
        if metric.kind == "gauge":
            assert f"\nteaselledge_{name} " in page, name
