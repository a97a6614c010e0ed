"""Report burn rates and error budgets of the service-level objectives."""

from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from teaselctl.burn import ALERTS, BurnReport, Row, merge
from teaselctl.client import Client
from teaselctl.options import FLAGS
from teaselctl.output import CommandError, Output, table

__all__ = ["report_text", "run"]


def _cells(row: Row) -> dict[str, Any]:
    left = row.budget_left
    cells: dict[str, Any] = {
        "organisation": row.organisation,
        "service": row.service,
        "kind": row.kind,
        "objective": f"{100 * row.target:g}% in {row.latency_seconds:g} s",
        "good": row.good,
        "bad": row.bad,
        "budget_left": None if left is None else f"{100 * left:.0f}%",
        "alert": row.alert or None,
        "p95_s": row.quantile(0.95),
    }
    for alert in ALERTS:
        cells[f"burn_{alert.short_seconds}s"] = row.burn(alert.short_seconds)
        cells[f"burn_{alert.long_seconds}s"] = row.burn(alert.long_seconds)
    return cells


def report_text(report: BurnReport) -> str:
    """Return the report as a table, followed by the gaps in its data."""
    windows = sorted({w for a in ALERTS for w in (a.short_seconds, a.long_seconds)})
    columns = ["organisation", "service", "kind", "objective", "good", "bad"]
    columns += ["budget_left", "alert", "p95_s", *(f"burn_{w}s" for w in windows)]
    lines = [table(columns, (_cells(row) for row in report.rows))]
    for names, text in ((report.missing, "no answer"), (report.wrong, "wrong answer")):
        if names:
            listed = ", ".join(names)
            lines.append(f"{text} from {listed}: what they served is not counted")
    if report.evicted:
        lines.append(f"routers dropped {report.evicted} series for want of room")
    covered = [f"{w} s {100 * report.coverage(w):.0f}%" for w in windows]
    lines.append(f"part of each window that is covered: {', '.join(covered)}")
    return "\n".join(lines)


def _write_page(path: str, report: BurnReport) -> None:
    # matplotlib, which only the page needs, takes a second to import
    from teaselctl.burnpage import burn_page  # noqa: PLC0415

    try:
        Path(path).write_text(burn_page(report))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None


async def run(args: list[str]) -> Output:
    """Fetch the counts of all routers and print the merged report."""
    if args != ["burn"]:
        raise CommandError("report takes one argument, burn")
    client = Client.from_flags(FLAGS)
    query = urlencode({"service": FLAGS.service, "organisation": FLAGS.organisation})
    report = merge(await client.get_from_all(f"/v1/objectives?{query}"))
    text = report_text(report)
    if FLAGS.html:
        _write_page(FLAGS.html, report)
        text += f"\npage: {FLAGS.html}"
    return Output(report.to_dict(), text)
