"""Tests that whole routers outlive errors in what they read, on loopback."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace

from teaselledge_fleet.connection.codec import PROTOCOL, encode_datagram
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import make_route, make_routing
from teaselledge_wire.gen.fleet.ttypes import Pulse, RouterInfo

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


async def test_a_datagram_whose_handler_raises_is_counted_and_ignored():
    """The state of its sender is none that this version knows."""
    async with running_routers(1, ROUTING, []) as routers:
        running = routers[0]
        host, _, port = running.router._settings.listeners.peers.rpartition(":")
        sender = RouterInfo(vm="r9", incarnation=1, state=77)
        data = encode_datagram(Pulse(PROTOCOL, sender))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for _ in range(3):
                peer.sendto(data, (host, int(port)))
        await asyncio.sleep(0.2)
        assert running.router._socket.malformed_count == 3
        assert running.router._metrics.values("unhandled_errors")[()] == 0
