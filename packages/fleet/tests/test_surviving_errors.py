"""Tests that whole routers outlive errors in what they read, on loopback."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import make_route, make_routing

ENDPOINT = Endpoint("e1", "books", "127.0.0.1:1", "north-a", 4)
ROUTING = make_routing(make_route(RetryPolicy.ANY))


@asynccontextmanager
async def broken_store():
    """Run a router whose reads of the store raise until a function is called."""
    async with running_routers(1, ROUTING, []) as routers:
        poller = routers[0].router._store_poller
        store, poller._store = poller._store, None
        yield routers[0], lambda: setattr(poller, "_store", store)


async def test_an_entry_that_no_message_can_hold_does_not_end_heartbeats():
    """Each router took the others for dead, for as long as it ran."""
    async with running_routers(2, ROUTING, []) as routers:
        await asyncio.sleep(1.0)
        routers[0].store.put(replace(ENDPOINT, warmup_seconds=1e305))
        await asyncio.sleep(1.0)
        routers[0].store.delete(ENDPOINT.id)
        await asyncio.sleep(3.0)
        for running in routers:
            assert len(running.router._members.alive) == 1


async def test_an_error_while_reading_the_store_does_not_end_the_reading(
    broken_store,
):
    """A router that met it never read another version of the configuration."""
    router, restore = broken_store
    await asyncio.sleep(1.5)
    assert router.router._metrics.values("task_restarts")[("store",)] >= 1
    restore()
    router.store.put(ENDPOINT)
    await asyncio.sleep(3.0)
    assert router.router._store_cache.view.get("e1") == ENDPOINT
