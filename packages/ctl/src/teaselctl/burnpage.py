"""The burn report as an HTML page with plots."""

import base64
import io
from html import escape
from typing import Any

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from teaselctl.burn import ALERTS, BurnReport, Row

__all__ = ["budget_figure", "burn_figure", "burn_page"]

mpl.use("agg")

MAX_PLOTTED_ROWS = 24
"""Rows in a plot: those with the least error budget left."""

DPI = 110
GREEN, AMBER, RED = "#2f7d5b", "#c98a1b", "#b3372b"
BURN_TICKS = (0, 0.5, 1, 2, 5, 10, 20, 50, 100)
WINDOW_MARKERS: dict[int, tuple[str, str]] = {
    300: ("|", "#888888"),
    3600: ("o", "#1f5fa8"),
    21_600: ("s", "#7a4fa3"),
    86_400: ("D", "#222222"),
}
"""Marker and colour of each window in the plot of burn rates."""

ALERT_WINDOW_SECONDS = sorted(
    {window for alert in ALERTS for window in (alert.short_seconds, alert.long_seconds)}
)
"""Windows that alerts depend on, in ascending order."""

ALERT_COLOURS = {"": GREEN, "ticket": AMBER, "page": RED}

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 1100px;
  padding: 0 1rem; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid #ddd; padding: .3rem .6rem; text-align: right; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
