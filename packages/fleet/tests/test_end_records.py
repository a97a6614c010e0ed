"""Tests of what routers know of contents under which endpoints ended."""

import asyncio
import itertools
import random
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field

from teaselledge_fleet.connection.figures import pack_end_reports, unpack_end_reports
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.quarantine.content import content_hash
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.quarantine.reconciliation import EndReconciliation
from teaselledge_fleet.quarantine.records import (
    MAX_CONTENTS,
    MAX_ENDED_ENDPOINTS,
    RETENTION_SECONDS,
    SERVED,
    EndRecords,
    EndReport,
    EndSummary,
)
from teaselledge_fleet.quarantine.spreading import (
    MAX_PENDING_REPORTS,
    MAX_REPORTS_PER_HEARTBEAT,
    MAX_SNAPSHOT_REPORTS,
    SEND_COUNT,
    EndSpreading,
)
from teaselledge_fleet.request.call import CallerRequest
from teaselledge_fleet.request.context import RequestContext
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route
from teaselledge_standins.spreadfleet import (
    GossipFleet,
    GossipRouter,
    running_gossip_fleet,
)
from teaselledge_standins.statestore import decode_empty_routing, make_store
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


def test_records_are_bounded_and_keep_what_is_refused(clock):
    clock.records.merge(ends(FATAL, 1, 2, 3))
    for content in range(100, 100 + 2 * MAX_CONTENTS):
        clock.records.merge([EndReport(content, 1, 3.0)])
    assert len(clock.records) <= MAX_CONTENTS
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
    for number in range(MAX_ENDED_ENDPOINTS):
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
    for number in range(MAX_ENDED_ENDPOINTS):
        context = make_context(b"fatal", id=f"q{number}", resume_after=f"{number}")
        await cut_off(quarantine, context, number)
    await asyncio.sleep(0.1)
    assert quarantine.fault(make_context(b"fatal")) is not None
    assert quarantine.fault(make_context(b"fatax")) is None
    assert quarantine.fault(make_context(b"fatal", target="/r/2")) is None


async def test_a_request_served_between_two_ends_is_no_suspect():
    quarantine = Quarantine(SlowProbe())
    context = make_context(b"beside")
    for number in range(2 * MAX_ENDED_ENDPOINTS):
        await cut_off(quarantine, context, number)
        await asyncio.sleep(0.1)
        quarantine.on_served(context)
    assert quarantine.fault(context) is None


