"""Decide whether a request may be sent, by the endpoints that ended under it."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.quarantine.content import content_hash
from teaselledge_fleet.quarantine.probing import EndpointProbe
from teaselledge_fleet.quarantine.records import (
    MAX_ENDED_ENDPOINTS,
    SERVED,
    EndRecords,
    EndReport,
)
from teaselledge_fleet.request.context import RequestContext

__all__ = ["Quarantine"]

_log = get_log("quarantine")

MAX_PROBE_SECONDS = 0.15
"""Time for which the response to a suspected request is held until it is known whether
its endpoint has ended. A refusal from another region takes 46 ms."""

SUSPECT_ENDS = MAX_ENDED_ENDPOINTS - 1
"""Ends from which other routers must know of each one before the caller is answered,
as its next attempt may meet any of them."""

MAX_UNSENT_REPORTS = 512
"""Maximum number of reports that wait to be sent to other routers."""


@dataclass
class _Probe:
    """A running probe of an endpoint, and the contents that were in flight there."""

    task: "asyncio.Task[None]"
    contents: set[int] = field(default_factory=set)


class Quarantine:
    """Collects reports of endpoints that ended, and refuses requests that end them.

    Parameters
    ----------
    probe : EndpointProbe
        Tells whether an endpoint has ended.
    metrics : FleetMetrics, optional
        Counts endpoints that ended.
    records : EndRecords, optional
        What is known of contents.

    Attributes
    ----------
    on_report : callable
        Called when there are new reports for other routers.
    on_suspicion : callable
        Called when one of them must reach the others before the caller's next attempt
        does, as the content may be refused next.
    """

    def __init__(
        self,
        probe: EndpointProbe,
        metrics: FleetMetrics | None = None,
        records: EndRecords | None = None,
    ) -> None:
        self._probe = probe
        self._metrics = metrics or FleetMetrics()
        self._records = records if records is not None else EndRecords()
        self._probes: dict[str, _Probe] = {}
        self._unsent: list[EndReport] = []
        self.on_report: Callable[[], None] = lambda: None
        self.on_suspicion: Callable[[], None] = lambda: None

    @property
    def records(self) -> EndRecords:
        """What is known of contents."""
        return self._records

    def fault(self, context: RequestContext) -> Fault | None:
        """Return why a request must not be sent, None if it may be."""
        if not self._records or not self._records.is_quarantined(content_hash(context)):
            return None
        return Fault(FaultKind.QUARANTINED)

    def on_cut_off(self, context: RequestContext, endpoint: Endpoint) -> None:
        """Find out whether an endpoint that closed a request's connection has ended."""
        probe = self._probes.get(endpoint.id)
        if probe is None:
            task = asyncio.create_task(self._run_probe(endpoint))
            probe = self._probes[endpoint.id] = _Probe(task)
        probe.contents.add(content_hash(context))

    async def settle(self, context: RequestContext) -> None:
        """Wait for running probes, if they may make a request a suspected one."""
        if not self._probes:
            return
        content = content_hash(context)
        running = [p.task for p in self._probes.values() if content in p.contents]
        count = self._records.ended_count(content)
        if running and count + len(running) >= SUSPECT_ENDS:
            await asyncio.wait(running, timeout=MAX_PROBE_SECONDS)

    def on_served(self, context: RequestContext) -> None:
        """Record that a request was served in full."""
        if not self._records:
            return
        content = content_hash(context)
        if self._records.ended_count(content):
            self._report([EndReport(content, SERVED, self._now())])

    def merge(self, reports: Iterable[EndReport]) -> None:
        """Add the reports of another router, and pass on those that are new."""
        self._report(reports)

    def restore(self, reports: Iterable[EndReport]) -> int:
        """Add reports that another router knows; return the number of new ones.

        What makes some of them outdated goes to the other routers again.
        """
        reports = list(reports)
        new = self._add(reports)
        ends = [report for report in reports if report.endpoint != SERVED]
        served = {each for each in map(self._records.served_since, ends) if each}
        if served:
            self._pass_on(served)
        return len(new)

    def pop_reports(self, count: int) -> list[EndReport]:
        """Return and forget the first of the reports for other routers."""
        popped, self._unsent = self._unsent[:count], self._unsent[count:]
        return popped

    async def _run_probe(self, endpoint: Endpoint) -> None:
        try:
            ended = await self._probe.has_ended(endpoint.address)
        finally:
            probe = self._probes.pop(endpoint.id)
        if not ended:
            return
        self._metrics.increment("endpoint_ends", service=endpoint.service)
        _log.info(
            "endpoint ended",
            endpoint=endpoint.id,
            service=endpoint.service,
            contents=sorted(probe.contents),
        )
        ended_hash = name_hash(f"{endpoint.id}:{endpoint.started_ms}") or 1
        now = self._now()
        self._report(EndReport(each, ended_hash, now) for each in probe.contents)
        counts = [self._records.ended_count(each) for each in probe.contents]
        if max(counts) >= SUSPECT_ENDS:
            self.on_suspicion()

    def _report(self, reports: Iterable[EndReport]) -> None:
        """Add reports; those that are new go to the other routers."""
        new = self._add(reports)
        if new:
            self._pass_on(new)

    def _pass_on(self, reports: Iterable[EndReport]) -> None:
        """Send reports to the other routers."""
        self._unsent = [*self._unsent, *reports][-MAX_UNSENT_REPORTS:]
        self.on_report()

    def _add(self, reports: Iterable[EndReport]) -> list[EndReport]:
        """Add reports and return the new ones."""
        reports = list(reports)
        refused_before = self._refused(reports)
        new = self._records.merge(reports)
        refused = self._refused(new) - refused_before
        for _ in refused:
            self._metrics.increment("contents_quarantined")
        if refused:
            _log.warning("content quarantined", contents=sorted(refused))
        return new

    def _refused(self, reports: Iterable[EndReport]) -> set[int]:
        """Return which of the contents in some reports are refused."""
        contents = {report.content for report in reports}
        return {each for each in contents if self._records.is_quarantined(each)}

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
