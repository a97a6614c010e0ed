"""Tests of the routers command."""

import asyncio

from absl.testing import flagsaver
from teaselctl.commands.routers import run
from teaselctl.options import FLAGS
from teaselctl.output import CommandError
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import REGION, ZONE, running_routers
from teaselledge_standins.processes import free_ports
from teaselledge_standins.routes import make_route, make_routing

FLAGS.mark_as_parsed()
CONVERGENCE_SECONDS = 1.5
ROUTERS = 3


async def test_one_router_lists_all_routers():
    endpoints = [
        Endpoint("e1", "books", "127.0.0.1:1", ZONE, 4),
        Endpoint("e2", "books", "127.0.0.1:2", ZONE, 4, leaving=True),
    ]
    routing = make_routing(make_route(RetryPolicy.ANY))
    async with running_routers(ROUTERS, routing, endpoints) as routers:
        await asyncio.sleep(CONVERGENCE_SECONDS)
        peers = routers[1].router._members.own.peer_address
        with flagsaver.flagsaver(router=peers):
            output = await run([])
    value = output.value
    assert (value["router"], value["endpoints"], value["leaving"]) == ("r1", 2, 1)
    assert value["store_era"] == 1
    assert value["store_seconds"] < CONVERGENCE_SECONDS
    assert {router["vm"] for router in value["routers"]} == {"r0", "r1", "r2"}
    assert f"{ZONE}" in output.text and REGION in output.text


async def test_unreachable_router_is_named_in_the_error():
    with flagsaver.flagsaver(router=f"127.0.0.1:{free_ports(1)[0]}"):
        try:
            await run([])
        except CommandError as error:
            assert FLAGS.router in str(error)
        else:
            raise AssertionError("no error")
