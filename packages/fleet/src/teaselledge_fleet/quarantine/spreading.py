"""Spread reports of endpoints that ended to all routers, with what they send anyway."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from teaselledge_wire.gen.fleet.ttypes import Pulse

from teaselledge_fleet.connection.figures import pack_end_reports, unpack_end_reports
from teaselledge_fleet.quarantine.reconciliation import EndReconciliation
from teaselledge_fleet.quarantine.records import EndRecords, EndReport, EndSummary

__all__ = ["EndReportSource", "EndSpreading"]

MAX_REPORTS_PER_HEARTBEAT = 16
"""Maximum of reports in one datagram, 18 bytes each and 8 for each segment."""

MAX_PENDING_REPORTS = 64
"""Maximum of reports that wait to be sent again."""

MAX_SNAPSHOT_REPORTS = 2000
"""Maximum of reports in a snapshot, 84 KB with three segments each."""

SEND_COUNT = 3
"""Heartbeats that carry the same report, in case some of them are lost."""


class EndReportSource(Protocol):
    """Collects reports of endpoints that ended.

    Attributes
    ----------
    on_report : callable
        Called when there are reports for other routers.
    on_suspicion : callable
        Called when they must be sent without any delay.
    """

    on_report: Callable[[], None]
    on_suspicion: Callable[[], None]

    @property
    def records(self) -> EndRecords:
        """All reports that count."""

    def pop_reports(self, count: int) -> list[EndReport]:
        """Return and forget the first of the reports for other routers."""

    def merge(self, reports: Iterable[EndReport]) -> None:
        """Add the reports of another router."""

    def restore(self, reports: Iterable[EndReport]) -> int:
        """Add reports that another router knows; return the number of new ones."""


class EndSpreading:
    """Writes reports into heartbeats and snapshots, and reads those of others.

    Parameters
    ----------
    source : EndReportSource
        Has the reports of this router, and gets those of others.
    """

    def __init__(self, source: EndReportSource) -> None:
        self._source = source
        self._reconciliation = EndReconciliation(source.records)
        self._pending: list[tuple[EndReport, int]] = []
        """Reports, each with the number of heartbeats still to carry it."""
        self._has_more = False

    @property
    def has_more(self) -> bool:
        """Whether there may be new reports that the last heartbeats did not carry."""
        return self._has_more

    def connect(
        self, on_report: Callable[[], None], on_suspicion: Callable[[], None]
    ) -> None:
        """Set what is called when there are reports, and when they are urgent."""
        self._source.on_report = on_report
        self._source.on_suspicion = on_suspicion

    def next_reports(self) -> bytes | None:
        """Return the reports for the next round of heartbeats."""
        new = self._source.pop_reports(MAX_REPORTS_PER_HEARTBEAT)
        self._has_more = len(new) == MAX_REPORTS_PER_HEARTBEAT
        pending = [(report, SEND_COUNT) for report in new] + self._pending
        if not pending:
            return None
        sent = pending[:MAX_REPORTS_PER_HEARTBEAT]
        later = pending[MAX_REPORTS_PER_HEARTBEAT:]
        resent = [(report, left - 1) for report, left in sent if left > 1]
        self._pending = (later + resent)[:MAX_PENDING_REPORTS]
        return pack_end_reports([report for report, _ in sent], _now())

    def write_summary(self, heartbeat: Pulse) -> None:
        """Add the summary of what this router knows to a heartbeat."""
        summary = self._source.records.summary
        if summary.count:
            heartbeat.ends_known, heartbeat.ends_digest = summary.count, summary.digest

    def snapshot(self) -> bytes:
        """Return the reports that this router knows."""
        reports = self._source.records.reports[:MAX_SNAPSHOT_REPORTS]
        return pack_end_reports(reports, _now())

    def apply(self, heartbeat: Pulse) -> bool:
        """Apply a heartbeat; return whether to fetch its sender's snapshot."""
        if heartbeat.ends:
            self._source.merge(unpack_end_reports(heartbeat.ends, _now()))
        if not heartbeat.ends_known:
            return False
        summary = EndSummary(heartbeat.ends_known, heartbeat.ends_digest or 0)
        return self._reconciliation.needs_fetch(summary)

    def restore(self, snapshot: bytes | None) -> None:
        """Apply the reports in the snapshot of another router."""
        if not snapshot:
            return
        found = self._source.restore(unpack_end_reports(snapshot, _now()))
        self._reconciliation.record_fetch(found)


def _now() -> float:
    return asyncio.get_running_loop().time()
