"""Tests of reading the record of possible origins at the time of a resumption."""

import asyncio
from dataclasses import replace

from teaselledge_fleet.migration.origins import StreamOrigin
from teaselledge_fleet.migration.record import (
    COUNTED_SECONDS,
    OriginRecord,
    route_key,
    targets_digest,
)
from teaselledge_fleet.migration.recorder import RECORD_KEY
from teaselledge_fleet.migration.recordreading import (
    READ_SECONDS,
    RecordReader,
    RecordReading,
    possible_origins,
)
from teaselledge_fleet.migration.sharedreads import SharedReads
from teaselledge_fleet.version.routes import RetryPolicy, Target
from teaselledge_standins.routes import make_route, make_routing
from teaselledge_standins.spreadfleet import running_gossip_fleet
from teaselledge_standins.statestore import (
    MemoryStateStore,
    StoreClient,
    decode_empty_routing,
    make_store,
)

VIRTUAL_CLOCK = True

ROUTE = make_route(RetryPolicy.RESUME, stream=True)
ROUTING = make_routing(ROUTE)
OLD, NEW = StreamOrigin("books", "v1"), StreamOrigin("books", "v2")
OTHER = StreamOrigin("more", "v1")
NOW = 1000.0
RECORD = OriginRecord(1, 0.0, {OLD: None, OTHER: None}, targets_digest(ROUTING))
INTERVAL_SECONDS = 0.25


def possible(record: OriginRecord | None, route=ROUTE, routing=ROUTING, era: int = 1):
    return possible_origins(RecordReading(record, era, NOW), route, routing)


def test_versions_of_the_routes_service_that_were_there_lately_are_possible():
    assert possible(RECORD) == {OLD}
    both = replace(RECORD, origins={OLD: NOW - COUNTED_SECONDS, NEW: None})
    assert possible(both) == {OLD, NEW}
    gone = replace(RECORD, origins={OLD: NOW - COUNTED_SECONDS - 1, NEW: None})
    assert possible(gone) == {NEW}


def test_all_services_of_a_route_count():
    split = replace(ROUTE, targets=(Target("books"), Target("more")))
    record = replace(RECORD, targets_digest=targets_digest(make_routing(split)))
    assert possible(record, split, make_routing(split)) == {OLD, OTHER}


def test_a_record_that_may_lack_something_tells_nothing():
    moved = make_routing(replace(ROUTE, targets=(Target("more"),)))
    lately, before = NOW - COUNTED_SECONDS + 1, NOW - COUNTED_SECONDS - 1
    for record, routing, era in (
        (None, ROUTING, 1),
        # the store was restored, and the record not written since
        (RECORD, ROUTING, 2),
        (replace(RECORD, complete_since=lately), ROUTING, 1),
        # this router knows another configuration than the one that recorded
        (RECORD, moved, 1),
        (RECORD, None, 1),
        (replace(RECORD, changed_routes={route_key(ROUTE): lately}), ROUTING, 1),
    ):
        assert possible(record, ROUTE, routing, era) is None
    for record in (
        replace(RECORD, complete_since=before),
        replace(RECORD, changed_routes={route_key(ROUTE): before}),
        replace(RECORD, changed_routes={1: lately}),
    ):
        assert possible(record) == {OLD}


async def test_a_store_that_gives_no_answer_does_not_hold_a_request_up():
    store = MemoryStateStore(delay=10 * READ_SECONDS)
    started = asyncio.get_running_loop().time()
    assert await RecordReader(StoreClient(store, "r1")).read() is None
    assert asyncio.get_running_loop().time() - started < 1.1 * READ_SECONDS


async def test_a_record_that_can_not_be_read_is_none():
    store = MemoryStateStore()
    reader = RecordReader(StoreClient(store, "r1"))
    for rows in ({}, {RECORD_KEY: (1, b"{")}):
        store.stream_rows = rows
        reading = await reader.read()
        assert reading.record is None
    store.refuses_stream_rows = True
    assert await reader.read() is None


class CountedRead:
    """A read that takes some time and returns its number."""

    def __init__(self) -> None:
        self.began_at: list[float] = []

    async def __call__(self) -> int:
        """Read."""
        self.began_at.append(asyncio.get_running_loop().time())
        number = len(self.began_at)
        await asyncio.sleep(0.1)
        return number


async def test_requests_share_a_read_that_began_after_all_of_them():
    """What was read before may lack what their streams began with."""
    read = CountedRead()
    reads = SharedReads(read, INTERVAL_SECONDS)
    first = asyncio.create_task(reads.get())
    await asyncio.sleep(0.05)
    later = [asyncio.create_task(reads.get()) for _ in range(5)]
    assert await first == 1
    assert await asyncio.gather(*later) == [2] * 5
    assert read.began_at[1] - read.began_at[0] >= INTERVAL_SECONDS


async def test_a_request_that_is_cancelled_takes_no_read_from_the_others():
    """The others took what an earlier read had found, and its success, for theirs."""
    read = CountedRead()
    reads = SharedReads(read, INTERVAL_SECONDS)
    assert await reads.get() == 1
    cancelled = asyncio.create_task(reads.get())
    await asyncio.sleep(0)
    waiting = asyncio.create_task(reads.get())
    await asyncio.sleep(INTERVAL_SECONDS)
    cancelled.cancel()
    assert await waiting == 2


async def test_a_router_is_in_contact_while_another_one_answers():
    """One that is cut off from all others can't hear of a restart."""
    async with running_gossip_fleet(make_store([]), 3, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        asking = fleet.routers[0].origins
        assert await asking.is_in_contact()
        fleet.routers[1].kill()
        assert await asking.is_in_contact()
        fleet.routers[2].kill()
        assert not await asking.is_in_contact()
