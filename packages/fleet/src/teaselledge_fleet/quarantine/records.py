"""Contents under which endpoints ended, as reported by all routers."""

import asyncio
import math
import struct
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

__all__ = [
    "MAX_ENDED_ENDPOINTS",
    "SERVED",
    "EndRecords",
    "EndReport",
    "EndSummary",
]

MAX_ENDED_ENDPOINTS = 3
"""Endpoints that may end one after another under a content before it is refused.

Whatever else runs at an endpoint is in flight when it ends as well. A request that did
not end it may be next to the one that did a second time, but hardly a third time."""

RETENTION_SECONDS = 600.0
"""Time for which a report counts. A caller that never stops trying ends three endpoints
each time."""

MAX_CONTENTS = 4096
"""Maximum number of contents, those in flight at some 80 endpoints that ended."""

MIN_SERVED_GAP_SECONDS = 1.0
"""Time by which a report of the same service must be later to be passed on. Times of
reports shift by some milliseconds with each router that passes them on."""

SUMMARY_SECONDS = 1.0
"""Time after which a summary is computed again, as reports expire."""

SUMMARY_FORMAT = struct.Struct("!QI")
MAX_INT32 = 0x7FFFFFFF

SERVED = 0
"""Takes the place of the endpoint in the report of a content that was served."""


@dataclass(frozen=True)
class EndReport:
    """An endpoint ended while it had a request, or a request was served in full.

    Attributes
    ----------
    content : int
        Hash of the request's content.
    endpoint : int
        Hash of the endpoint that ended, or `SERVED`.
    at : float
        Loop time.
    """

    content: int
    endpoint: int
    at: float


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


@dataclass
class _Content:
    ended_at: dict[int, float] = field(default_factory=dict)
    """Time at which each endpoint ended, by its hash."""

    served_at: float = -math.inf


class EndRecords:
    """Reports of all routers, merged; their order makes no difference.

    A content that was served in full does not end endpoints, so what was reported of it
    before no longer counts: contents that many callers send are in flight whenever an
    endpoint ends.

    Parameters
    ----------
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._contents: OrderedDict[int, _Content] = OrderedDict()
        self._summary = EndSummary()
        self._summarised_at = -math.inf

    def __len__(self) -> int:
        return len(self._contents)

    @property
    def quarantined_count(self) -> int:
        """Number of contents that are refused."""
        return sum(self.is_quarantined(content) for content in self._contents)

    @property
    def reports(self) -> list[EndReport]:
        """The reports that count, those of refused contents first."""
        ordered = sorted(self._contents, key=self.is_quarantined, reverse=True)
        return [report for content in ordered for report in self._rows(content)]

    @property
    def summary(self) -> EndSummary:
        """Summary of the reports that count."""
        now = self._clock()
        if self._contents and now >= self._summarised_at + SUMMARY_SECONDS:
            self._summary, self._summarised_at = self._summarise(), now
        return self._summary

    def add(self, report: EndReport) -> bool:
        """Add a report; return whether it was new."""
        is_new = self._add(report)
        if is_new:
            self._summarised_at = -math.inf
        return is_new

    def _add(self, report: EndReport) -> bool:
        if report.at < self._oldest:
            return False
        if report.content not in self._contents:
            self._evict()
        known = self._contents.setdefault(report.content, _Content())
        if report.endpoint == SERVED:
            return self._add_served(known, report.at)
        if report.endpoint in known.ended_at or report.at <= known.served_at:
            return False
        known.ended_at[report.endpoint] = report.at
        self._contents.move_to_end(report.content)
        return True

    def merge(self, reports: Iterable[EndReport]) -> list[EndReport]:
        """Add reports and return the new ones."""
        return [report for report in reports if self.add(report)]

    def served_since(self, report: EndReport) -> EndReport | None:
        """Return the report of a content that was served after another report."""
        known = self._contents.get(report.content)
        if known is None or known.served_at < max(report.at, self._oldest):
            return None
        return EndReport(report.content, SERVED, known.served_at)

    def ended_count(self, content: int) -> int:
        """Return the number of endpoints that ended under a content."""
        return sum(each.endpoint != SERVED for each in self._rows(content))

    def is_quarantined(self, content: int) -> bool:
        """Whether requests with a content must no longer be sent."""
        return self.ended_count(content) >= MAX_ENDED_ENDPOINTS

    @property
    def _oldest(self) -> float:
        """Loop time before which reports no longer count."""
        return self._clock() - RETENTION_SECONDS

    def _rows(self, content: int) -> list[EndReport]:
        """Return the reports of a content that count."""
        known, oldest = self._contents.get(content), self._oldest
        if known is None:
            return []
        rows = [*known.ended_at.items(), (SERVED, known.served_at)]
        return [EndReport(content, each, at) for each, at in rows if at >= oldest]

    def _add_served(self, known: _Content, at: float) -> bool:
        """Forget the ends before a request was served; return whether it is news."""
        remaining = {
            endpoint: ended_at
            for endpoint, ended_at in known.ended_at.items()
            if ended_at > at
        }
        news = (
            len(remaining) < len(known.ended_at)
            or at > known.served_at + MIN_SERVED_GAP_SECONDS
        )
        known.ended_at = remaining
        known.served_at = max(known.served_at, at)
        return news

    def _summarise(self) -> EndSummary:
        reports, digest = self.reports, 0
        for each in reports:
            digest ^= zlib.crc32(SUMMARY_FORMAT.pack(each.content, each.endpoint))
        return EndSummary(len(reports), digest & MAX_INT32)

    def _evict(self) -> None:
        """Make room for a content: drop those that expired, or one that counts."""
        while self._contents:
            content = next(iter(self._contents))
            if self._rows(content):
                break
            del self._contents[content]
        if len(self._contents) < MAX_CONTENTS:
            return
        suspects = (each for each in self._contents if not self.is_quarantined(each))
        del self._contents[next(suspects, next(iter(self._contents)))]
