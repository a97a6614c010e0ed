"""Tests of how the fleet knows which version began a stream."""

import asyncio
import random
from contextlib import contextmanager
from dataclasses import dataclass

from expression import Error, Ok
from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.migration.origins import (
    MAX_ORIGINS,
    RETENTION_SECONDS,
    NotFound,
    OriginTable,
    StreamOrigin,
    stream_key,
)
from teaselledge_fleet.migration.resuming import decide_resumption
from teaselledge_fleet.process.endpoints import (
    Endpoint,
    EndpointEntry,
    EndpointView,
)
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.version.routes import RetryPolicy, Target
from teaselledge_standins.routes import make_route
from teaselledge_standins.spreadfleet import running_gossip_fleet
from teaselledge_standins.statestore import decode_empty_routing, make_store

VIRTUAL_CLOCK = True
OLD, NEW = StreamOrigin("books", "v1"), StreamOrigin("books", "v2")


@dataclass
class ManualClock:
    """A clock that a test sets."""

    now: float = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@contextmanager
def clock():
    yield ManualClock()


def endpoints(*versions: str) -> list[Endpoint]:
    return [
        Endpoint(f"e{n}", "books", f"127.0.0.1:{n}", "z0", 4, version=version)
        for n, version in enumerate(versions)
    ]


def test_origins_are_kept_for_a_while(clock):
    table = OriginTable(clock)
    table.record(1, OLD)
    clock.now = RETENTION_SECONDS
    assert table.get(1) == OLD
    clock.now += 1.0
    assert table.get(1) is None
    for key in range(MAX_ORIGINS + 10):
        table.record(key, OLD)
    assert len(table) == MAX_ORIGINS


def test_an_id_that_names_two_streams_names_none(clock):
    table = OriginTable(clock)
    for origin in (OLD, OLD):
        table.record(1, origin)
    assert table.get(1) == OLD
    table.record(1, NEW)
    table.record(1, NEW)
    assert table.get(1) is None


def test_ids_of_two_organisations_differ():
    assert stream_key("cellar", "q1") != stream_key("archive", "q1")


def test_where_a_resumed_stream_goes_on():
    route = make_route(RetryPolicy.RESUME, stream=True)
    split = make_route(RetryPolicy.RESUME, targets=(Target("books"), Target("more")))
    moved = make_route(RetryPolicy.RESUME, targets=(Target("more"),))
    cases = (
        (OLD, route, Ok(OLD)),
        (OLD, split, Ok(OLD)),
        (OLD, moved, Error(Fault(FaultKind.ORIGIN_GONE))),
        (NotFound.UNKNOWN, route, Error(Fault(FaultKind.ORIGIN_UNKNOWN))),
        (NotFound.UNANSWERED, route, Error(Fault(FaultKind.ORIGIN_UNANSWERED, 0.2))),
    )
    for found, where, decided in cases:
        assert decide_resumption(found, where) == decided


async def find_all(routers: int, killed: int, loss: float) -> tuple[int, int]:
    """Let routers begin streams, kill some, and take all up at the others.

    Returns how many origins were found of those of killed routers, and their number.
    """
    store = make_store([])
    async with running_gossip_fleet(store, routers, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        fleet.rng, fleet.loss = random.Random(routers), loss
        streams = range(20 * routers)
        for key in streams:
            beginning = fleet.routers[key % routers]
            beginning.origins.record(key, OLD if key % 3 else NEW)
        await asyncio.sleep(0.2)
        for number in range(killed):
            fleet.routers[number].kill()
        found = total = 0
        for key in streams:
            asking = fleet.routers[killed + key % (routers - killed)]
            origin = await asking.origins.find(key)
            assert origin in (OLD if key % 3 else NEW, *NotFound)
            if key % routers < killed:
                total += 1
                found += isinstance(origin, StreamOrigin)
    return found, total


async def test_an_origin_survives_its_zone():
    """A zone's routers are lost together, with the one that began the stream."""
    async with running_gossip_fleet(make_store([]), 9, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        lost, left = fleet.routers[::3], fleet.routers[1::3]
        for key in range(30):
            lost[key % len(lost)].origins.record(key, OLD)
        await asyncio.sleep(0.2)
        for router in lost:
            router.kill()
        found = [await left[key % len(left)].origins.find(key) for key in range(30)]
    assert found == [OLD] * 30


async def test_an_origin_is_found_after_routers_joined():
    """Those that joined rank before the ones that keep the origins of some streams."""
    async with running_gossip_fleet(make_store([]), 6, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        for key in range(60):
            fleet.routers[0].origins.record(key, OLD)
        await asyncio.sleep(0.2)
        fleet.routers[0].kill()
        for number in range(3):
            seeds = ["r001:1", "r002:1"]
            fleet.start(f"new{number}", f"z{number}", decode_empty_routing, seeds)
        await asyncio.sleep(5.0)
        asking = fleet.by_address["r001:1"].origins
        found = [await asking.find(key) for key in range(60)]
    assert found == [OLD] * 60


async def test_a_router_that_does_not_answer_may_know_a_stream():
    """The caller may come back to another router, which reaches it."""
    async with running_gossip_fleet(make_store([]), 3, decode_empty_routing) as fleet:
        await asyncio.sleep(5.0)
        asking = fleet.routers[0].origins
        assert await asking.find(1) is NotFound.UNKNOWN
        for router in fleet.routers[1:]:
            router.kill()
        assert await asking.find(1) is NotFound.UNANSWERED


def test_views_of_two_versions_differ():
    """Routers whose views differ fetch a snapshot, should a datagram be lost."""
    views = []
    for version in ("v1", "v2"):
        view = EndpointView()
        entry = EndpointEntry("e0", Revision(0, 1), endpoints(version)[0])
        view.merge([entry])
        views.append(view)
    assert views[0].digest != views[1].digest


async def test_other_routers_know_what_a_killed_router_began():
    assert await find_all(9, 1, 0.0) == (20, 20)
    assert await find_all(40, 1, 0.0) == (20, 20)


async def test_most_streams_go_on_after_four_of_nine_routers_were_killed():
    """Half as large a share as of new streams must go on."""
    found, total = await find_all(9, 4, 0.03)
    assert found > total / 2
