"""Tests of the burn report that is merged from the counts of all routers."""

import re

from teaselctl.burn import ALERTS, merge
from teaselctl.burnpage import burn_page
from teaselctl.commands.report import report_text
from teaselledge.process.objectives import WINDOWS
from teaselledge.process.sketches import encode_sketch, new_sketch

HOUR = 3600


def answer(good, bad, organisation="amber", uptime=72 * HOUR, target=0.99):
    sketch = new_sketch()
    for _ in range(good + bad):
        sketch.add(0.5)
    return {
        "uptime": uptime,
        "evicted": 0,
        "series": [
            {
                "objective": "work",
                "organisation": organisation,
                "service": "models",
                "kind": "work",
                "target": target,
                "seconds": 1.0,
                "window": 72.0 * HOUR,
                "counts": {str(window): [good, bad] for window in WINDOWS},
                "budget": [good, bad],
                "sketch": encode_sketch(sketch),
            }
        ],
    }


def test_counts_of_all_routers_add_up():
    report = merge({"r1": answer(990, 10), "r2": answer(995, 5)})
    (row,) = report.rows
    assert (row.good, row.bad) == (1985, 15)
    assert abs(row.burn(HOUR) - 0.75) < 1e-9
    assert abs(row.budget_left - 0.25) < 1e-9
    assert abs(row.quantile(0.95) - 0.5) < 0.02
    assert report.coverage(72 * HOUR) == 1.0


def test_routers_without_valid_response_are_reported_and_not_covered():
    """Requests of routers without a valid response must not be taken for good ones.

    One router doesn't respond, one sends a malformed response, one a sketch that
    would fill memory. The report names them and counts their time as not covered.
    """
    broken = answer(5, 5)
    broken["series"][0]["sketch"] = {"2000000000": 1.0}
    report = merge(
        {"r1": answer(990, 10), "r2": None, "r3": {"series": "?"}, "r4": broken}
    )
    assert (report.missing, report.wrong) == (("r2",), ("r3", "r4"))
    assert report.coverage(HOUR) == 0.25
    assert (report.rows[0].good, report.rows[0].bad) == (990, 10)
    text = report_text(report)
    assert "no answer from r2" in text and "wrong answer from r3, r4" in text
    page = burn_page(report)
    assert "r2 gave no answer" in page and "r3, r4 gave an answer that" in page


def test_alert_needs_both_windows_above_threshold():
    """A burst that ended within the long window must not raise an alert any more."""
    burning = answer(50, 50)
    assert merge({"r1": burning}).rows[0].alert == "page"
    ended = answer(50, 50)
    for alert in ALERTS:
        ended["series"][0]["counts"][str(alert.short_seconds)] = [100, 0]
    assert merge({"r1": ended}).rows[0].alert == ""
    slow = answer(98, 2)
    assert merge({"r1": slow}).rows[0].alert == "ticket"
    assert merge({"r1": answer(999, 1)}).rows[0].alert == ""


def test_rows_are_ordered_by_budget_left_and_names_are_escaped():
    report = merge(
        {
            "r1": answer(999, 1, "calm"),
            "r2": answer(900, 100, "<b>worst"),
            "r3": answer(0, 0, "quiet"),
        }
    )
    assert [row.organisation for row in report.rows] == ["<b>worst", "calm", "quiet"]
    page = burn_page(report)
    assert "<b>" not in page and "&lt;b&gt;worst" in page
    assert len(re.findall(r"data:image/png;base64,", page)) == 2
    assert "http" not in page


def test_empty_fleet_makes_an_empty_report():
    report = merge({})
    assert report.rows == () and report.coverage(HOUR) == 0.0
    assert "(none)" in report_text(report)
    assert burn_page(report)
