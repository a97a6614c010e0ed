"""Tests of the spreading of end reports among routers."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from teaselledge_fleet.connection.figures import unpack_end_reports
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.quarantine.content import content_hash
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.quarantine.records import (
    SERVED,
    EndReport,
)
from teaselledge_fleet.quarantine.spreading import (
    MAX_PENDING_REPORTS,
    MAX_REPORTS_PER_HEARTBEAT,
    MAX_SNAPSHOT_REPORTS,
    SEND_COUNT,
    EndSpreading,
)
from teaselledge_fleet.quarantine.verdicts import MIN_EVENTS
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
SEEDS = ["r000:1", "r001:1"]


@asynccontextmanager
async def settled_fleet(routers: int) -> AsyncIterator[GossipFleet]:
    """Run routers until all know one another."""
    store = make_store([])
    async with running_gossip_fleet(store, routers, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        yield fleet


@asynccontextmanager
async def fleet() -> AsyncIterator[GossipFleet]:
    """Run six routers that know of no end."""
    async with settled_fleet(6) as running:
        yield running


@asynccontextmanager
async def refusing_fleet() -> AsyncIterator[GossipFleet]:
    """Run six routers that refuse the content."""
    async with settled_fleet(6) as running:
        report_ends(running.routers[0])
        await asyncio.sleep(2.0)
        yield running


def report_ends(router: GossipRouter) -> None:
    """Let a router report that three endpoints ended, one a second."""
    now = asyncio.get_running_loop().time()
    router.quarantine.merge(
        EndReport(FATAL, 1 + number, now - number) for number in range(MIN_EVENTS)
    )


def refusing_routers(fleet: GossipFleet) -> int:
    """Return the number of routers that refuse the content."""
    return sum(r.quarantine.records.is_quarantined(FATAL) for r in fleet.routers)


def isolate(fleet: GossipFleet, vms: set[str]) -> None:
    """Cut routers off from the others, until they are removed from the set."""
    fleet.cut = lambda sender, receiver: (sender in vms) != (receiver in vms)


def restart(fleet: GossipFleet, routers: Iterable[GossipRouter]) -> None:
    """Start routers that were killed."""
    for router in routers:
        zone = router.members.own.zone
        fleet.start(router.vm, zone, decode_empty_routing, SEEDS)


async def test_all_routers_of_a_large_fleet_refuse_the_content():
    """Reports of three routers reach each other one, though datagrams are lost."""
    async with settled_fleet(40) as fleet:
        fleet.rng, fleet.loss = random.Random(3), 0.05
        for number in range(MIN_EVENTS):
            reporting = fleet.routers[7 * number].quarantine
            now = asyncio.get_running_loop().time()
            reporting.merge([EndReport(FATAL, 1 + number, now - number)])
        await asyncio.sleep(1.0)
        assert refusing_routers(fleet) == len(fleet.routers)


async def test_routers_that_start_again_one_after_another_refuse(refusing_fleet):
    """A router that read the store itself got no snapshot, and sent it to a fourth."""
    fleet = refusing_fleet
    for router in list(fleet.routers):
        router.kill()
        await asyncio.sleep(0.5)
        restart(fleet, [router])
        await asyncio.sleep(0.5)
        assert refusing_routers(fleet) == len(fleet.routers), router.vm


async def test_routers_that_start_together_learn_the_reports_of_one(refusing_fleet):
    """They may ask one another first, which know nothing yet."""
    fleet = refusing_fleet
    killed = list(fleet.routers[1:])
    for router in killed:
        router.kill()
    restart(fleet, killed)
    for router in fleet.routers[1:]:
        assert await router.gossip.fetch_snapshot("r005:1")
    await asyncio.sleep(1.0)
    assert refusing_routers(fleet) == len(fleet.routers)


async def test_routers_that_were_cut_off_refuse_the_content(fleet):
    """What others reported in the meantime was not sent again."""
    cut_off = {"r003", "r004"}
    isolate(fleet, cut_off)
    report_ends(fleet.routers[0])
    await asyncio.sleep(3.0)
    assert refusing_routers(fleet) == len(fleet.routers) - len(cut_off)
    cut_off.clear()
    await asyncio.sleep(4.0)
    assert refusing_routers(fleet) == len(fleet.routers)


async def test_routers_that_were_cut_off_send_what_was_served(refusing_fleet):
    """They would have refused it until its reports expired."""
    fleet = refusing_fleet
    cut_off = {"r004"}
    isolate(fleet, cut_off)
    now = asyncio.get_running_loop().time()
    fleet.routers[1].quarantine.merge([EndReport(FATAL, SERVED, now)])
    await asyncio.sleep(3.0)
    assert refusing_routers(fleet) == len(cut_off)
    cut_off.clear()
    await asyncio.sleep(8.0)
    assert refusing_routers(fleet) == 0


async def test_an_end_with_much_in_flight_is_known_soon(fleet):
    """Reports that one datagram can't carry would have waited for the next ones."""
    now = asyncio.get_running_loop().time()
    reports = [EndReport(content, 1, now) for content in range(100)]
    fleet.routers[0].quarantine.merge(reports)
    await asyncio.sleep(0.4)
    known = [len(router.quarantine.records) for router in fleet.routers]
    assert known == [len(reports)] * len(fleet.routers)


async def test_reports_that_do_not_fit_a_snapshot_cost_few_snapshots():
    """Routers that can't become equal would have fetched one each second."""
    async with settled_fleet(2) as fleet:
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


async def test_the_second_end_reaches_the_others_before_the_next_heartbeat(fleet):
    """The caller's next attempt was faster, and ended a fourth endpoint."""
    request = CallerRequest("q1", "POST", "/r/1", "books.example", HTTPHeaders())
    context = RequestContext(
        request, b"", make_route(RetryPolicy.ANY), "books", None, 0.0, 9.0
    )
    quarantine = fleet.routers[0].quarantine
    for number in range(2):
        # other news was sent a moment ago, so that the next heartbeat has to wait
        quarantine.merge([EndReport(OTHER, 1 + number, 0.0)])
        await asyncio.sleep(0.001)
        endpoint = Endpoint(f"e{number}", "books", f"127.0.0.1:{number}", "north", 4)
        quarantine.on_cut_off(context, endpoint)
        await quarantine.settle(context)
        await asyncio.sleep(2.0 if number == 0 else fleet.delay + 0.005)
    content = content_hash(context)
    known = [r.quarantine.records.ended_count(content) for r in fleet.routers]
    assert known == [2] * len(fleet.routers)


class ListeningProbe:
    """Probe of endpoints that all go on."""

    async def has_ended(self, address: str) -> bool:
        """Return False."""
        return False


async def sent_counts(reports: int) -> tuple[Counter[int], list[bool]]:
    """Return how often each report is sent, and when more heartbeats were asked for."""
    quarantine = Quarantine(ListeningProbe())
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
