"""Tests of the metrics page."""

from teaselledge_fleet.process.metrics import METRICS, FleetMetrics
from teaselledge_fleet.process.metricspage import metrics_page

MAX_COLLECTED_BYTES = 4096
"""Size to which a collector may truncate the page."""


def test_gauges_precede_metrics_that_grow_with_services():
    """From a truncated page, operators need the router's utilisation most."""
    metrics = FleetMetrics()
    for service in range(10):
        metrics.observe("request_seconds", 0.1, service=f"s{service}")
        metrics.increment("requests", outcome="whole", fault="", service=f"s{service}")
    page = metrics_page(metrics)[:MAX_COLLECTED_BYTES].decode()
    for name, metric in METRICS.items():
        if metric.kind == "gauge":
            assert f"\nteaselledge_{name} " in page, name


def test_page_contains_the_counted_values():
    metrics = FleetMetrics()
    metrics.set("store_calls", 7)
    metrics.increment("attempts", outcome="whole", service="books")
    metrics.increment("attempts", outcome="whole", service="books")
    for seconds in (0.05, 0.1, 99.0):
        metrics.observe("pause_seconds", seconds, service="books")
    lines = metrics_page(metrics).decode().splitlines()
    for expected in (
        "teaselledge_store_calls_total 7.0",
        'teaselledge_attempts_total{outcome="whole",service="books"} 2.0',
        'teaselledge_pause_seconds_bucket{le="0.05",service="books"} 1.0',
        'teaselledge_pause_seconds_bucket{le="0.1",service="books"} 2.0',
        'teaselledge_pause_seconds_bucket{le="8.0",service="books"} 2.0',
        'teaselledge_pause_seconds_bucket{le="+Inf",service="books"} 3.0',
        'teaselledge_pause_seconds_count{service="books"} 3.0',
    ):
        assert expected in lines, expected


def test_page_names_organisations_with_their_tokens():
    metrics = FleetMetrics()
    metrics.replace("organisation_tokens", {("cellar", "requested"): 9.0})
    metrics.replace("organisation_tokens", {("cellar", "allocated"): 4.0})
    page = metrics_page(metrics).decode()
    expected = 'organisation_tokens_total{organisation="cellar",use="allocated"} 4.0'
    assert f"teaselledge_{expected}" in page.splitlines()
    assert "requested" not in page.replace("Tokens requested", "")
