"""Tests of what routers know of contents under which endpoints ended."""

import asyncio
import itertools
from contextlib import contextmanager
from dataclasses import dataclass, field

from teaselledge_fleet.connection.figures import pack_end_reports, unpack_end_reports
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.quarantine.content import content_hash
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.quarantine.reconciliation import EndReconciliation
from teaselledge_fleet.quarantine.records import (
    MAX_REPORTS,
    RETENTION_SECONDS,
    SERVED,
    EndRecords,
    EndReport,
    EndSummary,
)
from teaselledge_fleet.quarantine.verdicts import MIN_EVENTS
from teaselledge_fleet.request.call import CallerRequest
from teaselledge_fleet.request.context import RequestContext
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True
FATAL, OTHER = 7, 8


@dataclass
class ManualClock:
    """A clock that a test sets."""

    now: float = 0.0
    records: EndRecords = field(init=False)

    def __post_init__(self) -> None:
        self.records = EndRecords(lambda: self.now)


@contextmanager
def clock():
    yield ManualClock()


def ends(content: int, *endpoints: int) -> list[EndReport]:
    """Return a report for each endpoint, one a second."""
    return [EndReport(content, each, float(each)) for each in endpoints]


def make_context(body: bytes, **changes: str) -> RequestContext:
    request = CallerRequest(
        changes.get("id", "q1"),
        "POST",
        changes.get("target", "/r/1"),
        "books.example",
        HTTPHeaders(),
        resume_after=changes.get("resume_after"),
    )
    route = make_route(RetryPolicy.ANY)
    return RequestContext(request, body, route, "books", None, 0.0, 5.0)


def test_a_content_is_refused_after_three_endpoints(clock):
    clock.records.merge(ends(FATAL, 1, 2))
    assert not clock.records.is_quarantined(FATAL)
    clock.records.merge(ends(FATAL, 1, 2, 3))
    assert clock.records.is_quarantined(FATAL)
    assert not clock.records.is_quarantined(OTHER)


def test_a_content_that_was_served_is_not_refused(clock):
    """Many callers send one content, so that some request of it is always in flight."""
    reports = [*ends(FATAL, 1, 2), EndReport(FATAL, SERVED, 2.5), *ends(FATAL, 3, 4)]
    for order in itertools.permutations(reports):
        records = EndRecords(lambda: 0.0)
        records.merge(order)
        assert records.ended_count(FATAL) == 2


def test_reports_are_forgotten(clock):
    clock.records.merge(ends(FATAL, 1, 2))
    assert clock.records.summary.count == 2
    clock.records.merge(ends(FATAL, 3))
    assert clock.records.summary.count == 3
    clock.now = RETENTION_SECONDS + 1.5
    assert not clock.records.is_quarantined(FATAL)
    assert clock.records.summary.count == 2
    clock.records.merge([EndReport(OTHER, 1, clock.now)])
    clock.now += RETENTION_SECONDS
    assert not clock.records.merge(ends(FATAL, 1, 2, 3))


def test_a_content_whose_reports_expired_counts_again(clock):
    """It was dropped for its old report while the new one was added to it."""
    for content, at in ((FATAL, 0.0), (OTHER, 300.0), (FATAL, RETENTION_SECONDS + 1)):
        clock.now = at
        assert clock.records.add(EndReport(content, 1 + int(at), at))
    assert clock.records.ended_count(FATAL) == 1
    assert clock.records.add(EndReport(FATAL, SERVED, clock.now))
    assert clock.records.ended_count(FATAL) == 0


def test_records_are_bounded_and_keep_what_is_refused(clock):
    clock.records.merge(ends(FATAL, 1, 2, 3))
    for content in range(100, 100 + 2 * MAX_REPORTS):
        clock.records.merge([EndReport(content, 1, 3.0)])
    assert len(clock.records) <= MAX_REPORTS
    assert clock.records.is_quarantined(FATAL)


def test_reports_fit_the_messages():
    reports = [EndReport((1 << 63) - 1, (1 << 31) - 1, 10.0), EndReport(5, SERVED, 9.5)]
    packed = pack_end_reports(reports, 11.0)
    assert unpack_end_reports(packed + b"torn", 11.0) == reports


class SlowProbe:
    """Finds after some time that an endpoint has ended."""

    async def has_ended(self, address: str) -> bool:
        """Return True after a moment."""
        await asyncio.sleep(0.05)
        return True


