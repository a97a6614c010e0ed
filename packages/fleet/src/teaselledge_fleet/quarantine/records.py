"""Requests in flight at endpoints that ended, as reported by all routers."""

import asyncio
import math
import struct
import zlib
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from teaselledge_fleet.quarantine.verdicts import (
    MIN_EVENTS,
    Suspect,
    Verdict,
    find_verdicts,
)

_ReportKey = tuple[int, int]
"""Hashes of the content and of the endpoint."""

__all__ = [
    "MAX_SERVED_COUNT",
    "SERVED",
    "EndRecords",
    "EndReport",
    "EndSummary",
]

RETENTION_SECONDS = 600.0
"""Time for which a report counts. A caller that never stops trying ends some endpoints
each time."""

MAX_REPORTS = 4096
"""Maximum number of reports of ends, those in flight at some 80 endpoints."""

MAX_SERVED_TRAITS = 4096
"""Maximum number of traits that are known to have been served."""

MAX_SERVED_COUNT = 8
"""Served requests that weigh against events. A trait that many requests have may become
fatal by a change of the endpoints' software."""

MIN_SERVED_GAP_SECONDS = 1.0
"""Time by which a report of the same service must be later to be passed on. Times of
reports shift by some milliseconds with each router that passes them on."""

SUMMARY_SECONDS = 1.0
"""Time after which a summary is computed again, as reports expire."""

SUMMARY_FORMAT = struct.Struct("!QI")
MAX_INT32 = 0x7FFFFFFF

SERVED = 0
"""Takes the place of the endpoint in the report of a trait that was served."""


@dataclass(frozen=True)
class EndReport:
    """An endpoint ended while it had a request, or a request was served in full.

    Attributes
    ----------
    content : int
        Hash of the request's content; of the trait if it was served.
    endpoint : int
        Hash of the endpoint that ended, or `SERVED`.
    at : float
        Loop time.
    segments : tuple of int
        Hashes of the shared segments of the request's prompt.
    served_count : int
        Number of requests with the trait that were served shortly before.
    """

    content: int
    endpoint: int
    at: float
    segments: tuple[int, ...] = ()
    served_count: int = 0

    @property
    def traits(self) -> frozenset[int]:
        """The content and the segments."""
        return frozenset((self.content, *self.segments))


@dataclass(frozen=True)
class EndSummary:
    """What tells whether two routers have the same reports.

    Attributes
    ----------
    count : int
        Number of reports.
    digest : int
        Digest of 31 bits of their contents and endpoints.
    """

    count: int = 0
    digest: int = 0


