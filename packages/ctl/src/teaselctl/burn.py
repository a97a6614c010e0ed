"""Merge the counts of all routers into burn rates and error budgets."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ddsketch import DDSketch
from pydantic import TypeAdapter, ValidationError
from teaselledge.process.sketches import add_sketch, new_sketch

__all__ = ["ALERTS", "Alert", "BurnReport", "Row", "merge"]


@dataclass(frozen=True)
class Alert:
    """An alert that holds while the burn rates of two windows exceed a limit.

    The long window prevents alerts for short bursts; the short window ends the
    alert soon after its cause has ended.

    Attributes
    ----------
    name : str
        ``page`` for immediate attention, ``ticket`` for working hours.
    long_seconds, short_seconds : int
        Lengths of the windows.
    budget_fraction : float
        Fraction of the error budget that may be spent within the long window.
    """

    name: str
    long_seconds: int
    short_seconds: int
    budget_fraction: float

    def threshold(self, window_seconds: float) -> float:
        """Return the burn rate above which the alert holds.

        ``window_seconds`` is the window of the objective.
        """
        return self.budget_fraction * window_seconds / self.long_seconds


ALERTS: tuple[Alert, ...] = (
    Alert("page", 3600, 300, 0.10),
    Alert("page", 21_600, 1800, 0.25),
    Alert("ticket", 86_400, 7200, 0.50),
)

QUANTILES = (0.5, 0.95, 0.99)


@dataclass(frozen=True)
class _Series:
    """Counts of one router for one kind of request, as it reports them."""

    objective: str
    organisation: str
    service: str
    kind: str
    target: float
    seconds: float
    window: float
    counts: dict[str, tuple[int, int]]
    budget: tuple[int, int]
    sketch: dict[str, float]


@dataclass(frozen=True)
class _RouterCounts:
    """Response of one router to a request for its counts."""

    uptime: float
    evicted: int
    series: list[_Series]


_counts_adapter = TypeAdapter(_RouterCounts)


@dataclass
class Row:
    """Counts of the whole fleet for an organisation, service and kind of request.

    Attributes
    ----------
    objective, organisation, service, kind : str
        What the counts belong to.
    target : float
        Fraction of requests that must be good.
    latency_seconds : float
        Duration within which a good request ends.
    window_seconds : float
        Time over which the target must be met.
    counts : dict of int to tuple of int
        Good and bad requests by length of the window in seconds.
    good, bad : int
        Requests in the objective's window.
    sketch : DDSketch
        Durations of requests in the last one to two hours.
    """

    objective: str
    organisation: str
    service: str
    kind: str
    target: float
    latency_seconds: float
    window_seconds: float
    counts: dict[int, tuple[int, int]] = field(default_factory=dict)
    good: int = 0
    bad: int = 0
    sketch: DDSketch = field(default_factory=new_sketch)

    @property
    def budget_left(self) -> float | None:
        """Remaining fraction of the error budget; negative when overspent."""
        if not self.good + self.bad:
            return None
        return 1.0 - self.bad / (self.good + self.bad) / (1.0 - self.target)

    @property
    def alert(self) -> str:
        """Name of the first alert that holds, or an empty string."""
        for alert in ALERTS:
            limit = alert.threshold(self.window_seconds)
            burns = [self.burn(alert.long_seconds), self.burn(alert.short_seconds)]
            if all(burn is not None and burn > limit for burn in burns):
                return alert.name
        return ""

    def burn(self, window_seconds: int) -> float | None:
        """Return the burn rate over a window, None without requests.

        At a rate of 1 the error budget lasts exactly for the objective's window.
        """
        good, bad = self.counts.get(window_seconds, (0, 0))
        if not good + bad:
            return None
        return bad / (good + bad) / (1.0 - self.target)

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile of the durations, in seconds."""
        return self.sketch.get_quantile_value(fraction)

    def add(self, series: _Series) -> None:
        """Add the counts of one router."""
        for window, (good, bad) in series.counts.items():
            old = self.counts.get(int(window), (0, 0))
            self.counts[int(window)] = (old[0] + good, old[1] + bad)
        self.good += series.budget[0]
        self.bad += series.budget[1]
        add_sketch(self.sketch, series.sketch)

    def to_dict(self) -> dict[str, Any]:
        """Return plain values for JSON."""
        return {
            "objective": self.objective,
            "organisation": self.organisation,
            "service": self.service,
            "kind": self.kind,
            "target": self.target,
            "seconds": self.latency_seconds,
            "window_hours": self.window_seconds / 3600,
            "good": self.good,
            "bad": self.bad,
            "budget_left": self.budget_left,
            "burn": {str(w): self.burn(w) for w in sorted(self.counts)},
            "alert": self.alert,
            "quantiles": {str(q): self.quantile(q) for q in QUANTILES},
        }