async def test_all_routers_of_a_large_fleet_refuse_the_content():
    """Reports of three routers reach each other one, though datagrams are lost."""
    routers = 40
    store = make_store([])
    async with running_gossip_fleet(store, routers, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        fleet.rng, fleet.loss = random.Random(3), 0.05
        for number in range(MAX_ENDED_ENDPOINTS):
            reporting = fleet.routers[7 * number].quarantine
            now = asyncio.get_running_loop().time()
            reporting.merge([EndReport(FATAL, 1 + number, now)])
        await asyncio.sleep(1.0)
        refusing = [
            each.quarantine.records.is_quarantined(FATAL) for each in fleet.routers
        ]
    assert sum(refusing) == routers


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
    assert quarantine.restore(EndReport(FATAL, n, now) for n in (1, 2, 3)) == 3
    assert quarantine.records.is_quarantined(FATAL)
    assert quarantine.restore([EndReport(OTHER, SERVED, now)]) == 1
    assert quarantine.restore([EndReport(OTHER, SERVED, now - 1.0)]) == 0
    assert quarantine.restore([EndReport(OTHER, 1, now + 1.0)]) == 1
    assert quarantine.pop_reports(1) == []


def refusing_routers(fleet: GossipFleet) -> int:
    """Return the number of routers that refuse the content."""
    return sum(r.quarantine.records.is_quarantined(FATAL) for r in fleet.routers)


def report_ends(router: GossipRouter) -> None:
    """Let a router report that three endpoints ended."""
    now = asyncio.get_running_loop().time()
    router.quarantine.merge(
        EndReport(FATAL, 1 + number, now) for number in range(MAX_ENDED_ENDPOINTS)
    )


async def test_routers_that_start_again_one_after_another_refuse_the_content():
    """A router that read the store itself got no snapshot, and sent it to a fourth."""
    store = make_store([])
    async with running_gossip_fleet(store, 6, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        report_ends(fleet.routers[0])
        await asyncio.sleep(2.0)
        for router in list(fleet.routers):
            router.kill()
            await asyncio.sleep(0.5)
            zone = router.members.own.zone
            fleet.start(router.vm, zone, decode_empty_routing, ["r000:1", "r001:1"])
            await asyncio.sleep(0.5)
            assert refusing_routers(fleet) == len(fleet.routers), router.vm


async def test_routers_that_were_cut_off_refuse_the_content():
    """What others reported in the meantime was not sent again."""
    store = make_store([])
    async with running_gossip_fleet(store, 12, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        cut_off = {router.vm for router in fleet.routers[6:9]}
        fleet.cut = lambda sender, receiver: (
            (sender in cut_off) != (receiver in cut_off)
        )
        report_ends(fleet.routers[0])
        await asyncio.sleep(3.0)
        assert refusing_routers(fleet) == len(fleet.routers) - len(cut_off)
        cut_off.clear()
        await asyncio.sleep(4.0)
        assert refusing_routers(fleet) == len(fleet.routers)


async def test_routers_that_were_cut_off_send_the_content_that_was_served():
    """They would have refused it until its reports expired."""
    store = make_store([])
    async with running_gossip_fleet(store, 6, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        report_ends(fleet.routers[0])
        await asyncio.sleep(2.0)
        cut_off = {"r004"}
        fleet.cut = lambda sender, receiver: bool(cut_off & {sender, receiver})
        now = asyncio.get_running_loop().time()
        fleet.routers[1].quarantine.merge([EndReport(FATAL, SERVED, now)])
        await asyncio.sleep(3.0)
        assert refusing_routers(fleet) == len(cut_off)
        cut_off.clear()
        await asyncio.sleep(8.0)
        assert refusing_routers(fleet) == 0


async def test_routers_that_start_together_learn_the_reports_of_one():
    """They may ask one another first, which know nothing yet."""
    store = make_store([])
    async with running_gossip_fleet(store, 12, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        report_ends(fleet.routers[0])
        await asyncio.sleep(2.0)
        for router in list(fleet.routers[1:]):
            router.kill()
        for router in list(fleet.routers[1:]):
            zone = router.members.own.zone
            fleet.start(router.vm, zone, decode_empty_routing, ["r000:1", "r001:1"])
        for router in fleet.routers[1:]:
            assert await router.gossip.fetch_snapshot("r007:1")
        await asyncio.sleep(1.0)
        assert refusing_routers(fleet) == len(fleet.routers)


async def test_reports_that_do_not_fit_a_snapshot_cost_few_snapshots():
    """Routers that can't become equal would have fetched one each second."""
    store = make_store([])
    async with running_gossip_fleet(store, 2, decode_empty_routing) as fleet:
        knowing, lacking = fleet.routers
        now = asyncio.get_running_loop().time()
        knowing.quarantine.restore(
            EndReport(content, 1, now) for content in range(MAX_SNAPSHOT_REPORTS + 100)
        )
        snapshot, fetches = knowing.gossip.snapshot, []
        knowing.gossip.snapshot = lambda: fetches.append(True) or snapshot()
        await asyncio.sleep(120.0)
        assert lacking.quarantine.records.summary.count == MAX_SNAPSHOT_REPORTS
        assert 3 <= len(fetches) <= 8


async def sent_counts(reports: int) -> tuple[Counter[int], list[bool]]:
    """Return how often each report is sent, and when more heartbeats were asked for."""
    quarantine = Quarantine(SlowProbe())
    spreading, now = EndSpreading(quarantine), asyncio.get_running_loop().time()
    quarantine.merge(EndReport(content, 1, now) for content in range(reports))
    counts, asked = Counter[int](), []
    while (packed := spreading.next_reports()) is not None:
        rows = unpack_end_reports(packed, now)
        assert len(rows) <= MAX_REPORTS_PER_HEARTBEAT
        counts.update(row.content for row in rows)
        asked.append(spreading.has_more)
    return counts, asked


async def test_each_report_is_sent_some_times():
    """Lost datagrams must not hide an end, nor a large crash delay the heartbeats."""
    counts, asked = await sent_counts(40)
    assert counts == dict.fromkeys(range(40), SEND_COUNT)
    assert asked == [True, True] + [False] * 6
    counts, _ = await sent_counts(400)
    assert set(counts) == set(range(400))
    assert counts.total() <= 400 + SEND_COUNT * MAX_PENDING_REPORTS


async def test_the_second_end_reaches_the_others_before_the_next_heartbeat():
    store = make_store([])
    async with running_gossip_fleet(store, 6, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        reporting, content = fleet.routers[0], content_hash(make_context(b"fatal"))
        await cut_off(reporting.quarantine, make_context(b"fatal"), 1)
        await asyncio.sleep(2.0)
        # other news was sent a moment ago, so that the next heartbeat has to wait
        reporting.quarantine.merge([EndReport(OTHER, 1, 0.0)])
        await asyncio.sleep(0.001)
        await cut_off(reporting.quarantine, make_context(b"fatal"), 2)
        await asyncio.sleep(fleet.delay + 0.005)
        known = [r.quarantine.records.ended_count(content) for r in fleet.routers]
    assert known == [2] * len(fleet.routers)
