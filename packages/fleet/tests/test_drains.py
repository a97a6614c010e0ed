"""Tests of drained zones, and of how they spread among routers."""

import asyncio

from teaselledge_fleet.process.drains import DrainedZones, ZoneDrain
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import StoredConfiguration
from teaselledge_fleet.process.storecache import SETTLE_SECONDS, StoreCache
from teaselledge_standins.spreadfleet import GossipFleet, running_gossip_fleet
from teaselledge_standins.statestore import decode_empty_routing, make_store

VIRTUAL_CLOCK = True
IN_FORCE_SECONDS = {9: 2.0, 74: 2.0}
"""Time within which a drain must be in force on every router, by their number."""

HISTORIES = 8


def new_store():
    return make_store(
        Endpoint(f"e{n}", "books", f"10.0.0.{n}:1", f"z{n % 3}", 4) for n in range(6)
    )


def is_drained(router, zone: str = "z1") -> bool:
    return zone in router.store_cache.drained_zones


async def wait_for(fleet: GossipFleet, holds) -> float:
    """Return the seconds until a condition holds at all routers that are not killed."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not all(holds(router) for router in fleet.routers if not router.killed):
        await asyncio.sleep(0.01)
        assert loop.time() - started < 30
    return loop.time() - started


def read(revision: int, *zones: str, era: int = 0) -> StoredConfiguration:
    """Return a complete read of the operator's rows."""
    drains = tuple(ZoneDrain(zone, Revision(era, 1), True) for zone in zones)
    return StoredConfiguration(Revision(era, revision), None, drains, complete=True)


def test_the_later_revision_wins_in_any_order():
    drains = [
        ZoneDrain("z", Revision(0, 2), True),
        ZoneDrain("z", Revision(0, 5), False),
    ]
    for order in (drains, drains[::-1]):
        zones = DrainedZones()
        zones.merge(order)
        assert "z" not in zones
        assert zones.digest == 0


def test_only_changes_are_reported():
    zones = DrainedZones()
    drain = ZoneDrain("z", Revision(0, 2), True)
    assert zones.merge([drain]) == [drain]
    assert zones.merge([drain]) == []
    assert zones.merge([ZoneDrain("z", Revision(0, 3), True)]) == []
    assert zones.zones == ["z"]


async def test_a_complete_read_ends_drains_that_it_lacks():
    """The history of changes was dropped together with the end of the drain."""
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_drains(read(4, "a", "b"))
    cache.update_drains(read(9, "b"))
    assert cache.drained_zones.zones == ["b"]


async def test_an_outdated_read_ends_no_drain():
    """A read of an outdated copy lacks a drain that another router has read."""
    cache = StoreCache("r1", decode_empty_routing)
    cache.merge_drains([ZoneDrain("a", Revision(0, 7), True)], "r2")
    cache.update_drains(read(6))
    assert cache.drained_zones.zones == ["a"]


async def test_a_restored_store_ends_no_drain_until_rows_are_written_again():
    """The backup is older than the drain; the operator writes it again soon after."""
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_era(1, "store")
    cache.update_drains(read(4, "a", era=1))
    cache.update_era(2, "store")
    cache.update_drains(read(3, era=2))
    assert cache.drained_zones.zones == ["a"]
    await asyncio.sleep(SETTLE_SECONDS)
    cache.update_drains(read(3, era=2))
    assert cache.drained_zones.zones == []


async def test_a_drain_is_in_force_on_all_routers_in_time():
    for count, limit in IN_FORCE_SECONDS.items():
        store = new_store()
        async with running_gossip_fleet(store, count, decode_empty_routing) as fleet:
            fleet.loss = 0.03
            await asyncio.sleep(8)
            for _ in range(HISTORIES if count == min(IN_FORCE_SECONDS) else 2):
                store.drain("z1")
                assert await wait_for(fleet, is_drained) <= limit
                await asyncio.sleep(2)
                store.take_back("z1")
                assert await wait_for(fleet, lambda r: not is_drained(r)) <= limit
                await asyncio.sleep(5)


async def test_a_drain_is_in_force_while_a_third_cannot_read_and_the_poller_dies():
    store = new_store()
    async with running_gossip_fleet(store, 9, decode_empty_routing) as fleet:
        await asyncio.sleep(8)
        poller = fleet.routers[0].store_cache.poller
        store.unreachable_vms |= {r.vm for r in fleet.routers[::3]}
        next(r for r in fleet.routers if r.vm == poller).kill()
        store.drain("z1")
        assert await wait_for(fleet, is_drained) <= 5.0


async def test_a_router_that_missed_the_end_of_a_drain_brings_it_back_nowhere():
    """A router is cut off, and returns when no heartbeat reports the end any more."""
    store = new_store()
    async with running_gossip_fleet(store, 9, decode_empty_routing) as fleet:
        await asyncio.sleep(8)
        store.drain("z1")
        await wait_for(fleet, is_drained)
        lost = fleet.routers[5]
        fleet.cut = lambda sender, receiver: lost.vm in (sender, receiver)
        store.unreachable_vms.add(lost.vm)
        store.take_back("z1")
        await asyncio.sleep(10)
        assert is_drained(lost)
        fleet.cut = lambda sender, receiver: False
        store.unreachable_vms.clear()
        assert await wait_for(fleet, lambda r: not is_drained(r)) <= 2.0
        await asyncio.sleep(5)
        assert not any(is_drained(router) for router in fleet.routers)
