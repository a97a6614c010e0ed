"""Tests of a store that comes back from a copy some seconds old."""

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
"""Time within which every router knows what was written after the store's return."""


def engine(name: str) -> Endpoint:
    return Endpoint(name, "books", f"10.0.0.9:{len(name)}", "z1", 4, started_ms=1)


def new_store() -> MemoryStateStore:
    return make_store(engine(f"e{number}") for number in range(3))


async def go_back(store: MemoryStateStore, copy) -> None:
    """Restore a copy after the store was away."""
    store.unreachable_vms.add("*")
    await asyncio.sleep(AWAY_SECONDS)
    store.restore(copy)
    store.unreachable_vms.clear()


async def test_what_is_written_under_an_old_number_counts():
    """Numbers that are given out again hide what is written after a restore."""
    store = new_store()
    async with running_gossip_fleet(store, ROUTERS, decode_empty_routing) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        copy = store.copy()
        for _ in range(20):
            store.put(engine("e0"))
        await asyncio.sleep(1.0)
        await go_back(store, copy)
        store.put(replace(engine("e0"), leaving=True))
        await asyncio.sleep(KNOWN_SECONDS)
        for router in fleet.routers:
            known = router.store_cache.view.get("e0")
            assert known is not None and known.leaving, router.vm


async def test_leaving_endpoint_does_not_return_by_its_old_row():
    """The copy still holds the row from before the endpoint was leaving."""
    store = new_store()
    async with running_gossip_fleet(store, ROUTERS, decode_empty_routing) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        copy = store.copy()
        store.put(replace(engine("e0"), leaving=True, sequence=5))
        await asyncio.sleep(KNOWN_SECONDS)
        await go_back(store, copy)
        # routers that start meanwhile know the copy only
        loop = asyncio.get_running_loop()
        end = loop.time() + KNOWN_SECONDS
        while loop.time() < end:
            await asyncio.sleep(0.05)
            for router in fleet.routers:
                names = [e.id for e in router.store_cache.view.of_service("books")]
                assert "e0" not in names, router.vm


async def test_endpoint_returns_by_a_row_that_stands():
    """What an endpoint said last may be lost; its row can't be refused for ever.

    An endpoint that is gone, or says something else, lets no old row stand so long.
    """
    belief = StoreCache("r1", decode_empty_routing)
    loop = asyncio.get_running_loop()

    def read(era: int, sequence: int, leaving: bool) -> bool:
        endpoint = replace(engine("e0"), sequence=sequence, leaving=leaving)
        revision = Revision(era, 4)
        entry = EndpointEntry.from_row("e0", revision, endpoint)
        belief.update_from_rows(EndpointRows(Revision(era, 9), (entry,)), loop.time())
        return bool(belief.view.of_service("books"))

    assert not read(1, sequence=8, leaving=True)
    assert not read(2, sequence=5, leaving=False)
    await asyncio.sleep(CONFIRM_SECONDS - 1.0)
    assert not read(2, sequence=5, leaving=False)
    await asyncio.sleep(1.0)
    assert read(2, sequence=5, leaving=False)
    assert read(2, sequence=5, leaving=False)
    # what it says then counts as ever
    assert not read(3, sequence=10, leaving=True)


async def test_answer_from_before_a_restore_is_dropped():
    """A slow answer arrives after another router told of the restore."""
    belief = StoreCache("r1", decode_empty_routing)
    loop = asyncio.get_running_loop()
    entry = EndpointEntry.from_row("e0", Revision(1, 4), engine("e0"))
    assert belief.update_era(2, "r2")
    belief.update_from_rows(EndpointRows(Revision(1, 9), (entry,)), loop.time())
    assert belief.view.get("e0") is None


async def test_rows_of_routers_are_written_again():
    """A router that hears nobody would not find the others without them."""
    store = new_store()
    copy = store.copy()
    async with running_gossip_fleet(store, ROUTERS, decode_empty_routing):
        await asyncio.sleep(SETTLED_SECONDS)
        written = set(store.router_rows)
        await go_back(store, copy)
        assert not store.router_rows
        await asyncio.sleep(SETTLED_SECONDS)
        assert set(store.router_rows) == written


async def test_promises_hold_through_random_histories():
    """Two restores each, beside deaths, cuts, lost datagrams and a slow store."""
    for seed in HISTORIES:
        outcome = await RestoreScenario(seed, ROUTERS).run()
        assert not outcome.violations, (seed, outcome.violations)
