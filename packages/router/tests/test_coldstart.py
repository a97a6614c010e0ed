"""Tests of a router that starts without state while other parts are down."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from teaselledge.process.router import Router
from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.fleet import key_of, running_fleet
from tornado.httpclient import AsyncHTTPClient


@asynccontextmanager
async def running():
    async with running_fleet() as fleet:
        fleet.plan.routers["new"] = "north-b"
        yield fleet


async def start(fleet, seeds=()):
    router = Router.from_config(replace(fleet.settings("new"), seeds=seeds))
    router.listen()
    await router.start()
    fleet.routers["new"] = router
    return router


async def until_ready(router):
    async with asyncio.timeout(15):
        while not router.ready:
            await asyncio.sleep(0.05)


async def get(router, path):
    client = AsyncHTTPClient(force_instance=True)
    response = await client.fetch(
        f"http://{router.caller_address}{path}", raise_error=False
    )
    client.close()
    return response


async def complete(router):
    caller = Caller(key_of("amber"))
    return await caller.request_completion(router.caller_address, "x", 5, "amber")


async def test_start_with_the_store(running):
    router = await start(running)
    assert router.ready
    assert is_complete_response(await complete(router), "x", 5)


async def test_start_without_the_store_from_listed_peers(running):
    """A VM is replaced while the table service is down. It must get the
    configuration from its peers, which the list of VMs of the platform contains.
    """
    running.tables.faults.down = True
    router = await start(running)
    assert not router.ready
    await until_ready(router)
    assert is_complete_response(await complete(router), "x", 5)


async def test_start_without_store_and_list_from_a_seed(running):
    """The list of VMs is unreachable as well. The settings contain the address of
    one peer, from which the router must get the other addresses.
    """
    running.tables.faults.down = True
    running.vms.faults.down = True
    router = await start(running, (running.routers["r2"].peer_address,))
    await until_ready(router)
    assert is_complete_response(await complete(router), "x", 5)
    assert len(router.node.membership.live()) == 4


async def test_start_with_everything_down(running):
    """Neither the platform nor a peer is reachable. The router must run without
    being ready, refuse requests as not run, and serve when the store is back.
    """
    running.tables.faults.down = True
    running.vms.faults.down = True
    router = await start(running)
    await asyncio.sleep(1.5)
    assert (await get(router, "/healthz")).code == 200
    assert (await get(router, "/readyz")).code == 503
    response = await complete(router)
    assert (response.status, response.kind, response.ran) == (
        503,
        "not-configured",
        "no",
    )
    running.tables.faults.down = False
    await until_ready(router)
    assert (await get(router, "/readyz")).code == 200
    assert is_complete_response(await complete(router), "x", 5)
