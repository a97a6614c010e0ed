"""Decide whether a request may be sent, by the endpoints that ended under it."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.quarantine.content import (
    content_hash,
    request_traits,
    segment_hashes,
    shared_segments,
)
from teaselledge_fleet.quarantine.history import ServedHistory
from teaselledge_fleet.quarantine.probing import EndpointProbe
from teaselledge_fleet.quarantine.records import (
    MAX_SERVED_COUNT,
    SERVED,
    EndRecords,
    EndReport,
)
from teaselledge_fleet.quarantine.verdicts import MIN_EVENTS, Verdict
from teaselledge_fleet.request.context import RequestContext

__all__ = ["Quarantine"]

_log = get_log("quarantine")

MAX_PROBE_SECONDS = 0.15
"""Time for which the response to a suspected request is held until it is known whether
its endpoint has ended. A refusal from another region takes 46 ms."""

SUSPECT_ENDS = MIN_EVENTS - 1
"""Ends from which other routers must know of each one before the caller is answered,
as its next attempt may meet any of them."""

MAX_LOGGED_VERDICTS = 64
"""Maximum number of verdicts of which it is known that a request was logged."""

MAX_UNSENT_REPORTS = 512
"""Maximum number of reports that wait to be sent to other routers."""


@dataclass
class _Probe:
    """A running probe of an endpoint, and the requests that were in flight there."""

    task: "asyncio.Task[bool]"
    requests: dict[int, RequestContext] = field(default_factory=dict)
    """The requests by the hashes of their contents."""


class Quarantine:
    """Collects reports of endpoints that ended, and refuses requests that end them.

    Parameters
    ----------
    probe : EndpointProbe
        Tells whether an endpoint has ended.
    metrics : FleetMetrics, optional
        Counts endpoints that ended.
    records : EndRecords, optional
        What is known of requests that were in flight at endpoints that ended.

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
        self._history = ServedHistory(self._now)
        self._probes: dict[str, _Probe] = {}
        self._unsent: list[EndReport] = []
        self._logged: deque[Verdict] = deque(maxlen=MAX_LOGGED_VERDICTS)
        self.on_report: Callable[[], None] = lambda: None
        self.on_suspicion: Callable[[], None] = lambda: None

    @property
    def records(self) -> EndRecords:
        """What is known of requests that were in flight at endpoints that ended."""
        return self._records

    def fault(self, context: RequestContext) -> Fault | None:
        """Return why a request must not be sent, None if it may be."""
        if not self._records.verdicts:
            return None
        verdict = self._records.find_verdict(
            request_traits(context), content_hash(context)
        )
        if verdict is None:
            return None
        self._log_refused(context, verdict)
        return Fault(FaultKind.QUARANTINED)

    async def has_ended(self, context: RequestContext, endpoint: Endpoint) -> bool:
        """Whether an endpoint that closed a request's connection has ended.

        If it has, that is reported like the end of a request that was cut off.
        """
        return await asyncio.shield(self.on_cut_off(context, endpoint))

    def on_cut_off(
        self, context: RequestContext, endpoint: Endpoint
    ) -> "asyncio.Task[bool]":
        """Find out whether an endpoint that closed a request's connection has ended."""
        probe = self._probes.get(endpoint.id)
        if probe is None:
            task = asyncio.create_task(self._run_probe(endpoint))
            probe = self._probes[endpoint.id] = _Probe(task)
        probe.requests[content_hash(context)] = context
        return probe.task

    async def settle(self, context: RequestContext) -> None:
        """Wait for running probes, if they may make a request a suspected one."""
        if not self._probes:
            return
        content = content_hash(context)
        running = [p.task for p in self._probes.values() if content in p.requests]
        if not running:
            return
        count = max(map(self._records.ended_count, request_traits(context)))
        if count + len(running) >= SUSPECT_ENDS:
            await asyncio.wait(running, timeout=MAX_PROBE_SECONDS)

    def on_served(self, context: RequestContext) -> None:
        """Record that a request was served in full."""
        # the content of a prompt is its caller's own
        lasting = segment_hashes(context) or (content_hash(context),)
        self._history.record(lasting)
        if not self._records:
            return
        now = self._now()
        self._report(
            EndReport(trait, SERVED, now, served_count=self._served_count(trait))
            for trait in request_traits(context)
            if self._records.ended_count(trait)
        )

    def merge(self, reports: Iterable[EndReport]) -> None:
        """Add the reports of another router, and pass on those that are new."""
        self._report(reports)

    def restore(self, reports: Iterable[EndReport]) -> int:
        """Add reports that another router knows; return the number of new ones.

        What makes some of them outdated goes to the other routers again.
        """
        reports = list(reports)
        new = self._add(reports)
        known = {each.content: each.at for each in reports if each.endpoint == SERVED}
        served = {
            later
            for report in reports
            if report.endpoint != SERVED
            for later in self._records.served_since(report)
            if known.get(later.content, -math.inf) < report.at
        }
        if served:
            self._pass_on(served)
        return len(new)

    def pop_reports(self, count: int) -> list[EndReport]:
        """Return and forget the first of the reports for other routers."""
        popped, self._unsent = self._unsent[:count], self._unsent[count:]
        return popped

    async def _run_probe(self, endpoint: Endpoint) -> bool:
        try:
            ended = await self._probe.has_ended(endpoint.address)
        finally:
            probe = self._probes.pop(endpoint.id)
        if not ended:
            return False
        self._metrics.increment("endpoint_ends", service=endpoint.service)
        _log.info(
            "endpoint ended",
            endpoint=endpoint.id,
            service=endpoint.service,
            contents=sorted(probe.requests),
            segments=_segment_ids(probe.requests.values()),
        )
        ended_hash = name_hash(f"{endpoint.id}:{endpoint.started_ms}") or 1
        now = self._now()
        reports = [
            EndReport(content, ended_hash, now, segment_hashes(context))
            for content, context in probe.requests.items()
        ]
        # one datagram may not carry all of them
        reports.sort(key=self._suspicion, reverse=True)
        self._report(reports)
        if max(map(self._suspicion, reports)) >= SUSPECT_ENDS:
            self.on_suspicion()
        return True

    def _suspicion(self, report: EndReport) -> int:
        """Return the number of endpoints that ended under a trait of a request."""
        return max(map(self._records.ended_count, report.traits))

    def _served_count(self, trait: int) -> int:
        served = self._history.find(trait)
        return min(MAX_SERVED_COUNT, int(served.count)) if served is not None else 0

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
        refused_before = {verdict.traits for verdict in self._records.verdicts}
        new = self._records.merge(reports)
        new += self._records.merge(self._objections(new))
        for verdict in self._records.verdicts:
            if verdict.traits not in refused_before:
                self._metrics.increment("contents_quarantined")
                _log.warning(
                    "content quarantined",
                    contents=sorted(verdict.traits),
                    events=verdict.events,
                )
        return new

    def _objections(self, reports: Iterable[EndReport]) -> list[EndReport]:
        """Return what this router served of the traits that may be refused next."""
        found = []
        for trait in set().union(*(report.traits for report in reports)):
            if self._records.ended_count(trait) < SUSPECT_ENDS:
                continue
            served, count = self._history.find(trait), self._served_count(trait)
            if served is not None and count > self._records.served_count(trait):
                found.append(EndReport(trait, SERVED, served.at, served_count=count))
        return found

    def _log_refused(self, context: RequestContext, verdict: Verdict) -> None:
        """Log what the first request had that a verdict refuses."""
        if verdict in self._logged:
            return
        self._logged.append(verdict)
        _log.warning(
            "requests refused",
            id=context.request.id,
            contents=sorted(verdict.traits),
            segments=_segment_ids([context], verdict.traits),
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _segment_ids(
    contexts: Iterable[RequestContext], hashes: frozenset[int] | None = None
) -> list[str]:
    """Return the ids of the shared segments of prompts, all or those with a hash."""
    return sorted(
        {
            segment.id
            for context in contexts
            if context.request.prompt is not None
            for segment, hashed in zip(
                shared_segments(context.request.prompt),
                segment_hashes(context),
                strict=True,
            )
            if hashes is None or hashed in hashes
        }
    )