@dataclass(frozen=True)
class BurnReport:
    """Burn rates and error budgets of the fleet, and what they leave out.

    Attributes
    ----------
    rows : tuple of Row
        In ascending order of the remaining error budget.
    missing : tuple of str
        Routers that did not respond.
    wrong : tuple of str
        Routers whose response is malformed.
    uptimes : dict of str to float
        Seconds for which each router has been counting.
    evicted : int
        Series that routers dropped to limit their memory.
    """

    rows: tuple[Row, ...]
    missing: tuple[str, ...]
    wrong: tuple[str, ...]
    uptimes: dict[str, float]
    evicted: int

    def coverage(self, window_seconds: float) -> float:
        """Return the fraction of a window that the counts of all routers cover."""
        routers = len(self.uptimes) + len(self.missing) + len(self.wrong)
        if not routers:
            return 0.0
        covered = sum(min(up, window_seconds) for up in self.uptimes.values())
        return covered / (routers * window_seconds)

    def to_dict(self) -> dict[str, Any]:
        """Return plain values for JSON."""
        windows = sorted({w for row in self.rows for w in row.counts})
        return {
            "rows": [row.to_dict() for row in self.rows],
            "missing": list(self.missing),
            "wrong": list(self.wrong),
            "evicted": self.evicted,
            "coverage": {str(w): self.coverage(w) for w in windows},
        }


def _by_budget_left(row: Row) -> tuple[float, str, str, str]:
    left = row.budget_left
    rank = math.inf if left is None else left
    return rank, row.service, row.kind, row.organisation


def _decode(response: Any) -> _RouterCounts | None:
    try:
        decoded = _counts_adapter.validate_python(response)
        for series in decoded.series:
            add_sketch(new_sketch(), series.sketch)
    except (ValidationError, ValueError):
        return None
    return decoded


def merge(responses: Mapping[str, Any]) -> BurnReport:
    """Merge the responses of routers into one report.

    The report lists routers whose response is None or malformed, so that their
    requests are not taken for good ones.

    Parameters
    ----------
    responses : mapping of str to object
        Responses by VM, None for a router that did not respond.
    """
    rows: dict[tuple[str, ...], Row] = {}
    missing, wrong = [], []
    uptimes: dict[str, float] = {}
    evicted = 0
    for vm, response in sorted(responses.items()):
        if response is None:
            missing.append(vm)
            continue
        decoded = _decode(response)
        if decoded is None:
            wrong.append(vm)
            continue
        uptimes[vm] = decoded.uptime
        evicted += decoded.evicted
        _add_series(rows, decoded.series)
    ordered = tuple(sorted(rows.values(), key=_by_budget_left))
    return BurnReport(ordered, tuple(missing), tuple(wrong), uptimes, evicted)


def _add_series(
    rows: dict[tuple[str, ...], Row], all_series: Iterable[_Series]
) -> None:
    for series in all_series:
        key = (series.objective, series.organisation, series.service, series.kind)
        row = rows.get(key)
        if row is None:
            row = rows[key] = Row(*key, series.target, series.seconds, series.window)
        row.add(series)
