"""Tests of the record and the journal of origins against a store in memory."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from teaselledge_fleet.migration.history import OriginHistory
from teaselledge_fleet.migration.journal import (
    CONTRADICTION,
    RETRY_SECONDS,
    ROW_COUNT,
    OriginJournal,
)
from teaselledge_fleet.migration.origins import MAX_ORIGINS, StreamOrigin
from teaselledge_fleet.migration.record import COUNTED_SECONDS, decode_record
from teaselledge_fleet.migration.recorder import (
    RECORD_KEY,
    WITHHOLD_SECONDS,
    OriginRecorder,
)
from teaselledge_fleet.migration.seeding import HistorySeeder
from teaselledge_fleet.migration.verifying import VersionVerifier
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry, EndpointView
from teaselledge_fleet.process.store import EndpointRows
from teaselledge_fleet.version.routes import RetryPolicy, Target
from teaselledge_standins.routes import make_route, make_routing
from teaselledge_standins.statestore import MemoryStateStore, StoreClient

VIRTUAL_CLOCK = True

ROUTE = make_route(RetryPolicy.RESUME, stream=True)
ROUTING = make_routing(ROUTE)
MOVED = make_routing(replace(ROUTE, targets=(Target("more"),)))
OLD = StreamOrigin("books", "v1")


def rows(store: MemoryStateStore, *versions: str) -> EndpointRows:
    """Return the rows of one engine of each version."""
    store.revision += 1
    entries = [
        EndpointEntry.from_row(
            f"e-{version}",
            store.newest,
            Endpoint(f"e-{version}", "books", "a:1", "north", 4, version=version),
        )
        for version in versions
    ]
    return EndpointRows(store.newest, tuple(entries))


@dataclass
class RecordingRouter:
    """The parts of a router that keep the record."""

    store: MemoryStateStore
    view: EndpointView
    recorder: OriginRecorder
    history: OriginHistory
    seeder: HistorySeeder

    def read(self, *versions: str) -> list[str]:
        """Apply what was read from the store; return the versions that are used."""
        used = self.recorder.withhold(rows(self.store, *versions))
        self.view.merge(used.entries)
        self.history.update(self.view.endpoints)
        return sorted(each.endpoint.version for each in used.entries if each.endpoint)

    def configure(self, routing) -> None:
        """Apply a configuration."""
        self.recorder.update_routing(routing)
        self.history.update_routing(routing)

    def recorded(self):
        """Return the record in the store."""
        return decode_record(self.store.stream_rows[RECORD_KEY][1]).ok


@asynccontextmanager
async def start_routers(store: MemoryStateStore, count: int):
    """Run the parts of routers that keep the record."""
    client = StoreClient(store, "r1")
    routers, tasks = [], []
    for _ in range(count):
        view, history = EndpointView(), OriginHistory()
        recorder = OriginRecorder(client, view)
        seeder = HistorySeeder(client, history)
        routers.append(RecordingRouter(store, view, recorder, history, seeder))
        tasks += [asyncio.create_task(each.run()) for each in (recorder, seeder)]
    yield routers
    for task in tasks:
        task.cancel()


@asynccontextmanager
async def router():
    async with start_routers(MemoryStateStore(), 1) as routers:
        yield routers[0]


async def test_an_engine_is_used_once_its_version_is_recorded(router):
    """A stream that it began before could be taken for one of another version."""
    assert router.read("v1") == []
    router.configure(ROUTING)
    await asyncio.sleep(0.1)
    assert router.read("v1") == ["v1"]
    assert router.read("v1", "v2") == ["v1"]
    await asyncio.sleep(0.1)
    assert router.read("v1", "v2") == ["v1", "v2"]
    assert router.recorded().present == {OLD, StreamOrigin("books", "v2")}


async def test_an_engine_does_not_wait_long_for_the_record(router):
    router.configure(ROUTING)
    router.store.refuses_stream_rows = True
    assert router.read("v1") == []
    await asyncio.sleep(WITHHOLD_SECONDS + 0.1)
    assert router.read("v1") == ["v1"]


async def test_two_routers_that_read_at_once_lose_no_version():
    """Each wrote the record that it knew, without what the other one had added."""
    async with start_routers(MemoryStateStore(), 2) as (first, second):
        for each in (first, second):
            each.configure(ROUTING)
        first.read("v1", "v2")
        second.read("v1", "v3")
        await asyncio.sleep(1.0)
        versions = {each.version for each in first.recorded().origins}
        assert versions == {"v1", "v2", "v3"}


async def test_a_route_that_moves_makes_nothing_else_uncertain(router):
    """Also if another router wrote the record before."""
    router.configure(ROUTING)
    router.read("v1")
    await asyncio.sleep(0.5)
    router.configure(MOVED)
    await asyncio.sleep(0.5)
    assert router.recorded().complete_since == 0.0
    assert len(router.recorded().changed_routes) == 1


async def test_a_router_knows_nothing_until_it_has_read_the_record(router):
    router.configure(ROUTING)
    router.read("v1")
    await asyncio.sleep(0.5)
    router.read("v1")
    assert router.history.only_origin(ROUTE) == OLD
    router.store.refuses_stream_rows = True
    router.seeder.on_gap()
    await asyncio.sleep(1.0)
    assert router.history.only_origin(ROUTE) is None
    router.store.refuses_stream_rows = False
    await asyncio.sleep(2.0)
    assert router.history.only_origin(ROUTE) == OLD


async def test_a_restored_store_makes_nothing_certain_for_a_while(router):
    """A version that was recorded after the copy was made is missing in it."""
    router.configure(ROUTING)
    router.read("v1")
    await asyncio.sleep(0.5)
    router.read("v1")
    copy = router.store.copy()
    router.store.restore(copy)
    router.read("v1")
    router.seeder.on_gap()
    await asyncio.sleep(3.0)
    assert router.history.known
    assert router.history.only_origin(ROUTE) is None
    await asyncio.sleep(COUNTED_SECONDS)
    assert router.history.only_origin(ROUTE) == OLD


async def test_the_journal_of_a_router_is_a_ring_of_rows():
    store = MemoryStateStore()
    clock = [0.0]
    journal = OriginJournal(StoreClient(store, "r1"), "r1", lambda: clock[0])
    running = asyncio.create_task(journal.run())
    for number in range(3 * ROW_COUNT):
        journal.add(number, OLD)
        await asyncio.sleep(0.3)
        clock[0] += 0.3
    running.cancel()
    assert 0.7 * ROW_COUNT < len(store.stream_rows) <= ROW_COUNT
    other = OriginJournal(StoreClient(store, "r2"), "r2")
    assert await other.find(3 * ROW_COUNT - 1) == (True, OLD)
    assert await other.find(1 << 60) == (True, None)


async def test_two_origins_of_a_stream_cancel_each_other_in_one_row():
    """The second one replaced the first, before the row was written."""
    store = MemoryStateStore()
    journal = OriginJournal(StoreClient(store, "r1"), "r1")
    running = asyncio.create_task(journal.run())
    for origin in (OLD, StreamOrigin("books", "v2")):
        journal.add(1, origin)
    await asyncio.sleep(1.0)
    running.cancel()
    other = OriginJournal(StoreClient(store, "r2"), "r2")
    assert await other.find(1) == (True, CONTRADICTION)


async def test_a_journal_that_can_not_be_read_is_never_taken_for_empty():
    """A reader that was cancelled left the success of the read before it."""
    store = MemoryStateStore()
    journal = OriginJournal(StoreClient(store, "r1"), "r1")
    assert await journal.find(1) == (True, None)
    store.refuses_stream_rows = True
    first = asyncio.create_task(journal.find(2))
    await asyncio.sleep(0)
    second = asyncio.create_task(journal.find(3))
    await asyncio.sleep(0.255)
    first.cancel()
    assert await second == (False, None)


async def test_a_store_that_refuses_gets_few_calls_of_the_journal():
    """All calls count in the limits of the store, refused ones, too."""
    store = MemoryStateStore(refuses_stream_rows=True)
    journal = OriginJournal(StoreClient(store, "r1"), "r1")
    running = asyncio.create_task(journal.run())
    for number in range(MAX_ORIGINS + 10):
        journal.add(number, OLD)
    await asyncio.sleep(10 * RETRY_SECONDS)
    running.cancel()
    assert store.calls <= 10
    assert len(journal._pending) == MAX_ORIGINS


async def test_a_lost_connection_is_taken_for_a_restart_while_the_store_is_away():
    """Nobody can tell then with which version the engine is back."""
    store = MemoryStateStore()
    engine = Endpoint("e1", "books", "a:1", "north", 4, started_ms=5, version="v1")
    store.put(engine)
    verifier = VersionVerifier(StoreClient(store, "r1"))
    assert await verifier.has_version(engine)
    assert not await verifier.has_version(replace(engine, version="v0"))
    store.unreachable_vms.add("*")
    assert await verifier.has_version(engine)
    verifier.on_connection_lost(engine)
    assert not await verifier.has_version(engine)
    assert await verifier.has_version(replace(engine, started_ms=6))
    store.unreachable_vms.clear()
    assert await verifier.has_version(engine)
    store.delete("e1")
    assert not await verifier.has_version(engine)