class EndRecords:
    """Reports of all routers, merged; their order makes no difference.

    A trait that was served in full does not end endpoints, so that ends before count no
    longer: traits that many requests have are in flight whenever an endpoint ends.

    Parameters
    ----------
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._ends: OrderedDict[_ReportKey, EndReport] = OrderedDict()
        """Reports of ends by content and endpoint."""
        self._served: OrderedDict[int, EndReport] = OrderedDict()
        """Reports of traits that were served, by trait."""
        self._by_trait: defaultdict[int, dict[_ReportKey, EndReport]] = defaultdict(
            dict
        )
        """Reports of ends since a trait was served, by the trait."""
        self._frequent: set[int] = set()
        """Traits with so many of them that they may be refused."""
        self._verdicts: list[Verdict] | None = []
        """None if they have to be found again."""
        self._summary = EndSummary()
        self._summarised_at = -math.inf

    def __len__(self) -> int:
        return len(self._ends)

    @property
    def verdicts(self) -> list[Verdict]:
        """What is refused, or was until some time ago."""
        if self._verdicts is None:
            self._verdicts = find_verdicts(self._suspects())
        return self._verdicts

    @property
    def quarantined_count(self) -> int:
        """Number of combinations of traits that are refused."""
        self._expire()
        now = self._clock()
        return sum(now < verdict.until for verdict in self.verdicts)

    @property
    def reports(self) -> list[EndReport]:
        """The reports that count, those of refused requests and the last ones first."""
        self._expire()
        refused: list[EndReport] = []
        others: list[EndReport] = []
        for report in reversed(self._ends.values()):
            applies = self.find_verdict(report.traits, report.content) is not None
            (refused if applies else others).append(report)
        return [*refused, *others, *reversed(self._served.values())]

    @property
    def summary(self) -> EndSummary:
        """Summary of the reports that count."""
        now = self._clock()
        known = self._ends or self._served
        if known and now >= self._summarised_at + SUMMARY_SECONDS:
            self._expire()
            self._summary, self._summarised_at = self._summarise(), now
        return self._summary

    def add(self, report: EndReport) -> bool:
        """Add a report; return whether it was new."""
        if report.at < self._oldest:
            return False
        self._expire()
        if report.endpoint == SERVED:
            is_new = self._add_served(report)
        else:
            is_new = self._add_end(report)
        if is_new:
            self._summarised_at = -math.inf
        return is_new

    def merge(self, reports: Iterable[EndReport]) -> list[EndReport]:
        """Add reports and return the new ones."""
        return [report for report in reports if self.add(report)]

    def served_since(self, report: EndReport) -> list[EndReport]:
        """Return the reports of traits of an end that were served after it."""
        served = (self._served.get(trait) for trait in report.traits)
        return [each for each in served if each is not None and each.at >= report.at]

    def ended_count(self, trait: int) -> int:
        """Return how many endpoints ended under a trait since it was served."""
        return len(self._ended_at(trait))

    def served_count(self, trait: int) -> int:
        """Return how many requests with a trait were served before its last ends."""
        served = self._served.get(trait)
        return served.served_count if served is not None else 0

    def find_verdict(self, traits: frozenset[int], content: int) -> Verdict | None:
        """Return why a request with these traits is refused, None if it is not."""
        now = self._clock()
        applying = (v for v in self.verdicts if v.applies(traits, content, now))
        return next(applying, None)

    def is_quarantined(self, content: int) -> bool:
        """Whether requests with a content and no prompt must no longer be sent."""
        self._expire()
        return self.find_verdict(frozenset((content,)), content) is not None

    @property
    def _oldest(self) -> float:
        """Loop time before which reports no longer count."""
        return self._clock() - RETENTION_SECONDS

    def _ended_at(self, trait: int) -> dict[int, float]:
        """Return when endpoints ended under a trait since it was served."""
        oldest, ended_at = self._oldest, dict[int, float]()
        for report in self._by_trait.get(trait, {}).values():
            if report.at >= oldest:
                known = ended_at.get(report.endpoint, math.inf)
                ended_at[report.endpoint] = min(known, report.at)
        return ended_at

    def _suspects(self) -> dict[int, Suspect]:
        """Return the traits that may have ended endpoints."""
        suspects = {}
        for trait in self._frequent:
            suspect = self._suspect(trait)
            needed = max(MIN_EVENTS, self.served_count(trait) + 1)
            if suspect.count_events() >= needed:
                suspects[trait] = suspect
        return {
            trait: replace(each, companions=each.companions.intersection(suspects))
            for trait, each in suspects.items()
        }

    def _suspect(self, trait: int) -> Suspect:
        reports = self._by_trait[trait].values()
        companions = frozenset.intersection(*(report.traits for report in reports))
        identical = len({report.content for report in reports}) == 1
        return Suspect(self._ended_at(trait), companions, identical)

    def _add_end(self, report: EndReport) -> bool:
        key = report.content, report.endpoint
        if key in self._ends:
            return False
        if len(self._ends) >= MAX_REPORTS:
            self._evict()
        self._ends[key] = report
        for trait in report.traits:
            served = self._served.get(trait)
            if served is None or served.at < report.at:
                self._by_trait[trait][key] = report
                self._on_trait_changed(trait)
        return True

    def _add_served(self, report: EndReport) -> bool:
        """Record that a trait was served; return whether that is news."""
        trait, known = report.content, self._served.get(report.content)
        acquitted = [
            key
            for key, end in self._by_trait.get(trait, {}).items()
            if end.at <= report.at
        ]
        if known is None:
            self._put_served(report)
            news = True
        else:
            news = (
                bool(acquitted)
                or report.at > known.at + MIN_SERVED_GAP_SECONDS
                or report.served_count > known.served_count
            )
            at = max(report.at, known.at)
            count = max(report.served_count, known.served_count)
            self._put_served(EndReport(trait, SERVED, at, served_count=count))
        for key in acquitted:
            self._forget(trait, key)
        return news

    def _put_served(self, report: EndReport) -> None:
        self._served[report.content] = report
        self._served.move_to_end(report.content)
        if report.content in self._frequent:
            self._verdicts = None
        if len(self._served) > MAX_SERVED_TRAITS:
            self._served.popitem(last=False)

    def _on_trait_changed(self, trait: int) -> None:
        """Note whether a trait may be refused."""
        frequent = len(self._by_trait[trait]) >= MIN_EVENTS
        if frequent or trait in self._frequent:
            self._verdicts = None
        if frequent:
            self._frequent.add(trait)
        else:
            self._frequent.discard(trait)
        if not self._by_trait[trait]:
            del self._by_trait[trait]

    def _forget(self, trait: int, key: _ReportKey) -> None:
        """Forget a report for one of its traits."""
        if key in self._by_trait.get(trait, {}):
            del self._by_trait[trait][key]
            self._on_trait_changed(trait)

    def _summarise(self) -> EndSummary:
        reports = [*self._ends.values(), *self._served.values()]
        digest = 0
        for each in reports:
            digest ^= zlib.crc32(SUMMARY_FORMAT.pack(each.content, each.endpoint))
        return EndSummary(len(reports), digest & MAX_INT32)

    def _expire(self) -> None:
        """Drop the first reports while they no longer count."""
        oldest = self._oldest
        while self._ends and next(iter(self._ends.values())).at < oldest:
            self._drop(next(iter(self._ends)))
        while self._served and next(iter(self._served.values())).at < oldest:
            self._served.popitem(last=False)

    def _evict(self) -> None:
        """Drop the first report that no verdict is based on, or one that is."""
        unused = (
            key
            for key, report in self._ends.items()
            if self.find_verdict(report.traits, report.content) is None
        )
        self._drop(next(unused, next(iter(self._ends))))

    def _drop(self, key: _ReportKey) -> None:
        report = self._ends.pop(key)
        for trait in report.traits:
            self._forget(trait, key)
