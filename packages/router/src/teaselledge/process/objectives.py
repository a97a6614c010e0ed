"""Counts of good and bad events against the service-level objectives.

The counts are kept in memory only, since a VM has no disk; a restart loses them. A
report contains the router's uptime, which shows how much of each window it covers.
"""

import asyncio
from array import array
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ddsketch import DDSketch

from teaselledge.process.sketches import add_seconds, encode_sketch, new_sketch
from teaselledge.version.document import Document, Objective, Version

__all__ = ["LEVELS", "MAX_SERIES", "WINDOWS", "ObjectiveTracker"]

WINDOWS: tuple[int, ...] = (300, 1800, 3600, 7200, 21_600, 86_400, 259_200)
"""Windows that routers report, in seconds."""

MAX_SERIES = 2000
"""Maximum number of series, each for an organisation, service and kind."""

SKETCH_SECONDS = 3600


@dataclass(frozen=True)
class Level:
    """Width and number of the buckets of one ring.

    Attributes
    ----------
    width : int
        Width of a bucket in seconds.
    count : int
        Number of buckets.
    """

    width: int
    count: int

    @property
    def seconds(self) -> int:
        """Time covered by all buckets."""
        return self.width * self.count


LEVELS: tuple[Level, ...] = (Level(60, 60), Level(600, 36), Level(3600, 72))
"""Narrow buckets for short windows, wide ones for long windows."""

SeriesKey = tuple[str, str, str]
"""Organisation, service and kind."""


class _Ring:
    """Ring buffer of good and bad events in the buckets of one level."""

    def __init__(self, level: Level, now: float) -> None:
        self._level = level
        self._good = array("I", bytes(4 * level.count))
        self._bad = array("I", bytes(4 * level.count))
        self._last = int(now // level.width)

    def add(self, now: float, good: bool) -> None:
        self._advance(now)
        counts = self._good if good else self._bad
        counts[self._last % self._level.count] += 1

    def sums(self, now: float, seconds: int) -> tuple[int, int]:
        """Return the numbers of good and bad events in the last `seconds`."""
        self._advance(now)
        level = self._level
        buckets = min(level.count, max(1, seconds // level.width))
        slots = [(self._last - i) % level.count for i in range(buckets)]
        return sum(self._good[s] for s in slots), sum(self._bad[s] for s in slots)

    def _advance(self, now: float) -> None:
        number = int(now // self._level.width)
        passed = min(number - self._last, self._level.count)
        for i in range(1, passed + 1):
            slot = (self._last + i) % self._level.count
            self._good[slot] = self._bad[slot] = 0
        self._last = max(self._last, number)


class _Series:
    """Events and durations of one organisation, service and kind."""

    def __init__(self, now: float) -> None:
        self.rings = [_Ring(level, now) for level in LEVELS]
        self._hour = int(now // SKETCH_SECONDS)
        self._sketches = [new_sketch(), new_sketch()]

    def add(self, now: float, seconds: float, good: bool) -> None:
        for ring in self.rings:
            ring.add(now, good)
        self._rotate(now)
        add_seconds(self._sketches[0], seconds)

    def sums(self, now: float, seconds: int) -> tuple[int, int]:
        for level, ring in zip(LEVELS, self.rings, strict=True):
            if seconds <= level.seconds:
                return ring.sums(now, seconds)
        return self.rings[-1].sums(now, seconds)

    def sketch(self, now: float) -> DDSketch:
        """Return the sketch of the durations in this hour and the previous one."""
        self._rotate(now)
        merged = new_sketch()
        for sketch in self._sketches:
            merged.merge(sketch)
        return merged

    def _rotate(self, now: float) -> None:
        hour = int(now // SKETCH_SECONDS)
        if hour == self._hour:
            return
        previous = self._sketches[0] if hour == self._hour + 1 else new_sketch()
        self._sketches = [new_sketch(), previous]
        self._hour = hour


class ObjectiveTracker:
    """Counts the requests of one router against the objectives.

    Parameters
    ----------
    version : callable
        Returns the configuration in force.
    """

    def __init__(self, version: Callable[[], Version | None]) -> None:
        self._version = version
        self._series: OrderedDict[SeriesKey, _Series] = OrderedDict()
        self._evicted = 0
        self._started: float | None = None
        self._document: Document | None = None
        self._objectives_by_kind: dict[
            tuple[str, str], list[tuple[str, Objective]]
        ] = {}

    def record(
        self, organisation: str, service: str, kind: str, seconds: float, failed: bool
    ) -> None:
        """Count one request that ended.

        Parameters
        ----------
        organisation, service, kind : str
            Names from the document.
        seconds : float
            Time from arrival to the end of the response.
        failed : bool
            Whether the system failed the request; a caller's error does not count.
        """
        found = self._objective(organisation, service, kind)
        if found is None:
            return
        now = self._now()
        self._ensure_started(now)
        key = (organisation, service, kind)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series(now)
            if len(self._series) > MAX_SERIES:
                # changing organisations must not fill the memory; the report
                # contains the number of evicted series
                self._series.popitem(last=False)
                self._evicted += 1
        self._series.move_to_end(key)
        good = not failed and seconds <= found[1].seconds
        series.add(now, seconds, good)

    def report(self, service: str = "", organisation: str = "") -> dict[str, Any]:
        """Return the counts as plain values for JSON."""
        now = self._now()
        entries = []
        for (series_organisation, series_service, kind), series in self._series.items():
            if service not in ("", series_service) or organisation not in (
                "",
                series_organisation,
            ):
                continue
            found = self._objective(series_organisation, series_service, kind)
            if found is None:
                continue
            name, objective = found
            entries.append(
                {
                    "objective": name,
                    "organisation": series_organisation,
                    "service": series_service,
                    "kind": kind,
                    "target": objective.target,
                    "seconds": objective.seconds,
                    "window": objective.window_hours * 3600,
                    "counts": {
                        str(window): series.sums(now, window) for window in WINDOWS
                    },
                    "budget": series.sums(now, int(objective.window_hours * 3600)),
                    "sketch": encode_sketch(series.sketch(now)),
                }
            )
        return {
            "uptime": now - self._ensure_started(now),
            "evicted": self._evicted,
            "series": entries,
        }

    def start(self) -> None:
        """Record the time from which events are counted."""
        self._ensure_started(self._now())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _ensure_started(self, now: float) -> float:
        if self._started is None:
            self._started = now
        return self._started

    def _objective(
        self, organisation: str, service: str, kind: str
    ) -> tuple[str, Objective] | None:
        version = self._version()
        if version is None:
            return None
        if version.document is not self._document:
            self._index_objectives(version.document)
        general = None
        for name, objective in self._objectives_by_kind.get((service, kind), ()):
            if organisation in objective.organisations:
                return name, objective
            if not objective.organisations:
                general = (name, objective)
        return general

    def _index_objectives(self, document: Document) -> None:
        self._document = document
        self._objectives_by_kind = {}
        for name, objective in document.objectives.items():
            key = (objective.service, objective.kind)
            self._objectives_by_kind.setdefault(key, []).append((name, objective))