async def cut_off(quarantine: Quarantine, context: RequestContext, number: int) -> None:
    """Report that a request was cut off at an endpoint, and wait as serving does."""
    endpoint = Endpoint(f"e{number}", "books", f"127.0.0.1:{number}", "north", 4)
    quarantine.on_cut_off(context, endpoint)
    await quarantine.settle(context)


async def test_ends_count_before_the_caller_is_answered_but_for_the_first():
    """The caller's next attempt met a router that did not know of the second end.

    The first end delays nothing, as most requests beside it are innocent.
    """
    quarantine, clock = Quarantine(SlowProbe()), asyncio.get_running_loop().time
    context, waited = make_context(b"fatal"), []
    for number in range(MIN_EVENTS):
        assert quarantine.fault(context) is None
        started = clock()
        await cut_off(quarantine, make_context(b"fatal", id=f"q{number}"), number)
        waited.append(round(clock() - started, 2))
        if number:
            assert quarantine.records.ended_count(content_hash(context)) == number + 1
        await asyncio.sleep(0.1)
    assert quarantine.fault(context) is not None
    assert waited == [0.0, 0.05, 0.05]


async def test_attempts_of_one_request_have_one_content():
    """Attempts of a caller differ in their ids, and where they resume a stream."""
    quarantine = Quarantine(SlowProbe())
    for number in range(MIN_EVENTS):
        context = make_context(b"fatal", id=f"q{number}", resume_after=f"{number}")
        await cut_off(quarantine, context, number)
        await asyncio.sleep(0.1)
    assert quarantine.fault(make_context(b"fatal")) is not None
    assert quarantine.fault(make_context(b"fatax")) is None
    assert quarantine.fault(make_context(b"fatal", target="/r/2")) is None


async def test_a_request_served_between_two_ends_is_no_suspect():
    quarantine = Quarantine(SlowProbe())
    context = make_context(b"beside")
    for number in range(2 * MIN_EVENTS):
        await cut_off(quarantine, context, number)
        await asyncio.sleep(0.1)
        quarantine.on_served(context)
    assert quarantine.fault(context) is None


async def test_the_second_end_is_reported_without_delay():
    """The caller's next attempt was faster than the next heartbeat, and ended a fourth.

    A first end is reported in the usual time, as most requests beside it are innocent.
    """
    quarantine, reported = Quarantine(SlowProbe()), []
    quarantine.on_suspicion = lambda: reported.append(True)
    for number, expected in ((1, 0), (2, 1)):
        await cut_off(quarantine, make_context(b"fatal"), number)
        await asyncio.sleep(0.1)
        assert len(reported) == expected


async def test_reports_are_fetched_from_routers_that_know_others():
    """Reports that are under way or expire would have cost a snapshot each."""
    records, loop = EndRecords(), asyncio.get_running_loop()
    reconciliation = EndReconciliation(records)
    more, fewer = EndSummary(2, 12345), EndSummary(0, 0)
    assert reconciliation.needs_fetch(more)
    await asyncio.sleep(100.0)
    assert records.add(EndReport(FATAL, 1, loop.time()))
    assert not reconciliation.needs_fetch(records.summary)
    asked = []
    for _ in range(60):
        assert not reconciliation.needs_fetch(fewer)
        if reconciliation.needs_fetch(more):
            asked.append(loop.time())
            reconciliation.record_fetch(0)
        await asyncio.sleep(0.25)
    assert [round(at - asked[0], 2) for at in asked] == [0.0, 2.0, 8.0]
    assert asked[0] == 102.0
    # a difference that was seen once, long ago, is not one that lasts
    await asyncio.sleep(100.0)
    assert not reconciliation.needs_fetch(more)
    # and neither is that to the state before a new report
    await asyncio.sleep(2.0)
    records.add(EndReport(FATAL, 2, loop.time()))
    assert not reconciliation.needs_fetch(more)


async def test_what_a_snapshot_brings_is_not_sent_on():
    """A router that started again repeated all reports that it was given."""
    quarantine = Quarantine(SlowProbe())
    quarantine.on_report = quarantine.on_suspicion = lambda: 1 / 0
    now = asyncio.get_running_loop().time()
    assert quarantine.restore(EndReport(FATAL, n, now - n) for n in (1, 2, 3)) == 3
    assert quarantine.records.is_quarantined(FATAL)
    assert quarantine.restore([EndReport(OTHER, SERVED, now)]) == 1
    assert quarantine.restore([EndReport(OTHER, SERVED, now - 1.0)]) == 0
    assert quarantine.restore([EndReport(OTHER, 1, now + 1.0)]) == 1
    assert quarantine.pop_reports(1) == []