tr.page { background: #fbe3e0; } tr.ticket { background: #fdf1d8; }
img { max-width: 100%; } .gap { color: #b3372b; font-weight: 600; }
.scroll { overflow-x: auto; }
"""


def row_label(row: Row) -> str:
    """Return the label of a row in a plot."""
    return f"{row.organisation}  {row.service} / {row.kind}"


def _format_axes(axes: Axes, rows: list[Row]) -> None:
    axes.set_yticks(range(len(rows)), [row_label(row) for row in rows], fontsize=8)
    axes.invert_yaxis()
    axes.grid(axis="x", color="#ddd", linewidth=0.6)
    axes.set_axisbelow(True)
    for side in ("top", "right", "left"):
        axes.spines[side].set_visible(False)
    axes.tick_params(axis="y", length=0)


def budget_figure(report: BurnReport) -> Figure:
    """Plot the remaining error budget, in ascending order."""
    rows = [row for row in report.rows if row.budget_left is not None][
        :MAX_PLOTTED_ROWS
    ]
    figure = Figure(figsize=(9, 1.4 + 0.28 * max(1, len(rows))), layout="constrained")
    axes = figure.subplots()
    left = [100 * (row.budget_left or 0.0) for row in rows]
    # clipped at -100%, so that far overspent rows don't compress the scale for
    # all others; the label has the true value
    clipped = [max(-100.0, value) for value in left]
    colours = [RED if v <= 0 else AMBER if v < 50 else GREEN for v in left]  # noqa: PLR2004
    axes.barh(range(len(rows)), clipped, color=colours, height=0.66)
    for i, (value, x) in enumerate(zip(left, clipped, strict=True)):
        side, align = (3, "left") if x >= 0 else (-3, "right")
        axes.annotate(
            f"{value:.0f}%",
            (x, i),
            (side, 0),
            textcoords="offset points",
            va="center",
            ha=align,
            fontsize=8,
        )
    _format_axes(axes, rows)
    axes.axvline(0, color="#555", linewidth=0.8)
    axes.set_xlim(-118 if any(v < 0 for v in clipped) else 0, 112)
    axes.set_xlabel("error budget left, % of the objective's window")
    axes.set_title("Error budget left, the worst first", loc="left", fontsize=11)
    return figure


def burn_figure(report: BurnReport) -> Figure:
    """Plot the burn rates over the long and short windows."""
    rows = [row for row in report.rows if row.burn(ALERTS[0].long_seconds) is not None]
    rows = rows[:MAX_PLOTTED_ROWS]
    figure = Figure(figsize=(9, 1.6 + 0.28 * max(1, len(rows))), layout="constrained")
    axes = figure.subplots()
    for y, row in enumerate(rows):
        burns = [b for w in WINDOW_MARKERS if (b := row.burn(w)) is not None]
        axes.plot([min(burns), max(burns)], [y, y], color="#ccc", linewidth=2, zorder=2)
    for window, (marker, colour) in WINDOW_MARKERS.items():
        points = [(row.burn(window), y) for y, row in enumerate(rows)]
        found = [(burn, y) for burn, y in points if burn is not None]
        axes.scatter(
            [burn for burn, _ in found],
            [y for _, y in found],
            s=30,
            marker=marker,
            color=colour,
            label=span_text(window),
            zorder=3,
        )
    _format_axes(axes, rows)
    for label, row in zip(axes.get_yticklabels(), rows, strict=True):
        label.set_color(ALERT_COLOURS[row.alert] if row.alert else "#222")
    axes.axvline(1, color="#555", linewidth=0.9, linestyle="--")
    axes.set_xscale("symlog", linthresh=1)
    largest = max(
        (b for r in rows for w in WINDOW_MARKERS if (b := r.burn(w))), default=1.0
    )
    ticks = [tick for tick in BURN_TICKS if tick <= max(2.0, 1.6 * largest)]
    axes.set_xticks(ticks, [f"{tick:g}" for tick in ticks])
    axes.set_xticks([], minor=True)
    axes.set_xlim(-0.05, max(2.0, 1.3 * largest))
    axes.set_xlabel("burn rate (1 spends the budget exactly in its window)")
    axes.set_title(
        "Burn rate by window; names in red or amber have an alert",
        loc="left",
        fontsize=11,
    )
    axes.legend(
        title="window",
        fontsize=8,
        title_fontsize=8,
        loc="upper left",
        bbox_to_anchor=(1.01, 1.0),
        frameon=False,
    )
    return figure


def span_text(seconds: float) -> str:
    """Return a time span in the largest unit that it reaches."""
    for unit, length in (("d", 86_400), ("h", 3600), ("min", 60)):
        if seconds >= length:
            return f"{seconds / length:g} {unit}"
    return f"{seconds:g} s"


def _image_tag(figure: Figure, text: str) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DPI)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<p><img alt="{escape(text)}" src="data:image/png;base64,{data}"></p>'


def _format_number(value: float | None, form: str = ".3g") -> str:
    return "–" if value is None else format(value, form)


def _table_row(row: Row) -> str:
    left = row.budget_left
    cells: list[Any] = [
        row.organisation,
        f"{row.service} / {row.kind}",
        row.alert or "none",
        f"{100 * row.target:g}% in {row.latency_seconds:g} s",
        span_text(row.window_seconds),
        row.good,
        row.bad,
        _format_number(None if left is None else 100 * left, ".0f"),
        *(_format_number(row.burn(window)) for window in ALERT_WINDOW_SECONDS),
        _format_number(row.quantile(0.95)),
    ]
    body = "".join(f"<td>{escape(str(cell))}</td>" for cell in cells)
    return f'<tr class="{escape(row.alert)}">{body}</tr>'


def _notes(report: BurnReport) -> str:
    notes = []
    for names, text in (
        (report.missing, "gave no answer"),
        (report.wrong, "gave an answer that can't be read"),
    ):
        if names:
            listed = escape(", ".join(names))
            notes.append(
                f'<p class="gap">{listed} {text}; what they served is not counted.</p>'
            )
    if report.evicted:
        notes.append(
            f"<p>Routers dropped {report.evicted} series for want of room.</p>"
        )
    longest = max((a.long_seconds for a in ALERTS), default=0)
    parts = [
        f"{span_text(w)}: {100 * report.coverage(w):.0f}%"
        for w in (300, 3600, 21_600, longest)
    ]
    notes.append(
        "<p>Routers count in memory and lose it at a restart. Part of each window "
        f"that the counts cover: {', '.join(parts)}.</p>"
    )
    return "\n".join(notes)


def burn_page(report: BurnReport) -> str:
    """Return the report as a self-contained HTML page."""
    burning = [row for row in report.rows if row.alert]
    burns = "".join(
        f"<th>burn {span_text(window)}</th>" for window in ALERT_WINDOW_SECONDS
    )
    head = (
        "<tr><th>organisation</th><th>service / kind</th><th>alert</th>"
        "<th>objective</th><th>window</th><th>good</th><th>bad</th>"
        f"<th>budget left %</th>{burns}<th>p95 s</th></tr>"
    )
    return "\n".join(
        [
            '<!doctype html><html lang="en"><meta charset="utf-8">',
            f"<title>Service-level burn</title><style>{STYLE}</style>",
            "<h1>Service-level burn</h1>",
            f"<p>{len(report.rows)} objectives watched over "
            f"{len(report.uptimes)} routers; {len(burning)} with an alert.</p>",
            _notes(report),
            _image_tag(budget_figure(report), "error budget left by organisation"),
            _image_tag(burn_figure(report), "burn rate by window and organisation"),
            f'<div class="scroll"><table>{head}',
            *(_table_row(row) for row in report.rows),
            "</table></div></html>",
        ]
    )
