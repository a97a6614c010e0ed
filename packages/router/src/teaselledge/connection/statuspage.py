"""Status of a router as an HTML page."""

from collections.abc import Iterable, Mapping
from html import escape
from typing import Any

__all__ = ["status_page"]

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem; color: #222; }
table { border-collapse: collapse; margin: 0 0 1.5rem; }
th, td { border-bottom: 1px solid #ddd; padding: .3rem .8rem; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.look { background: #fde8e4; }
h2 { font-size: 1.05rem; margin: 1.5rem 0 .4rem; }
"""

MAX_ROWS = 1000


def _cell(value: Any) -> str:
    if value is None:
        return "<td>not measured</td>"
    if isinstance(value, bool):
        return f"<td>{'yes' if value else 'no'}</td>"
    if isinstance(value, int | float):
        return f'<td class="number">{value:,.6g}</td>'
    return f"<td>{escape(str(value))}</td>"


def _table(
    title: str, columns: Iterable[str], rows: Iterable[Mapping[str, Any]]
) -> str:
    names = list(columns)
    head = "".join(f"<th>{escape(name.replace('_', ' '))}</th>" for name in names)
    lines = []
    for row in list(rows)[:MAX_ROWS]:
        row_class = ' class="look"' if row.get("state") == "look" else ""
        cells = "".join(_cell(row.get(name)) for name in names)
        lines.append(f"<tr{row_class}>{cells}</tr>")
    if not lines:
        return f"<h2>{escape(title)}</h2><p>None.</p>"
    body = "\n".join(lines)
    return f"<h2>{escape(title)}</h2><table><tr>{head}</tr>\n{body}</table>"


def status_page(report: Mapping[str, Any]) -> str:
    """Return the page, which loads no other resources."""
    vm = escape(str(report["vm"]))
    configuration = report["configuration"]
    parts = [
        f"<h1>Router {vm}</h1>",
        f"<p>Zone {escape(report['zone'])}, region {escape(report['region'])}, "
        f"version {configuration['in_force']} in force, "
        f"{report['waiting']} waiting, {report['running']} running.</p>",
        _table(
            "Health",
            ("name", "value", "unit", "limit", "state", "meaning"),
            report["health"],
        ),
        _table(
            "Routers",
            ("vm", "zone", "region", "version", "leaving", "load"),
            report["members"],
        ),
        _table(
            "Services",
            ("service", "zone", "endpoints", "slots", "leaving"),
            report["services"],
        ),
        _table(
            "Shards dispatched here",
            ("service", "zone", "waiting", "running", "free", "rate", "gap"),
            report["shards"],
        ),
        _table(
            "Shares",
            (
                "service",
                "zone",
                "organisation",
                "share",
                "served",
                "waiting",
                "lead",
            ),
            report["shares"],
        ),
        _table(
            "Counters since the start",
            ("name", "value"),
            ({"name": k, "value": v} for k, v in sorted(report["totals"].items())),
        ),
    ]
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Router {vm}</title><style>{STYLE}</style>" + "\n".join(parts)
    )
