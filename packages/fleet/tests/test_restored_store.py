"""Tests of a store that is restored from a backup that is some seconds old."""

import asyncio
from dataclasses import replace

from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import EndpointRows
from teaselledge_fleet.process.storecache import CONFIRM_SECONDS, StoreCache
from teaselledge_standins.restores import RestoreScenario
from teaselledge_standins.spreadfleet import running_gossip_fleet
from teaselledge_standins.statestore import (
    MemoryStateStore,
    decode_empty_routing,
    make_store,
)

VIRTUAL_CLOCK = True
ROUTERS = 9
SETTLED_SECONDS = 5.0
AWAY_SECONDS = 1.0
HISTORIES = (0, 1, 2, 10)
KNOWN_SECONDS = 2.0
"""Time within which every router must know what is written after the restore."""


def engine(name: str) -> Endpoint:
    return Endpoint(name, "books", f"10.0.0.9:{len(name)}", "z1", 4, started_ms=1)


def new_store() -> MemoryStateStore:
    return make_store(engine(f"e{number}") for number in range(3))


async def restore_after_outage(store: MemoryStateStore, copy) -> None:
    """Restore a copy after an outage of the store."""
    store.unreachable_vms.add("*")
    await asyncio.sleep(AWAY_SECONDS)
    store.restore(copy)
    store.unreachable_vms.clear()


async def test_write_under_a_reused_revision_number_is_applied():
    """A restored store assigns revision numbers again.

    If only numbers were compared, changes after the restore would look outdated.
    """
    store = new_store()
    async with running_gossip_fleet(store, ROUTERS, decode_empty_routing) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        copy = store.copy()
        for _ in range(20):
            store.put(engine("e0"))
        await asyncio.sleep(1.0)
        await restore_after_outage(store, copy)
        store.put(replace(engine("e0"), leaving=True))
        await asyncio.sleep(KNOWN_SECONDS)
        for router in fleet.routers:
            known = router.store_cache.view.get("e0")
            assert known is not None and known.leaving, router.vm


async def test_leaving_endpoint_does_not_return_by_its_old_row():
    """The backup contains the row from before the endpoint was leaving."""
    store = new_store()
    async with running_gossip_fleet(store, ROUTERS, decode_empty_routing) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        copy = store.copy()
        store.put(replace(engine("e0"), leaving=True, sequence=5))
        await asyncio.sleep(KNOWN_SECONDS)
        await restore_after_outage(store, copy)
        # routers that start meanwhile know only the restored rows
        loop = asyncio.get_running_loop()
        end = loop.time() + KNOWN_SECONDS
        while loop.time() < end:
            await asyncio.sleep(0.05)
            for router in fleet.routers:
                names = [e.id for e in router.store_cache.view.of_service("books")]
                assert "e0" not in names, router.vm


async def test_endpoint_returns_by_a_row_that_stays_after_a_restore():
    """The last announcement of an endpoint may be lost, so its older row must count.

    A row that stays for `CONFIRM_SECONDS` is current: the row of an endpoint that is
    gone expires earlier, and one with another state writes its row again.
    """
    cache = StoreCache("r1", decode_empty_routing)
    loop = asyncio.get_running_loop()

    def read(era: int, sequence: int, leaving: bool) -> bool:
        endpoint = replace(engine("e0"), sequence=sequence, leaving=leaving)
        revision = Revision(era, 4)
        entry = EndpointEntry.from_row("e0", revision, endpoint)
        cache.update_from_rows(EndpointRows(Revision(era, 9), (entry,)), loop.time())
        return bool(cache.view.of_service("books"))

    assert not read(1, sequence=8, leaving=True)
    assert not read(2, sequence=5, leaving=False)
    await asyncio.sleep(CONFIRM_SECONDS - 1.0)
    assert not read(2, sequence=5, leaving=False)
    await asyncio.sleep(1.0)
    assert read(2, sequence=5, leaving=False)
    assert read(2, sequence=5, leaving=False)
    # later announcements are applied as usual
    assert not read(3, sequence=10, leaving=True)


async def test_response_from_before_a_restore_is_dropped():
    """A slow response arrives after another router reported the restore."""
    cache = StoreCache("r1", decode_empty_routing)
    loop = asyncio.get_running_loop()
    entry = EndpointEntry.from_row("e0", Revision(1, 4), engine("e0"))
    assert cache.update_era(2, "r2")
    cache.update_from_rows(EndpointRows(Revision(1, 9), (entry,)), loop.time())
    assert cache.view.get("e0") is None


async def test_rows_of_routers_are_written_again_after_a_restore():
    """Without these rows a router without alive seeds would not find the others."""
    store = new_store()
    copy = store.copy()
    async with running_gossip_fleet(store, ROUTERS, decode_empty_routing):
        await asyncio.sleep(SETTLED_SECONDS)
        written = set(store.router_rows)
        await restore_after_outage(store, copy)
        assert not store.router_rows
        await asyncio.sleep(SETTLED_SECONDS)
        assert set(store.router_rows) == written


async def test_guarantees_hold_through_random_histories():
    """Two restores each, with killed routers, partitions, packet loss, a slow store."""
    for seed in HISTORIES:
        outcome = await RestoreScenario(seed, ROUTERS).run()
        assert not outcome.violations, (seed, outcome.violations)
