"""Count good and bad events against the service-level objectives.

Everything is kept in memory: a VM has no disk, and a restart loses what its
router counted. Reports say for each window how much of it the routers cover.
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
"""Seconds of the windows that routers report."""

MAX_SERIES = 2000
"""Organisations, services and kinds that one router counts apart."""

SKETCH_SECONDS = 3600


@dataclass(frozen=True)
class Level:
    """Buckets of one width.

    Attributes
    ----------
    width : int
        Seconds of a bucket.
    count : int
        Buckets that are kept.
    """

    width: int
    count: int

    @property
    def seconds(self) -> int:
        """Time that the level spans."""
        return self.width * self.count


LEVELS: tuple[Level, ...] = (Level(60, 60), Level(600, 36), Level(3600, 72))
"""Narrow buckets for short windows, wide ones for long windows."""

SeriesKey = tuple[str, str, str]
"""Organisation, service and kind."""


class _Ring:
    """Good and bad events in the buckets of one level."""

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
        """Return good and bad events of the last so many seconds."""
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
    """What one organisation saw of one kind of request."""

    def __init__(self, now: float) -> None:
        self.rings = [_Ring(level, now) for level in LEVELS]
        self._hour = int(now // SKETCH_SECONDS)
        self._sketches = [new_sketch(), new_sketch()]

    def add(self, now: float, seconds: float, good: bool) -> None:
        for ring in self.rings:
            ring.add(now, good)
        self._turn(now)
        add_seconds(self._sketches[0], seconds)

    def sums(self, now: float, seconds: int) -> tuple[int, int]:
        for level, ring in zip(LEVELS, self.rings, strict=True):
            if seconds <= level.seconds:
                return ring.sums(now, seconds)
        return self.rings[-1].sums(now, seconds)

    def sketch(self, now: float) -> DDSketch:
        """Return the durations of this hour and the one before."""
        self._turn(now)
        merged = new_sketch()
        for sketch in self._sketches:
            merged.merge(sketch)
        return merged

    def _turn(self, now: float) -> None:
        hour = int(now // SKETCH_SECONDS)
        if hour == self._hour:
            return
        previous = self._sketches[0] if hour == self._hour + 1 else new_sketch()
        self._sketches = [new_sketch(), previous]
        self._hour = hour


class ObjectiveTracker:
    """Counts the requests of one router.

    Parameters
    ----------
    version : callable
        The configuration in force.
    """

    def __init__(self, version: Callable[[], Version | None]) -> None:
        self._version = version
        self._series: OrderedDict[SeriesKey, _Series] = OrderedDict()
        self._evicted = 0
        self._started: float | None = None
        self._document: Document | None = None
        self._by_kind: dict[tuple[str, str], list[tuple[str, Objective]]] = {}

    def record(
        self, organisation: str, service: str, kind: str, seconds: float, failed: bool
    ) -> None:
        """Count one request that ended.

        Parameters
        ----------
        organisation, service, kind : str
            Names from the document.
        seconds : float
            From arrival to the end of the answer.
        failed : bool
            Whether the system failed it; a caller's own mistake is no failure.
        """
        found = self._objective(organisation, service, kind)
        if found is None:
            return
        now = self._now()
        self._begin(now)
        key = (organisation, service, kind)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series(now)
            if len(self._series) > MAX_SERIES:
                # organisations that come and go must not fill the memory; the
                # report says that something was dropped
                self._series.popitem(last=False)
                self._evicted += 1
        self._series.move_to_end(key)
        good = not failed and seconds <= found[1].seconds
        series.add(now, seconds, good)

    def report(self, service: str = "", organisation: str = "") -> dict[str, Any]:
        """Return what was counted, as plain values for JSON."""
        now = self._now()
        entries = []
        for (who, where, kind), series in self._series.items():
            if service not in ("", where) or organisation not in ("", who):
                continue
            found = self._objective(who, where, kind)
            if found is None:
                continue
            name, objective = found
            entries.append(
                {
                    "objective": name,
                    "organisation": who,
                    "service": where,
                    "kind": kind,
                    "target": objective.target,
                    "seconds": objective.seconds,
                    "window": objective.window_hours * 3600,
                    "counts": {str(w): series.sums(now, w) for w in WINDOWS},
                    "budget": series.sums(now, int(objective.window_hours * 3600)),
                    "sketch": encode_sketch(series.sketch(now)),
                }
            )
        return {
            "uptime": now - self._begin(now),
            "evicted": self._evicted,
            "series": entries,
        }

    def start(self) -> None:
        """Note the time from which events are counted."""
        self._begin(self._now())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _begin(self, now: float) -> float:
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
            self._index(version.document)
        general = None
        for name, objective in self._by_kind.get((service, kind), ()):
            if organisation in objective.organisations:
                return name, objective
            if not objective.organisations:
                general = (name, objective)
        return general

    def _index(self, document: Document) -> None:
        self._document = document
        self._by_kind = {}
        for name, objective in document.objectives.items():
            key = (objective.service, objective.kind)
            self._by_kind.setdefault(key, []).append((name, objective))
