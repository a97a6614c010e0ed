"""Tests of a router that starts and knows nothing."""

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


async def test_with_the_store_up(running):
    router = await start(running)
    assert router.ready
    assert is_complete_response(await complete(router), "x", 5)


async def test_with_the_store_down_and_peers_in_the_list(running):
    """A VM is replaced while the table service is down. It learns the configuration
    from its peers, whom the platform's list names.
    """
    running.tables.faults.down = True
    router = await start(running)
    assert not router.ready
    await until_ready(router)
    assert is_complete_response(await complete(router), "x", 5)


async def test_with_store_and_list_down_and_a_seed(running):
    """The list is out of reach as well; one peer's address stands in the settings,
    and the others are learnt from it.
    """
    running.tables.faults.down = True
    running.vms.faults.down = True
    router = await start(running, (running.routers["r2"].peer_address,))
    await until_ready(router)
    assert is_complete_response(await complete(router), "x", 5)
    assert len(router.node.membership.live()) == 4


async def test_with_everything_down(running):
    """Neither the platform nor a peer can be reached. The router lives, says that it
    is not ready and refuses with "not run"; it serves as soon as the store is back.
    """
    running.tables.faults.down = True
    running.vms.faults.down = True
    router = await start(running)
    await asyncio.sleep(1.5)
    assert (await get(router, "/healthz")).code == 200
    assert (await get(router, "/readyz")).code == 503
    reply = await complete(router)
    assert (reply.status, reply.kind, reply.ran) == (503, "not-configured", "no")
    running.tables.faults.down = False
    await until_ready(router)
    assert (await get(router, "/readyz")).code == 200
    assert is_complete_response(await complete(router), "x", 5)
